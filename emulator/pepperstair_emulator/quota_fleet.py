"""A fleet of daemons with delayed messages, partial views and faults."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final, Protocol

from msgspec.structs import replace

from pepperstair_core.intent import Account
from pepperstair_core.quota import owner_of

from .clock import VirtualClock
from .quota_loads import (
    APPLY_MS,
    CUT_MS,
    EVENT_MS,
    LENGTH_MS,
    N_DAEMONS,
    PAUSE_MS,
    Load,
    flooding_account,
    make_arrivals,
)

# Delay of a message, time after which a silent member is lost, time after which a
# member that is back is known, and time that a killed daemon takes to restart.
MESSAGE_MS: Final = (1.0, 30.0)
LOSS_MS: Final = (1_400.0, 1_900.0)
RETURN_MS: Final = (100.0, 800.0)
RESTART_MS: Final = (400.0, 1_200.0)
VMS: Final = tuple(f"vm-{number}" for number in range(N_DAEMONS))


class Way(Protocol):
    """A way of keeping quotas, with the state of all daemons."""

    def request(self, daemon: int, account: int) -> None:
        """Decide about a request; call `fleet.run_request` if it may run."""

    def members_changed(self, daemon: int) -> None:
        """Apply a changed view of the members."""

    def restart(self, daemon: int) -> None:
        """Discard the state of a daemon that was killed."""

    def resume(self, daemon: int) -> None:
        """Continue after a pause."""


class QuotaFleet:
    """Runs a load on one way of keeping quotas, and records the requests that ran."""

    def __init__(
        self,
        load: Load,
        accounts: list[Account],
        seed: int,
        make_way: Callable[[QuotaFleet], Way],
    ) -> None:
        self.clock = VirtualClock()
        self.rng = Random(f"network {seed}")
        self.load = load
        self.accounts = [list(accounts) for _ in VMS]  # as each daemon knows them
        self.flooding = flooding_account(seed)
        self.views: list[set[int]] = [set(range(N_DAEMONS)) for _ in VMS]
        self.is_down = [False] * N_DAEMONS
        self.paused_until_ms = [0.0] * N_DAEMONS
        self.sides = [0] * N_DAEMONS
        self.run_ms: list[list[float]] = [[] for _ in accounts]
        self.offered_ms: list[list[float]] = [[] for _ in accounts]
        self.n_messages = 0
        self.n_bytes = 0
        self._seed = seed
        self._way = make_way(self)

    @property
    def now_ms(self) -> float:
        """Return the virtual time."""
        return self.clock.now_ms

    def run(self) -> QuotaFleet:
        """Run the load to its end."""
        for arrival in make_arrivals(self.load, self.accounts[0], self._seed):
            self.clock.call_at(
                arrival.at_ms,
                lambda each=arrival: self._arrive(each.daemon, each.account),
            )
        schedule = getattr(self, f"_schedule_{self.load.event}", None)
        if schedule is not None:
            schedule()
        self.clock.run()
        return self

    def run_request(self, account: int) -> None:
        """Record that a request runs."""
        self.run_ms[account].append(self.now_ms)

    def send(
        self, sender: int, receiver: int, n_bytes: int, deliver: Callable[[], None]
    ) -> None:
        """Deliver a message after a delay, unless its receiver can't be reached."""
        if sender == receiver:
            deliver()
            return
        self.n_messages += 1
        self.n_bytes += n_bytes

        def arrive() -> None:
            is_cut = self.sides[sender] != self.sides[receiver]
            is_paused = self.now_ms < self.paused_until_ms[receiver]
            if not (is_cut or is_paused or self.is_down[receiver]):
                deliver()

        self.clock.call_later(self.rng.uniform(*MESSAGE_MS), arrive)

    def _arrive(self, daemon: int, account: int) -> None:
        if self.is_down[daemon] or self.now_ms < self.paused_until_ms[daemon]:
            return
        self.offered_ms[account].append(self.now_ms)
        self._way.request(daemon, account)

    def _owner(self) -> int:
        name = self.accounts[0][self.flooding].name
        return VMS.index(owner_of(name, VMS))

    def _schedule_owner_dies(self) -> None:
        owner = self._owner()
        self.clock.call_at(EVENT_MS, lambda: self._kill(owner))
        for daemon in range(N_DAEMONS):
            self._change_view(daemon, EVENT_MS, LOSS_MS, lost={owner})

    def _schedule_cut(self) -> None:
        cut = {number for number in range(N_DAEMONS) if number % 3 == 0}
        self.clock.call_at(EVENT_MS, lambda: self._set_sides(cut))
        self.clock.call_at(EVENT_MS + CUT_MS, lambda: self._set_sides(set()))
        for daemon in range(N_DAEMONS):
            others = set(range(N_DAEMONS)) - cut if daemon in cut else cut
            for other in others:
                self._change_view(daemon, EVENT_MS, LOSS_MS, lost={other})
                self._change_view(
                    daemon, EVENT_MS + CUT_MS, RETURN_MS, returned={other}
                )

    def _schedule_all_killed(self) -> None:
        for daemon in range(N_DAEMONS):
            back_ms = EVENT_MS + self.rng.uniform(*RESTART_MS)
            self.clock.call_at(EVENT_MS, lambda each=daemon: self._kill(each))
            self.clock.call_at(back_ms, lambda each=daemon: self._start(each))
        latest_ms = EVENT_MS + RESTART_MS[1]
        for daemon in range(N_DAEMONS):
            for other in range(N_DAEMONS):
                self._change_view(daemon, latest_ms, RETURN_MS, returned={other})

    def _schedule_pause(self) -> None:
        owner = self._owner()
        end_ms = EVENT_MS + PAUSE_MS
        self.clock.call_at(EVENT_MS, lambda: self._pause(owner, end_ms))
        self.clock.call_at(end_ms, lambda: self._way.resume(owner))
        for daemon in range(N_DAEMONS):
            if daemon != owner:
                self._change_view(daemon, EVENT_MS, LOSS_MS, lost={owner})
                self._change_view(daemon, end_ms, RETURN_MS, returned={owner})

    def _schedule_lowered(self) -> None:
        for daemon in range(N_DAEMONS):
            at_ms = EVENT_MS + self.rng.uniform(0.0, APPLY_MS)
            self.clock.call_at(at_ms, lambda each=daemon: self._lower(each))

    def _lower(self, daemon: int) -> None:
        account = self.accounts[daemon][self.flooding]
        self.accounts[daemon][self.flooding] = replace(
            account, rate_per_s=account.rate_per_s / 2, burst=account.burst // 2
        )

    def _change_view(
        self,
        daemon: int,
        since_ms: float,
        delay_ms: tuple[float, float],
        lost: frozenset[int] | set[int] = frozenset(),
        returned: frozenset[int] | set[int] = frozenset(),
    ) -> None:
        def change() -> None:
            self.views[daemon] = (self.views[daemon] - lost) | returned
            if not self.is_down[daemon]:
                self._way.members_changed(daemon)

        if daemon not in lost:
            self.clock.call_at(since_ms + self.rng.uniform(*delay_ms), change)

    def _kill(self, daemon: int) -> None:
        self.is_down[daemon] = True

    def _start(self, daemon: int) -> None:
        self.is_down[daemon] = False
        self.views[daemon] = {daemon}
        self._way.restart(daemon)

    def _pause(self, daemon: int, end_ms: float) -> None:
        self.paused_until_ms[daemon] = end_ms

    def _set_sides(self, cut: set[int]) -> None:
        self.sides = [int(number in cut) for number in range(N_DAEMONS)]


__all__ = ["LENGTH_MS", "VMS", "QuotaFleet", "Way"]
