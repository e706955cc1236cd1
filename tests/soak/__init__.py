"""A randomized soak: real daemons under faults, checked against what was promised.

`python -m tests.soak --seeds 1-50` plays seeds by hand; `tests/soak/test_soak.py`
plays a short one with the other tests, and every seed that ever failed.
"""

from __future__ import annotations
