"""`make bench-neighbours`: the rings of neighbours beside picks of each side."""

from __future__ import annotations

import heapq
import random
import sys
from collections.abc import Callable, Iterable

from pepperstair_core.members import Member, MemberState
from pepperstair_core.membership import choose_neighbours
from pepperstair_core.rendezvous import weight

FLEETS = ((40, 4), (600, 12))
N_SEEDS = 20

Edges = dict[str, set[str]]


def main() -> int:
    """Print one row for each way and size."""
    print(
        f"{'way':22}{'members':>8}{'degree':>8}{'max':>5}{'hops':>6}{'left':>7}{'min':>7}"
    )
    for n_members, n_zones in FLEETS:
        members = make_members(n_members, n_zones)
        for n_zone, n_fleet in ((2, 2), (4, 2)):
            edges = union_of(members, ring_picker(members, n_zone, n_fleet))
            report(f"rings {n_zone} + {n_fleet}", edges)
        for n_zone, n_remote in ((1, 1), (2, 1), (3, 2)):
            edges = union_of(members, pair_picker(members, n_zone, n_remote))
            report(f"picks {n_zone} + {n_remote}", edges)
    print("hops: farthest from one member; left: share of the survivors that still")
    print(f"hang together when half died at once, mean and least of {N_SEEDS} draws")
    return 0


def make_members(n_members: int, n_zones: int) -> list[Member]:
    """Return living members spread over zones."""
    return [
        Member(f"vm-{i}", 1, 0, MemberState.ALIVE, f"zone-{i % n_zones}", f"{i}", ())
        for i in range(n_members)
    ]


def ring_picker(
    members: list[Member], n_zone: int, n_fleet: int
) -> Callable[[Member], Iterable[str]]:
    """Return the choice that the product makes."""
    return lambda own: choose_neighbours(own, members, n_zone, n_fleet)


def pair_picker(
    members: list[Member], n_zone: int, n_remote: int
) -> Callable[[Member], Iterable[str]]:
    """Return the choice of the highest weights of pairs, in the zone and beyond."""

    def pick(own: Member) -> list[str]:
        def pair_weight(other: Member) -> int:
            return weight("pair", "\0".join(sorted((own.vm, other.vm))))

        zone = own.availability_zone
        near = [m for m in members if m.availability_zone == zone and m is not own]
        far = [m for m in members if m.availability_zone != zone]
        picked = heapq.nlargest(n_zone, near, pair_weight)
        picked += heapq.nlargest(n_remote, far, pair_weight)
        return [member.vm for member in picked]

    return pick


def union_of(members: list[Member], pick: Callable[[Member], Iterable[str]]) -> Edges:
    """Return the edges that either end picks."""
    edges: Edges = {member.vm: set() for member in members}
    for member in members:
        for other in pick(member):
            edges[member.vm].add(other)
            edges[other].add(member.vm)
    return edges


def report(name: str, edges: Edges) -> None:
    """Print what one way gives."""
    degrees = [len(others) for others in edges.values()]
    names = sorted(edges)
    hops = max(len(rounds_from(edges, name, set(names))) - 1 for name in names[:10])
    shares = [share_left(edges, random.Random(seed)) for seed in range(N_SEEDS)]
    mean = sum(shares) / len(shares)
    print(
        f"{name:22}{len(edges):8}{sum(degrees) / len(degrees):8.2f}{max(degrees):5}"
        f"{hops:6}{mean:7.3f}{min(shares):7.3f}"
    )


def share_left(edges: Edges, rng: random.Random) -> float:
    """Return the share of survivors in the largest part when half have died."""
    alive = set(rng.sample(sorted(edges), len(edges) // 2))
    left = set(alive)
    largest = 0
    while left:
        part = set().union(*rounds_from(edges, min(left), alive))
        largest = max(largest, len(part))
        left -= part
    return largest / len(alive)


def rounds_from(edges: Edges, start: str, alive: set[str]) -> list[set[str]]:
    """Return who is reached from a member in each round of passing on."""
    rounds = [{start}]
    seen = {start}
    while rounds[-1]:
        reached = set().union(*(edges[name] for name in rounds[-1])) & alive
        rounds.append(reached - seen)
        seen |= reached
    return rounds[:-1]


if __name__ == "__main__":
    sys.exit(main())
