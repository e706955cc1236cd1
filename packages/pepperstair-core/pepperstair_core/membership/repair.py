"""Finding the member records that one of two daemons lacks (anti-entropy).

Flooding loses records when a stream breaks at the wrong moment. One random pair
of neighbours compares digests every few seconds, which costs the same however
large the fleet is, and only the buckets that differ are talked about.
"""

from __future__ import annotations

from collections.abc import Iterator

from ..members import Member
from ..wire.control import MemberRanks, MembersDigest, MembersPull
from .actions import Send
from .directory import MemberDirectory, rank_of


def iter_digest_answer(
    directory: MemberDirectory, sender: str, frame: MembersDigest
) -> Iterator[Send]:
    """Yield the ranks in the buckets that differ, if any do."""
    buckets = directory.differing_buckets(frame.digests)
    if buckets:
        ranks = tuple(rank_of(member) for member in directory.in_buckets(buckets))
        yield Send(sender, MemberRanks(buckets, ranks))


def iter_pulls(
    directory: MemberDirectory, sender: str, frame: MemberRanks
) -> Iterator[Send]:
    """Yield a request for the records that are newer at the sender."""
    own_vm = directory.own().vm
    vms = tuple(
        told.vm
        for told in frame.ranks
        if told.vm != own_vm and _is_older(directory.get(told.vm), told.rank)
    )
    if vms:
        yield Send(sender, MembersPull(vms))


def iter_offers(directory: MemberDirectory, frame: MemberRanks) -> Iterator[Member]:
    """Yield the records that are older or missing at the sender."""
    told = {rank.vm: rank.rank for rank in frame.ranks}
    for member in directory.in_buckets(frame.buckets):
        their_rank = told.get(member.vm)
        is_lacking = (
            member.is_usable if their_rank is None else their_rank < member.rank
        )
        if is_lacking:
            yield member


def _is_older(known: Member | None, rank: tuple[int, int, int]) -> bool:
    return known is None or known.rank < rank


__all__ = ["iter_digest_answer", "iter_offers", "iter_pulls"]
