"""How a daemon joins the fleet, watches its neighbours and spreads records.

Every method takes an event and the time, and yields what is to be done about
it. The control plane carries that out on real streams, the tests on an
in-memory network.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Any, Final

from msgspec.structs import replace

from ..config import MembersSettings, PeersSettings
from ..members import Member, MemberState, accuse
from ..wire.control import (
    Heartbeat,
    MemberRanks,
    MembersDigest,
    MembersPull,
    MemberUpdate,
)
from .actions import Action, Close, MemberChanged, Send
from .directory import MemberDirectory
from .edges import NeighbourEdges
from .liveness import HeardTimes, Suspicions
from .neighbours import choose_neighbours
from .outbox import MemberOutbox
from .repair import iter_digest_answer, iter_offers, iter_pulls

_PROBE_HEARTBEATS: Final = 5
_REPAIR_HEARTBEATS: Final = 10
_FORGET_HEARTBEATS: Final = 3600


class Membership:
    """The state of one daemon's part in the fleet."""

    def __init__(
        self,
        directory: MemberDirectory,
        settings: MembersSettings,
        peers: PeersSettings,
        rng: Random,
        now_ms: int,
    ) -> None:
        self.directory = directory
        self._settings = settings
        self._peers = peers
        self._rng = rng
        self._heard = HeardTimes()
        self._suspicions = Suspicions(settings.suspicion_ms, rng)
        self._edges = NeighbourEdges(
            directory, peers.seed_addresses, settings.heartbeat_ms, rng
        )
        self._outbox = MemberOutbox(self._is_far)
        self._gone_since_ms: dict[str, int] = {}
        self._is_stale = True
        # The first beats are spread, so that a herd which starts together does
        # not go on in step.
        self._heartbeat_due_ms = now_ms + rng.randint(0, settings.heartbeat_ms)
        self._repair_due_ms = self._heartbeat_due_ms
        self._probe_due_ms = self._heartbeat_due_ms

    @property
    def neighbours(self) -> frozenset[str]:
        """Return the VMs that a stream is open to."""
        return self._edges.up

    @property
    def is_flush_due(self) -> bool:
        """Return whether `flush` has something to do."""
        return self._is_stale or not self._outbox.is_empty

    def discover(self, addresses: Iterable[str], now_ms: int) -> Iterator[Action]:
        """Take addresses found outside of the fleet's own records, and dial them."""
        self._edges.enter_through(addresses)
        yield from self._edges.iter_entries(now_ms)

    def publish(self, member: Member) -> Iterator[Action]:
        """Replace this daemon's own record and tell the fleet."""
        before = self.directory.own()
        self.directory.put_own(member)
        self._outbox.add(member)
        yield MemberChanged(before, member)

    def leave(self) -> Iterator[Action]:
        """Tell the fleet that this daemon goes."""
        own = self.directory.own()
        yield from self.publish(
            replace(own, state=MemberState.LEFT, sequence=own.sequence + 1)
        )

    def resume(self, now_ms: int) -> Iterator[Action]:
        """Come back after a pause: a new incarnation, and ask what was missed."""
        self._heard.restart(now_ms)
        self._suspicions.restart(now_ms)
        yield from self._renew(self.directory.own().incarnation)
        for vm in sorted(self._edges.up):
            yield self._digest_to(vm)

    def open(
        self, vm: str, address: str, is_dialler: bool, now_ms: int
    ) -> Iterator[Action]:
        """Take a stream that came up; the side that dialled compares records."""
        self._edges.open(vm, address)
        self._heard.hear(vm, now_ms)
        self._outbox.open(vm)
        self._outbox.offer(vm, (self.directory.own(),))
        if is_dialler:
            yield self._digest_to(vm)

    def close(self, vm: str, now_ms: int) -> Iterator[Action]:
        """Take the loss of a stream."""
        self._edges.close(vm)
        self._outbox.close(vm)
        if vm not in self._edges.wanted:
            self._heard.unwatch(vm)
        self._edges.hurry(vm, now_ms)
        yield from self._edges.iter_dials(now_ms)

    def fail(self, address: str, is_refused: bool, now_ms: int) -> Iterator[Action]:
        """Take a failed dial.

        A refusal says that no process listens there any more, which is known
        seconds before the missing heartbeats would tell.
        """
        self._edges.fail(address, now_ms)
        if not is_refused:
            return
        for vm in sorted(self._edges.wanted - self._edges.up):
            member = self.directory.get(vm)
            if member is not None and member.peer_address == address:
                yield from self._accuse(vm, MemberState.SUSPECT, now_ms)

    def mark_reached(self, address: str) -> None:
        """Take a dial that led to a second stream, which is not used."""
        self._edges.mark_reached(address)

    def receive(self, vm: str, frame: Any, now_ms: int) -> Iterator[Action]:
        """Take a frame from a neighbour; those of others are only heard."""
        self._heard.hear(vm, now_ms)
        if isinstance(frame, MemberUpdate):
            yield from self._take(frame.members, vm, now_ms)
        elif isinstance(frame, MembersDigest):
            yield from iter_digest_answer(self.directory, vm, frame)
        elif isinstance(frame, MemberRanks):
            yield from self._take_ranks(vm, frame)
        elif isinstance(frame, MembersPull):
            found = (self.directory.get(name) for name in frame.vms)
            self._outbox.offer(vm, (member for member in found if member is not None))

    def tick(self, now_ms: int) -> Iterator[Action]:
        """Do what has become due."""
        yield from self._beat(now_ms)
        yield from self._judge(now_ms)
        self._forget(now_ms)
        yield from self._edges.iter_dials(now_ms)
        yield from self._edges.iter_entries(now_ms)
        yield from self._edges.iter_closes(now_ms)
        yield from self._outbox.announce()
        if now_ms >= self._probe_due_ms:
            self._probe_due_ms = now_ms + self._spread(_PROBE_HEARTBEATS)
            yield from self._edges.iter_probe(now_ms)
        if now_ms >= self._repair_due_ms and self._edges.up:
            self._repair_due_ms = now_ms + self._spread(_REPAIR_HEARTBEATS)
            yield self._digest_to(self._rng.choice(sorted(self._edges.up)))

    def flush(
        self, is_writable: Callable[[str], bool], now_ms: int
    ) -> Iterator[Action]:
        """Choose neighbours anew after changes and send waiting records."""
        if self._is_stale:
            self._is_stale = False
            self._choose_neighbours(now_ms)
            yield from self._edges.iter_dials(now_ms)
        yield from self._outbox.flush(is_writable)

    def _beat(self, now_ms: int) -> Iterator[Action]:
        if now_ms < self._heartbeat_due_ms:
            return
        self._heartbeat_due_ms = now_ms + self._settings.heartbeat_ms
        heartbeat = Heartbeat(self.directory.own().incarnation)
        for vm in sorted(self._edges.up):
            yield Send(vm, heartbeat)

    def _judge(self, now_ms: int) -> Iterator[Action]:
        """Replace silent streams, suspect the silent, give up the suspected.

        A stream can go silent for good while new ones work; dialling anew one
        heartbeat before the suspicion keeps the fleet from hearing of that.
        """
        suspect_ms = self._settings.heartbeat_ms * self._settings.n_heartbeats_missed
        redial_ms = max(suspect_ms - self._settings.heartbeat_ms, suspect_ms // 2)
        for vm in self._heard.iter_silent(now_ms, redial_ms):
            if vm in self._edges.up:
                yield Close(vm)
            if self._heard.silence_ms(vm, now_ms) >= suspect_ms:
                self._heard.unwatch(vm)
                yield from self._accuse(vm, MemberState.SUSPECT, now_ms)
        for vm in self._suspicions.iter_due(now_ms):
            yield from self._accuse(vm, MemberState.GONE, now_ms)

    def _accuse(self, vm: str, state: MemberState, now_ms: int) -> Iterator[Action]:
        member = self.directory.get(vm)
        if member is not None and member.state < state:
            yield from self._take((accuse(member, state),), "", now_ms)

    def _take(
        self, members: Iterable[Member], sender: str, now_ms: int
    ) -> Iterator[Action]:
        """Take records, pass on what is new and answer doubts about ourselves."""
        for heard in members:
            if heard.vm == self.directory.own().vm:
                yield from self._refute(heard.rank)
                continue
            self._outbox.confirm(sender, heard)
            before = self.directory.get(heard.vm)
            for member in self.directory.merge((heard,)):
                self._note_state(before, member, now_ms)
                self._outbox.add(member, sender)
                yield MemberChanged(before, member)

    def _take_ranks(self, vm: str, frame: MemberRanks) -> Iterator[Action]:
        for told in frame.ranks:
            if told.vm == self.directory.own().vm:
                yield from self._refute(told.rank)
            else:
                self._outbox.confirm(vm, told)
        yield from iter_pulls(self.directory, vm, frame)
        self._outbox.offer(vm, iter_offers(self.directory, frame))

    def _refute(self, rank: tuple[int, int, int]) -> Iterator[Action]:
        """Outrank what others hold of this daemon, where it is not its own word."""
        if rank > self.directory.own().rank:
            yield from self._renew(rank[0])

    def _renew(self, incarnation: int) -> Iterator[Action]:
        own = self.directory.own()
        yield from self.publish(
            replace(own, incarnation=incarnation + 1, sequence=own.sequence + 1)
        )

    def _note_state(self, before: Member | None, member: Member, now_ms: int) -> None:
        # Neighbours follow from who is there; most changes are those of targets.
        self._is_stale |= before is None or _standing(before) != _standing(member)
        if member.state is MemberState.SUSPECT:
            self._suspicions.start(member.vm, now_ms)
        else:
            self._suspicions.end(member.vm)
        if member.is_usable:
            self._gone_since_ms.pop(member.vm, None)
        else:
            self._gone_since_ms.setdefault(member.vm, now_ms)

    def _choose_neighbours(self, now_ms: int) -> None:
        wanted = choose_neighbours(
            self.directory.own(),
            self.directory.members(),
            self._peers.n_zone_neighbours,
            self._peers.n_remote_neighbours,
        )
        for vm in self._edges.wanted - wanted - self._edges.up:
            self._heard.unwatch(vm)
        self._edges.want(wanted, now_ms)
        for vm in wanted:
            self._heard.watch(vm, now_ms)

    def _is_far(self, vm: str) -> bool:
        """Return whether a member is known to be in another availability zone."""
        member = self.directory.get(vm)
        own_zone = self.directory.own().availability_zone
        return member is not None and member.availability_zone != own_zone

    def _forget(self, now_ms: int) -> None:
        """Drop members that are long gone, or the directory would only grow."""
        limit_ms = self._settings.heartbeat_ms * _FORGET_HEARTBEATS
        for vm, since_ms in list(self._gone_since_ms.items()):
            if now_ms - since_ms >= limit_ms:
                del self._gone_since_ms[vm]
                self.directory.forget(vm)

    def _digest_to(self, vm: str) -> Send:
        return Send(vm, MembersDigest(self.directory.digests()))

    def _spread(self, n_heartbeats: int) -> int:
        """Return a time around some heartbeats, so that no two daemons step."""
        time_ms = n_heartbeats * self._settings.heartbeat_ms
        return self._rng.randint(time_ms // 2, time_ms * 3 // 2)


def _standing(member: Member) -> tuple[int, MemberState, str]:
    return member.incarnation, member.state, member.availability_zone


__all__ = ["Membership"]
