"""Data, settings and decisions of pepperstair, without I/O.

Nothing below this package opens a socket, reads a clock or draws from the
global random generator: the current time comes in as `now_ms`, and randomness
as a seeded `random.Random`. That keeps every decision repeatable in tests.
"""

from __future__ import annotations

__version__ = "0.1.0"

__all__ = ["__version__"]
