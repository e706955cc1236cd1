"""Joining the fleet, failure detection and dissemination of member records.

Every method handles an event at a given time and yields the actions to execute.
The control plane executes them on real streams, the tests on an in-memory network.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Any, Final

from msgspec.structs import replace

from ..config import MembersSettings, PeersSettings
from ..members import Member, MemberState, with_state
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
from .liveness import LastReceiveTimes, Suspicions
from .neighbours import choose_neighbours
from .outbox import MemberOutbox
from .repair import iter_digest_answer, iter_newer_records, iter_pulls

_PROBE_INTERVAL_HEARTBEATS: Final = 5
_REPAIR_INTERVAL_HEARTBEATS: Final = 10
_RETENTION_HEARTBEATS: Final = 3600


class Membership:
    """The membership state machine of one daemon."""

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
        self._last_received = LastReceiveTimes()
        self._suspicions = Suspicions(settings.suspicion_ms, rng)
        self._edges = NeighbourEdges(
            directory, peers.seed_addresses, settings.heartbeat_ms, rng
        )
        self._outbox = MemberOutbox(self._is_in_other_zone)
        self._gone_since_ms: dict[str, int] = {}
        self._is_choice_due = True
        # The first heartbeat is jittered, so that daemons which start together do
        # not send theirs in lockstep.
        self._heartbeat_due_ms = now_ms + rng.randint(0, settings.heartbeat_ms)
        self._repair_due_ms = self._heartbeat_due_ms
        self._probe_due_ms = self._heartbeat_due_ms

    @property
    def neighbours(self) -> frozenset[str]:
        """Return the VMs to which a stream is open."""
        return self._edges.connected

    @property
    def is_flush_due(self) -> bool:
        """Return whether `flush` has work to do."""
        return self._is_choice_due or not self._outbox.is_empty

    def discover(self, addresses: Iterable[str], now_ms: int) -> Iterator[Action]:
        """Handle addresses found outside the member records; dial them to join."""
        self._edges.set_join_addresses(addresses)
        yield from self._edges.iter_join_dials(now_ms)

    def publish(self, member: Member) -> Iterator[Action]:
        """Replace this daemon's own record and queue it for all neighbours."""
        before = self.directory.own()
        self.directory.put_own(member)
        self._outbox.add(member)
        yield MemberChanged(before, member)

    def leave(self) -> Iterator[Action]:
        """Publish that this daemon leaves the fleet."""
        own = self.directory.own()
        yield from self.publish(
            replace(own, state=MemberState.LEFT, sequence=own.sequence + 1)
        )

    def resume(self, now_ms: int) -> Iterator[Action]:
        """Rejoin after a pause with a new incarnation and compare records again."""
        self._last_received.restart(now_ms)
        self._suspicions.restart(now_ms)
        yield from self._raise_incarnation(self.directory.own().incarnation)
        for vm in sorted(self._edges.connected):
            yield self._digest_to(vm)

    def open(
        self, vm: str, address: str, is_dialler: bool, now_ms: int
    ) -> Iterator[Action]:
        """Handle an opened stream; the dialling side starts to compare records."""
        self._edges.open(vm, address)
        self._last_received.mark_received(vm, now_ms)
        self._outbox.open(vm)
        self._outbox.enqueue(vm, (self.directory.own(),))
        if is_dialler:
            yield self._digest_to(vm)

    def close(self, vm: str, now_ms: int) -> Iterator[Action]:
        """Handle a closed stream."""
        self._edges.close(vm)
        self._outbox.close(vm)
        if vm not in self._edges.wanted:
            self._last_received.unwatch(vm)
        self._edges.skip_dial_delay(vm, now_ms)
        yield from self._edges.iter_dials(now_ms)

    def fail(self, address: str, is_refused: bool, now_ms: int) -> Iterator[Action]:
        """Handle a failed dial.

        A refused connection shows that no process listens at the address any more. The
        member is then suspected seconds earlier than by its missing heartbeats.
        """
        self._edges.fail(address, now_ms)
        if not is_refused:
            return
        for vm in sorted(self._edges.wanted - self._edges.connected):
            member = self.directory.get(vm)
            if member is not None and member.peer_address == address:
                yield from self._declare_state(vm, MemberState.SUSPECT, now_ms)

    def mark_reached(self, address: str) -> None:
        """Handle a successful dial whose stream is a duplicate and therefore unused."""
        self._edges.mark_reached(address)

    def receive(self, vm: str, frame: Any, now_ms: int) -> Iterator[Action]:
        """Handle a received frame, which also proves that the VM is alive."""
        self._last_received.mark_received(vm, now_ms)
        if isinstance(frame, MemberUpdate):
            yield from self._merge_records(frame.members, vm, now_ms)
        elif isinstance(frame, MembersDigest):
            yield from iter_digest_answer(self.directory, vm, frame)
        elif isinstance(frame, MemberRanks):
            yield from self._merge_ranks(vm, frame)
        elif isinstance(frame, MembersPull):
            found = (self.directory.get(name) for name in frame.vms)
            self._outbox.enqueue(vm, (member for member in found if member is not None))

    def tick(self, now_ms: int) -> Iterator[Action]:
        """Run the periodic work that is due."""
        yield from self._send_heartbeats(now_ms)
        yield from self._check_liveness(now_ms)
        self._evict_gone(now_ms)
        yield from self._edges.iter_dials(now_ms)
        yield from self._edges.iter_join_dials(now_ms)
        yield from self._edges.iter_closes(now_ms)
        yield from self._outbox.flush_ranks()
        if now_ms >= self._probe_due_ms:
            self._probe_due_ms = now_ms + self._jittered_ms(_PROBE_INTERVAL_HEARTBEATS)
            yield from self._edges.iter_probe_dials(now_ms)
        if now_ms >= self._repair_due_ms and self._edges.connected:
            self._repair_due_ms = now_ms + self._jittered_ms(
                _REPAIR_INTERVAL_HEARTBEATS
            )
            yield self._digest_to(self._rng.choice(sorted(self._edges.connected)))

    def flush(
        self, is_writable: Callable[[str], bool], now_ms: int
    ) -> Iterator[Action]:
        """Recompute the neighbours after changes and send queued records."""
        if self._is_choice_due:
            self._is_choice_due = False
            self._choose_neighbours(now_ms)
            yield from self._edges.iter_dials(now_ms)
        yield from self._outbox.flush(is_writable)

    def _send_heartbeats(self, now_ms: int) -> Iterator[Action]:
        if now_ms < self._heartbeat_due_ms:
            return
        self._heartbeat_due_ms = now_ms + self._settings.heartbeat_ms
        heartbeat = Heartbeat(self.directory.own().incarnation)
        for vm in sorted(self._edges.connected):
            yield Send(vm, heartbeat)

    def _check_liveness(self, now_ms: int) -> Iterator[Action]:
        """Replace silent streams and update the state of silent and suspect members.

        A stream can fail silently although a new stream to the same VM would work.
        Closing and redialling it one heartbeat before the suspicion is due avoids a
        false suspicion in that case.
        """
        suspect_ms = self._settings.heartbeat_ms * self._settings.n_heartbeats_missed
        redial_ms = max(suspect_ms - self._settings.heartbeat_ms, suspect_ms // 2)
        for vm in self._last_received.iter_silent(now_ms, redial_ms):
            if vm in self._edges.connected:
                yield Close(vm)
            if self._last_received.silence_ms(vm, now_ms) >= suspect_ms:
                self._last_received.unwatch(vm)
                yield from self._declare_state(vm, MemberState.SUSPECT, now_ms)
        for vm in self._suspicions.iter_expired(now_ms):
            yield from self._declare_state(vm, MemberState.GONE, now_ms)

    def _declare_state(
        self, vm: str, state: MemberState, now_ms: int
    ) -> Iterator[Action]:
        member = self.directory.get(vm)
        if member is not None and member.state < state:
            yield from self._merge_records((with_state(member, state),), "", now_ms)

    def _merge_records(
        self, members: Iterable[Member], sender: str, now_ms: int
    ) -> Iterator[Action]:
        """Merge records, forward the new ones and refute claims about this daemon."""
        for received in members:
            if received.vm == self.directory.own().vm:
                yield from self._refute(received.rank)
                continue
            self._outbox.discard_known(sender, received)
            before = self.directory.get(received.vm)
            for member in self.directory.merge((received,)):
                self._track_state(before, member, now_ms)
                self._outbox.add(member, sender)
                yield MemberChanged(before, member)

    def _merge_ranks(self, vm: str, frame: MemberRanks) -> Iterator[Action]:
        for remote in frame.ranks:
            if remote.vm == self.directory.own().vm:
                yield from self._refute(remote.rank)
            else:
                self._outbox.discard_known(vm, remote)
        yield from iter_pulls(self.directory, vm, frame)
        self._outbox.enqueue(vm, iter_newer_records(self.directory, frame))

    def _refute(self, rank: tuple[int, int, int]) -> Iterator[Action]:
        """Raise the incarnation if others hold a higher rank for this daemon."""
        if rank > self.directory.own().rank:
            yield from self._raise_incarnation(rank[0])

    def _raise_incarnation(self, incarnation: int) -> Iterator[Action]:
        own = self.directory.own()
        yield from self.publish(
            replace(own, incarnation=incarnation + 1, sequence=own.sequence + 1)
        )

    def _track_state(self, before: Member | None, member: Member, now_ms: int) -> None:
        # Neighbours are chosen again only if data on which the choice depends has
        # changed. The choice does not depend on targets, which change most often.
        self._is_choice_due |= before is None or _edge_key(before) != _edge_key(member)
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
        for vm in self._edges.wanted - wanted - self._edges.connected:
            self._last_received.unwatch(vm)
        self._edges.set_wanted(wanted, now_ms)
        for vm in wanted:
            self._last_received.watch(vm, now_ms)

    def _is_in_other_zone(self, vm: str) -> bool:
        """Return whether a member is known to be in another availability zone."""
        member = self.directory.get(vm)
        own_zone = self.directory.own().availability_zone
        return member is not None and member.availability_zone != own_zone

    def _evict_gone(self, now_ms: int) -> None:
        """Remove members that have been gone for the retention time.

        Otherwise the directory would grow without bound.
        """
        limit_ms = self._settings.heartbeat_ms * _RETENTION_HEARTBEATS
        for vm, since_ms in list(self._gone_since_ms.items()):
            if now_ms - since_ms >= limit_ms:
                del self._gone_since_ms[vm]
                self.directory.remove(vm)

    def _digest_to(self, vm: str) -> Send:
        return Send(vm, MembersDigest(self.directory.digests()))

    def _jittered_ms(self, n_heartbeats: int) -> int:
        """Return a duration with jitter, so that daemons do not run in lockstep."""
        time_ms = n_heartbeats * self._settings.heartbeat_ms
        return self._rng.randint(time_ms // 2, time_ms * 3 // 2)


def _edge_key(member: Member) -> tuple[int, MemberState, str]:
    return member.incarnation, member.state, member.availability_zone


__all__ = ["Membership"]
