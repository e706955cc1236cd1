"""A randomized soak test: real daemons under faults, checked for their guarantees.

`python -m tests.soak --seeds 1-50` runs seeds by hand. `tests/soak/test_soak.py` runs
a short soak and every seed that has ever failed, together with the other tests.
"""

from __future__ import annotations
