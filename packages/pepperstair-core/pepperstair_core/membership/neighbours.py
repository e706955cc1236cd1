"""Chooses the members to which a daemon keeps control streams.

Members are placed on rings, ordered by the rendezvous weight of their names: some
rings within each availability zone and some over the whole fleet. The neighbours
of a daemon are the members adjacent to it on each ring. Daemons with the same
member view compute the same edges, each ring alone connects all of its members,
no member has more than two edges per ring, and a member that joins or leaves
changes only the edges of the members adjacent to it.
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
    """Return the VMs to which a daemon keeps control streams.

    An odd number of neighbours is rounded up to the next even number.
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
    """Yield the names adjacent to a name on each ring of a key."""
    n_rings = -(-n_neighbours // _EDGES_PER_RING)
    for index in range(n_rings):
        yield from _adjacent(own, names, f"ring/{key}/{index}")


def _adjacent(own: str, names: list[str], key: str) -> tuple[str, str]:
    """Return the previous and the next name on one ring, wrapping around."""
    own_position = _ring_position(key, own)
    positions = [_ring_position(key, name) for name in names if name != own]
    if not positions:
        return own, own
    highest = max(positions)
    lowest = min(positions)
    before = max((p for p in positions if p < own_position), default=highest)
    after = min((p for p in positions if p > own_position), default=lowest)
    return before[1], after[1]


@functools.lru_cache(maxsize=65_536)
def _ring_position(key: str, name: str) -> tuple[int, str]:
    return weight(key, name), name


__all__ = ["choose_neighbours"]
