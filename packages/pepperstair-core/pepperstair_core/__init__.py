"""Data types, settings and decision logic of pepperstair, without I/O.

No module of this package opens a socket, reads a clock or uses the global random
generator: the current time is passed in as `now_ms`, and randomness as a seeded
`random.Random`. This keeps every decision reproducible in tests.
"""

from __future__ import annotations

__version__ = "0.1.0"

__all__ = ["__version__"]
