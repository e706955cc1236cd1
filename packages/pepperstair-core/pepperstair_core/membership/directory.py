"""What one daemon knows of the members of the fleet."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable, Iterator
from typing import Final

from ..members import Member, MemberRank, newer_member
from ..rendezvous import weight

N_BUCKETS: Final = 16
_DIGEST_BYTES: Final = 8
_N_KNOWN_BUCKETS_MAX: Final = 4_096


class MemberDirectory:
    """The newest record of each member, the own one among them.

    Members fall into buckets by name, and each bucket has a digest of its
    usable members, kept up to date with every change. Two daemons compare 128
    bytes of digests and then talk only about the buckets that differ.
    """

    def __init__(self, own: Member) -> None:
        self._own_vm = own.vm
        self._members: dict[str, Member] = {}
        self._buckets: list[dict[str, Member]] = [{} for _ in range(N_BUCKETS)]
        self._digests = [0] * N_BUCKETS
        self._put(own)

    def own(self) -> Member:
        """Return this daemon's own record."""
        return self._members[self._own_vm]

    def put_own(self, member: Member) -> None:
        """Replace this daemon's own record."""
        self._put(member)

    def members(self) -> tuple[Member, ...]:
        """Return every record."""
        return tuple(self._members.values())

    def get(self, vm: str) -> Member | None:
        """Return the record of a VM, if one is known."""
        return self._members.get(vm)

    def merge(self, heard: Iterable[Member]) -> Iterator[Member]:
        """Take the records that are newer than the known ones and yield them.

        Only the owner writes its own record: what others say of this daemon is
        left out here. So is an unknown member that is gone: daemons that have
        forgotten it would otherwise teach it to each other for ever.
        """
        for member in heard:
            if member.vm == self._own_vm:
                continue
            known = self._members.get(member.vm)
            if known is None and not member.is_usable:
                continue
            if newer_member(known, member):
                self._put(member)
                yield member

    def forget(self, vm: str) -> None:
        """Drop the record of a member that is long gone."""
        member = self._members.pop(vm, None)
        if member is not None:
            bucket = bucket_of(vm)
            self._digests[bucket] ^= _mark(member)
            del self._buckets[bucket][vm]

    def digests(self) -> bytes:
        """Return the digests of all buckets, one after the other."""
        return b"".join(
            digest.to_bytes(_DIGEST_BYTES, "big") for digest in self._digests
        )

    def differing_buckets(self, digests: bytes) -> bytes:
        """Return the numbers of the buckets whose digests differ."""
        own = self.digests()
        return bytes(
            bucket
            for bucket in range(N_BUCKETS)
            if _digest(own, bucket) != _digest(digests, bucket)
        )

    def in_buckets(self, buckets: bytes) -> Iterator[Member]:
        """Yield the records in some buckets, those of gone members among them."""
        for bucket in sorted(set(buckets)):
            if bucket < N_BUCKETS:
                yield from self._buckets[bucket].values()

    def _put(self, member: Member) -> None:
        known = self._members.get(member.vm)
        bucket = bucket_of(member.vm)
        if known is not None:
            self._digests[bucket] ^= _mark(known)
        self._digests[bucket] ^= _mark(member)
        self._members[member.vm] = member
        self._buckets[bucket][member.vm] = member


@functools.lru_cache(maxsize=_N_KNOWN_BUCKETS_MAX)
def bucket_of(vm: str) -> int:
    """Return the bucket that a member is compared in."""
    return weight("member-bucket", vm) % N_BUCKETS


def rank_of(member: Member) -> MemberRank:
    """Return the rank of a record as it is told to other daemons."""
    return MemberRank(member.vm, member.incarnation, member.state, member.sequence)


def _digest(digests: bytes, bucket: int) -> bytes:
    start = bucket * _DIGEST_BYTES
    return digests[start : start + _DIGEST_BYTES]


def _mark(member: Member) -> int:
    """Return what a record adds to its bucket's digest.

    Gone members add nothing, as each daemon forgets them at its own time.
    """
    if not member.is_usable:
        return 0
    text = f"{member.vm}\0{member.rank}".encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


__all__ = ["N_BUCKETS", "MemberDirectory", "bucket_of", "rank_of"]
