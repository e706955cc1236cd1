"""Rendezvous hashing: every daemon selects the same members without coordination.

>>> len(highest("poller/zone-a", ["a", "b", "c"], 2))
2
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable


def weight(key: str, name: str) -> int:
    """Return the weight of a name for a key, which is the same on every daemon."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def highest(key: str, names: Iterable[str], n_names: int) -> list[str]:
    """Return the names with the highest weights for a key, highest first."""
    return heapq.nlargest(n_names, names, key=lambda name: weight(key, name))


__all__ = ["highest", "weight"]
