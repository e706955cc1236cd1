"""`make bench-neighbours`: compare neighbour rings with neighbours picked by weight.

Rings are what daemons use. The alternative picks the other members with the highest
rendezvous weight of the pair.
"""

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
    """Print one row per fleet size and method."""
    print(
        f"{'method':22}{'members':>8}{'degree':>8}{'max':>5}{'hops':>6}{'left':>7}{'min':>7}"
    )
    for n_members, n_zones in FLEETS:
        members = make_members(n_members, n_zones)
        for n_zone, n_fleet in ((2, 2), (4, 2)):
            edges = undirected_edges(members, ring_picker(members, n_zone, n_fleet))
            print_row(f"rings {n_zone} + {n_fleet}", edges)
        for n_zone, n_remote in ((1, 1), (2, 1), (3, 2)):
            edges = undirected_edges(members, pair_picker(members, n_zone, n_remote))
            print_row(f"picks {n_zone} + {n_remote}", edges)
    print("hops: greatest distance from 10 members; left, min: the largest component's")
    print(
        f"share of survivors after half die at once, mean and least of {N_SEEDS} draws"
    )
    return 0


def make_members(n_members: int, n_zones: int) -> list[Member]:
    """Return alive members spread evenly over zones."""
    return [
        Member(f"vm-{i}", 1, 0, MemberState.ALIVE, f"zone-{i % n_zones}", f"{i}", ())
        for i in range(n_members)
    ]


def ring_picker(
    members: list[Member], n_zone: int, n_fleet: int
) -> Callable[[Member], Iterable[str]]:
    """Return the function with which daemons choose neighbours."""
    return lambda own: choose_neighbours(own, members, n_zone, n_fleet)


def pair_picker(
    members: list[Member], n_zone: int, n_remote: int
) -> Callable[[Member], Iterable[str]]:
    """Return a function that picks by pair weight, in the same and in other zones."""

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


def undirected_edges(
    members: list[Member], pick: Callable[[Member], Iterable[str]]
) -> Edges:
    """Return the edges that at least one of their ends picks."""
    edges: Edges = {member.vm: set() for member in members}
    for member in members:
        for other in pick(member):
            edges[member.vm].add(other)
            edges[other].add(member.vm)
    return edges


def print_row(name: str, edges: Edges) -> None:
    """Print the graph measures of one method."""
    degrees = [len(others) for others in edges.values()]
    names = sorted(edges)
    hops = max(len(flooding_rounds(edges, name, set(names))) - 1 for name in names[:10])
    shares = [surviving_share(edges, random.Random(seed)) for seed in range(N_SEEDS)]
    mean = sum(shares) / len(shares)
    print(
        f"{name:22}{len(edges):8}{sum(degrees) / len(degrees):8.2f}{max(degrees):5}"
        f"{hops:6}{mean:7.3f}{min(shares):7.3f}"
    )


def surviving_share(edges: Edges, rng: random.Random) -> float:
    """Return the largest component's share of the survivors after half have died."""
    alive = set(rng.sample(sorted(edges), len(edges) // 2))
    unvisited = set(alive)
    largest = 0
    while unvisited:
        component = set().union(*flooding_rounds(edges, min(unvisited), alive))
        largest = max(largest, len(component))
        unvisited -= component
    return largest / len(alive)


def flooding_rounds(edges: Edges, start: str, alive: set[str]) -> list[set[str]]:
    """Return the members first reached in each round of flooding from a member."""
    rounds = [{start}]
    seen = {start}
    while rounds[-1]:
        reached = set().union(*(edges[name] for name in rounds[-1])) & alive
        rounds.append(reached - seen)
        seen |= reached
    return rounds[:-1]


if __name__ == "__main__":
    sys.exit(main())
