"""One VM of a simulated fleet: its target, and its daemon apart from the membership."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec.structs import replace

from pepperstair_core.calls import TargetExclusions
from pepperstair_core.decisions import DecisionLog
from pepperstair_core.errors import PepperstairError
from pepperstair_core.labels import parse_selector
from pepperstair_core.members import Target, TargetState
from pepperstair_core.policies import DEFAULT_POLICY
from pepperstair_core.routing import Endpoint, EndpointTable
from pepperstair_targets import (
    Announcement,
    OrderedAnnouncements,
    TargetOptions,
    TargetRegistry,
    TargetRunner,
)
from tests.peers import call_head

if TYPE_CHECKING:
    from tests.exclusion_fleet import ExclusionFleet

HEARTBEAT_MS: Final = 870
LEASE_MS: Final = 4 * HEARTBEAT_MS
# Time that a target waits for the answer to a heartbeat.
HEARTBEAT_TIMEOUT_MS: Final = 1000
EVERY: Final = parse_selector("").unwrap()


class Vm:
    """The target and the daemon of one VM, apart from its membership."""

    def __init__(self, fleet: ExclusionFleet, name: str, options: TargetOptions):
        self.fleet = fleet
        self.name = name
        self.options = options
        self.sequence = 0
        # Until when heartbeats are held up, calls slow, or the daemon paused.
        self.late_until_ms = self.slow_until_ms = self.paused_until_ms = 0.0
        # Until when the target refuses requests as if another one had its address.
        self.refusing_until_ms = 0.0
        self.n_refused = 0
        self.start_daemon()

    def start_daemon(self) -> None:
        """Start a daemon process, which knows nothing of an earlier one."""
        fleet = self.fleet
        self.registry = TargetRegistry(LEASE_MS)
        self.runner = TargetRunner(
            self.registry,
            lambda: fleet.now_ms,
            lambda customer, target: DEFAULT_POLICY,
            DecisionLog(lambda: 0),
            self.options,
        )
        self.announcements = OrderedAnnouncements(
            self.registry, lambda: fleet.now_ms, lambda: fleet.now_ms, LEASE_MS
        )
        self.exclusions = TargetExclusions()
        self.table = EndpointTable()
        self.registry.on_changed = self.publish

    @property
    def membership(self):
        """Return the membership of the daemon."""
        return self.fleet.network.nodes[self.name].membership

    @property
    def target(self) -> Target:
        """Return the target as which the target announces itself."""
        return Target(f"i-{self.name}", "127.0.0.1:1", (), 4, 9, TargetState.SERVING)

    @property
    def is_paused(self) -> bool:
        """Return whether the daemon does not run."""
        return self.fleet.now_ms < self.paused_until_ms

    def publish(self) -> None:
        """Publish the targets of this VM, as the daemon does."""
        self.runner.sync_with_registry()
        own = self.membership.directory.own()
        changed = replace(
            own, sequence=own.sequence + 1, targets=self.registry.targets()
        )
        self.fleet.network.execute(self.name, self.membership.publish(changed))
        self.rebuild()

    def rebuild(self) -> None:
        """Build the endpoints from the known members and the exclusions."""
        directory, now_ms = self.membership.directory, self.fleet.now_ms
        self.exclusions.update_members(directory.members(), now_ms)
        excluded = self.exclusions.excluded(directory.get, now_ms)
        self.table = EndpointTable(
            directory.members(), previous=self.table, excluded=excluded
        )

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the targets that this daemon sends calls to."""
        return self.table.endpoints(EVERY)

    def accept_heartbeat(self, sequence: int, due_ms: float) -> None:
        """Handle a heartbeat, unless its target has stopped waiting for the answer.

        One that is only late on its way is accepted.
        """
        if self.is_paused:
            if self.paused_until_ms - due_ms < HEARTBEAT_TIMEOUT_MS:
                self.fleet.at(
                    self.paused_until_ms,
                    lambda: self.accept_heartbeat(sequence, due_ms),
                )
            return
        self.announcements.accept(Announcement(self.target, 1, sequence))

    def run_call(self, caller: Vm, endpoint: Endpoint, sent_ms: float) -> None:
        """Run a call of another daemon, or refuse it."""
        fleet = self.fleet
        if self.is_paused:
            fleet.at(
                self.paused_until_ms, lambda: self.run_call(caller, endpoint, sent_ms)
            )
            return
        head = replace(call_head(1), target=endpoint.target.name)
        try:
            target = self.runner._require_target(head, fleet.now_ms)
        except PepperstairError:
            self.refuse(caller, endpoint, sent_ms)
            return
        if fleet.now_ms < self.refusing_until_ms:
            self.refuse(caller, endpoint, sent_ms)
            return
        self.runner._renew_lease(self.runner._ensure_local_target(target))

    def refuse(self, caller: Vm, endpoint: Endpoint, sent_ms: float) -> None:
        """Send a refusal back to the daemon that sent the call."""
        self.n_refused += 1
        process = caller.exclusions

        def receive() -> None:
            member = caller.membership.directory.get(endpoint.vm)
            if member is None or caller.exclusions is not process:
                return
            if caller.exclusions.add_absent(
                endpoint.key, member, sent_ms, self.fleet.now_ms
            ):
                caller.rebuild()

        self.fleet.at(self.fleet.now_ms + self.fleet.delay_ms(self), receive)


__all__ = ["HEARTBEAT_MS", "LEASE_MS", "Vm"]
