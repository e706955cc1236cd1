"""Anti-entropy: two daemons exchange the member records that one of them lacks.

Flooding loses records if a stream breaks while they are in flight. Each daemon
therefore compares digests with one random neighbour every few seconds. The cost
does not depend on the size of the fleet, and only the buckets that differ are
exchanged.
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
    """Yield the ranks of all records in the differing buckets, if there are any."""
    buckets = directory.differing_buckets(frame.digests)
    if buckets:
        ranks = tuple(rank_of(member) for member in directory.in_buckets(buckets))
        yield Send(sender, MemberRanks(buckets, ranks))


def iter_pulls(
    directory: MemberDirectory, sender: str, frame: MemberRanks
) -> Iterator[Send]:
    """Yield a request for the records that are missing here or newer at the sender."""
    own_vm = directory.own().vm
    vms = tuple(
        remote.vm
        for remote in frame.ranks
        if remote.vm != own_vm and _is_older(directory.get(remote.vm), remote.rank)
    )
    if vms:
        yield Send(sender, MembersPull(vms))


def iter_newer_records(
    directory: MemberDirectory, frame: MemberRanks
) -> Iterator[Member]:
    """Yield the records that are missing or older at the sender."""
    remote_ranks = {rank.vm: rank.rank for rank in frame.ranks}
    for member in directory.in_buckets(frame.buckets):
        remote_rank = remote_ranks.get(member.vm)
        is_lacking = (
            member.is_usable if remote_rank is None else remote_rank < member.rank
        )
        if is_lacking:
            yield member


def _is_older(known: Member | None, rank: tuple[int, int, int]) -> bool:
    return known is None or known.rank < rank


__all__ = ["iter_digest_answer", "iter_newer_records", "iter_pulls"]
