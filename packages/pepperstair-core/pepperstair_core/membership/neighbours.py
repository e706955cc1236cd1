"""Who a daemon keeps control streams to.

Members stand on rings, ordered by the rendezvous weight of their names: some
rings within each availability zone and some over the whole fleet. A daemon's
neighbours are those next to it on each ring. Every daemon with the same members
computes the same edges, each ring alone connects all that stand on it, nobody
has more than two edges a ring, and a member that goes or comes changes the
edges of those beside it only.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable, Iterator

from ..members import Member, MemberState
from ..rendezvous import weight

_EDGES_PER_RING = 2


def choose_neighbours(
    own: Member,
    members: Iterable[Member],
    n_zone_neighbours: int,
    n_remote_neighbours: int,
) -> frozenset[str]:
    """Return the VMs that a daemon keeps control streams to.

    An odd number of neighbours counts as the next even one.
    """
    alive = {m.vm: m for m in members if m.state is MemberState.ALIVE}
    alive[own.vm] = own
    zone = own.availability_zone
    in_zone = [vm for vm, m in alive.items() if m.availability_zone == zone]
    zone_edges = _iter_edges(own.vm, in_zone, f"zone/{zone}", n_zone_neighbours)
    fleet_edges = _iter_edges(own.vm, list(alive), "fleet", n_remote_neighbours)
    return frozenset((*zone_edges, *fleet_edges)) - {own.vm}


def _iter_edges(
    own: str, names: list[str], key: str, n_neighbours: int
) -> Iterator[str]:
    """Yield those beside a name on each of the rings of a key."""
    n_rings = -(-n_neighbours // _EDGES_PER_RING)
    for index in range(n_rings):
        yield from _beside(own, names, f"ring/{key}/{index}")


def _beside(own: str, names: list[str], key: str) -> tuple[str, str]:
    """Return the next lower and next higher name on one ring."""
    own_place = _place(key, own)
    places = [_place(key, name) for name in names if name != own]
    if not places:
        return own, own
    highest = max(places)
    lowest = min(places)
    before = max((p for p in places if p < own_place), default=highest)
    after = min((p for p in places if p > own_place), default=lowest)
    return before[1], after[1]


@functools.lru_cache(maxsize=65_536)
def _place(key: str, name: str) -> tuple[int, str]:
    return weight(key, name), name


__all__ = ["choose_neighbours"]
