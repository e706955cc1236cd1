"""The control plane on TCP streams."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

from pepperstair_core.config import MembersSettings, PeersSettings
from pepperstair_core.decisions import DecisionLog
from pepperstair_core.members import Member, MemberState
from pepperstair_core.membership import MemberDirectory
from pepperstair_core.wire import Prune, StreamKind
from pepperstair_peers import ControlPlane, FrameCounters, Identity, PeerListener
from pepperstaird.clock import monotonic_ms

from .peers import Relay, wait_for

MEMBERS = MembersSettings(heartbeat_ms=40, n_heartbeats_missed=4, suspicion_ms=120)
# Leaves enough time between the new stream and the suspicion on a loaded machine.
SLOW_MEMBERS = MembersSettings(heartbeat_ms=200, suspicion_ms=600)


class Daemon:
    """The control plane of one daemon, run in this process."""

    def __init__(
        self, vm: str, incarnation: int = 1, members: MembersSettings = MEMBERS
    ) -> None:
        self.vm = vm
        self.members = members
        self.incarnation = incarnation
        self.jump_ms = 0
        self.n_paused = 0

    async def start(self, seeds: tuple[str, ...], with_relay: bool = False) -> None:
        """Listen and join the fleet, advertising a relay's address if `with_relay`."""
        counters = {kind: FrameCounters() for kind in StreamKind}
        handlers = {
            StreamKind.CONTROL: lambda *opened: self.plane.serve_stream(*opened)
        }
        listening = Identity(self.vm, self.incarnation, "")
        self.listener = PeerListener(listening, 262_144, handlers, counters)
        self.address = f"127.0.0.1:{await self.listener.listen('127.0.0.1', 0)}"
        self.relay = Relay(self.address)
        await self.relay.start()
        advertised = self.relay.address if with_relay else self.address
        state = MemberState.ALIVE
        own = Member(self.vm, self.incarnation, 0, state, "pos-a", advertised, ())
        self.directory = MemberDirectory(own)
        self.plane = ControlPlane(
            Identity(self.vm, self.incarnation, advertised),
            self.directory,
            self.members,
            PeersSettings("", seed_addresses=seeds),
            counters[StreamKind.CONTROL],
            DecisionLog(lambda: 0),
            random.Random(self.vm),
            lambda: monotonic_ms() + self.jump_ms,
        )
        self.plane.on_paused = self._count_pause
        self.plane_address = advertised
        self.plane.start()

    def stop(self) -> None:
        """Close everything without a departure, as when the process is killed."""
        self.plane.close()
        self.listener.close()
        self.relay.close()

    def state_of(self, vm: str) -> MemberState | None:
        """Return the state of a VM in this daemon's directory, or None."""
        member = self.directory.get(vm)
        return None if member is None else member.state

    def sees_alive(self, vm: str) -> bool:
        """Return whether a VM is alive in this daemon's directory."""
        return self.state_of(vm) is MemberState.ALIVE

    def _count_pause(self) -> None:
        self.n_paused += 1


@contextlib.asynccontextmanager
async def running(
    *vms: str, with_relay: bool = False, members: MembersSettings = MEMBERS
) -> AsyncIterator[list[Daemon]]:
    """Yield running daemons, each of which sees all others as alive."""
    daemons: list[Daemon] = []
    try:
        for vm in vms:
            daemon = Daemon(vm, members=members)
            seeds = tuple(other.plane_address for other in daemons[:1])
            await daemon.start(seeds, with_relay)
            daemons.append(daemon)
        await wait_for(lambda: all(d.sees_alive(vm) for d in daemons for vm in vms))
        yield daemons
    finally:
        for daemon in daemons:
            daemon.stop()
        await asyncio.sleep(0)


def test_killed_daemon_is_gone_and_its_successor_is_alive():
    """A VM is killed without a departure, and its replacement has the same name."""

    async def scenario() -> None:
        async with running("a", "b", "c") as daemons:
            first, _, killed = daemons
            killed.stop()
            await wait_for(lambda: first.state_of("c") is MemberState.GONE)
            successor = Daemon("c", incarnation=2)
            await successor.start((first.plane_address,))
            await wait_for(lambda: first.state_of("c") is MemberState.ALIVE)
            assert first.directory.get("c").incarnation == 2
            successor.stop()

    asyncio.run(scenario())


def test_departure_is_announced_immediately():
    async def scenario() -> None:
        async with running("a", "b", "c") as daemons:
            daemons[2].plane.leave()
            await wait_for(
                lambda: all(d.state_of("c") is MemberState.LEFT for d in daemons[:2])
            )

    asyncio.run(scenario())


def test_silent_control_stream_is_replaced_without_a_suspicion():
    """A middlebox between two neighbours loses the state of their connection."""

    async def scenario() -> None:
        async with running("a", "b", with_relay=True, members=SLOW_MEMBERS) as daemons:
            first, second = daemons
            seen: set[MemberState | None] = set()
            first.plane.on_members_changed = lambda: seen.add(first.state_of("b"))
            connected_vms: list[str] = []
            first.plane.neighbour_up_callbacks.append(connected_vms.append)
            for daemon in (first, second):
                daemon.relay.silence()
            await wait_for(lambda: bool(connected_vms))
            frames: list[object] = []
            second.plane.on_configuration_frame = lambda vm, f: frames.append(f)

            def is_frame_received() -> bool:
                # Both ends dial again. Frames sent on the stream that loses the
                # race are lost; the callbacks report the change of streams.
                first.plane.send("b", Prune("lantern"))
                return Prune("lantern") in frames

            await wait_for(is_frame_received)
            assert seen <= {MemberState.ALIVE}

    asyncio.run(scenario())


def test_paused_daemon_rejoins_with_a_new_incarnation():
    """A VM resumes after a pause longer than its lease and must rejoin the fleet."""

    async def scenario() -> None:
        async with running("a", "b") as (first, second):
            first.jump_ms += 10_000
            assert first.plane.check_pause()
            assert not first.plane.check_pause()
            assert first.n_paused == 1
            await wait_for(lambda: second.directory.get("a").incarnation == 2)
            assert second.state_of("a") is MemberState.ALIVE

    asyncio.run(scenario())


def test_daemons_that_dial_each_other_at_once_keep_one_stream():
    """Two daemons repeatedly dial each other at the same time.

    If each closed the stream that the other one keeps, no stream would remain.
    """

    async def scenario() -> None:
        async with running("a", "b") as (first, second):
            lost: list[str] = []
            dials = [
                daemon.plane._dial(other.address)
                for _ in range(20)
                for daemon, other in ((first, second), (second, first))
            ]
            # Streams are replaced as long as dials are in progress, which on a loaded
            # machine can take longer than the sleep below.
            async with asyncio.timeout(10):
                await asyncio.gather(*dials)
            await asyncio.sleep(0.05)
            first.plane.neighbour_down_callbacks.append(lost.append)
            await asyncio.sleep(0.05)
            assert first.plane.is_writable("b") and second.plane.is_writable("a")
            assert lost == []

    asyncio.run(scenario())
