"""A daemon with the simplest behaviour at every choice, to measure against.

Every daemon polls all heads and fetches whole snapshots from the platform, sends
a call to a random target, queues without a limit and tries three more times after
any failure. Streams and members are those of the real daemon. Run it like that
one, with `python -m benchmarks.naive --settings FILE`.
"""

from __future__ import annotations
