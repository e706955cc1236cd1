"""The member records that one daemon holds."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable, Iterator
from typing import Final

from ..members import Member, MemberRank, is_newer
from ..rendezvous import weight

N_BUCKETS: Final = 16
_DIGEST_BYTES: Final = 8
_N_CACHED_BUCKETS_MAX: Final = 4_096


class MemberDirectory:
    """Holds the newest known record of each member, including the daemon's own.

    Members are hashed into buckets by name. Each bucket has a digest of its usable
    members, which is updated with every change. Two daemons compare 128 bytes of
    digests and then exchange only the buckets that differ.
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

    def merge(self, received: Iterable[Member]) -> Iterator[Member]:
        """Store the records that are newer than the known ones and yield them.

        Records about this daemon are skipped, as only the owner writes its own
        record. Unknown members that are already gone are skipped too: daemons that
        have removed such a record would otherwise send it back to each other
        indefinitely.
        """
        for member in received:
            if member.vm == self._own_vm:
                continue
            known = self._members.get(member.vm)
            if known is None and not member.is_usable:
                continue
            if is_newer(known, member):
                self._put(member)
                yield member

    def remove(self, vm: str) -> None:
        """Remove the record of a member that has been gone for long enough."""
        member = self._members.pop(vm, None)
        if member is not None:
            bucket = bucket_of(vm)
            self._digests[bucket] ^= _record_digest(member)
            del self._buckets[bucket][vm]

    def digests(self) -> bytes:
        """Return the concatenated digests of all buckets."""
        return b"".join(
            digest.to_bytes(_DIGEST_BYTES, "big") for digest in self._digests
        )

    def differing_buckets(self, digests: bytes) -> bytes:
        """Return the numbers of the buckets whose digests differ."""
        own = self.digests()
        return bytes(
            bucket
            for bucket in range(N_BUCKETS)
            if _bucket_digest(own, bucket) != _bucket_digest(digests, bucket)
        )

    def in_buckets(self, buckets: bytes) -> Iterator[Member]:
        """Yield the records in the given buckets, including those of gone members."""
        for bucket in sorted(set(buckets)):
            if bucket < N_BUCKETS:
                yield from self._buckets[bucket].values()

    def _put(self, member: Member) -> None:
        known = self._members.get(member.vm)
        bucket = bucket_of(member.vm)
        if known is not None:
            self._digests[bucket] ^= _record_digest(known)
        self._digests[bucket] ^= _record_digest(member)
        self._members[member.vm] = member
        self._buckets[bucket][member.vm] = member


@functools.lru_cache(maxsize=_N_CACHED_BUCKETS_MAX)
def bucket_of(vm: str) -> int:
    """Return the number of the bucket that a member belongs to."""
    return weight("member-bucket", vm) % N_BUCKETS


def rank_of(member: Member) -> MemberRank:
    """Return the rank of a record in the form that is sent to other daemons."""
    return MemberRank(member.vm, member.incarnation, member.state, member.sequence)


def _bucket_digest(digests: bytes, bucket: int) -> bytes:
    start = bucket * _DIGEST_BYTES
    return digests[start : start + _DIGEST_BYTES]


def _record_digest(member: Member) -> int:
    """Return the value that is XORed into the digest of the record's bucket.

    Gone members contribute 0, because each daemon removes them at a different time.
    """
    if not member.is_usable:
        return 0
    text = f"{member.vm}\0{member.rank}".encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


__all__ = ["N_BUCKETS", "MemberDirectory", "bucket_of", "rank_of"]
