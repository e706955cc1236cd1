"""A daemon with the simplest policy for every decision, as a baseline for benchmarks.

Every daemon polls all heads and fetches whole snapshots from the platform, sends
each call to a random target, queues without a limit and retries three times after
any failure. Peer streams and membership are those of the real daemon. Run it like
the real daemon, with `python -m benchmarks.naive --settings FILE`.
"""

from __future__ import annotations
