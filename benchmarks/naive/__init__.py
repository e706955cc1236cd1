"""A daemon with the simplest behaviour at every choice, to measure against.

Every daemon polls all heads and fetches whole snapshots from the platform, keeps
a stream to every other daemon, sends a call to a random target, queues without a
limit and tries three more times after any failure. Run it like the real one, with
`python -m benchmarks.naive --settings FILE`.
"""

from __future__ import annotations
