"""Agreement of daemons on rollouts, over a network and rows in memory."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

import pytest
from msgspec.structs import replace
from result import Err, Ok
from structlog.testing import capture_logs

from pepperstair_core.config import RolloutsSettings
from pepperstair_core.decisions import DecisionLog
from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.events import Event
from pepperstair_core.intent import Route, Service
from pepperstair_core.labels import parse_selector
from pepperstair_core.members import Member, MemberState, Target, TargetState
from pepperstair_core.membership import MemberDirectory
from pepperstair_core.rollout import Phase, RolloutOrder, RolloutState, RolloutTerms
from pepperstair_core.routing import CompiledRoute, Endpoint, EndpointTable
from pepperstair_core.wire import RolloutUpdate
from pepperstair_peers import Identity
from pepperstair_platform import WatchedRow
from pepperstaird import rollout_exchange, rollout_writer, rollouts
from pepperstaird.rolling_out import make_rollouts
from pepperstaird.rollout_rows import OrderRow, StoredRollout
from pepperstaird.rollout_targets import ServiceTargets
from pepperstaird.rollouts import Rollouts

TERMS = RolloutTerms(0.1, 50, 5_000)
SECONDS = 1_000
ROUTE = CompiledRoute(
    "c",
    1,
    Route("r", "/", "ledger"),
    Service("ledger", "service=ledger"),
    parse_selector("service=ledger").unwrap(),
)


@pytest.fixture(autouse=True)
def _short_intervals(monkeypatch):
    monkeypatch.setattr(rollouts, "_TICK_S", 0.01)
    monkeypatch.setattr(rollout_exchange, "EVIDENCE_BATCH_S", 0.005)


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        self.now_ms = 1_000_000.0

    def __call__(self):
        return self.now_ms


class FakeRows:
    """Rows in memory, with a store that may be down or lose answers."""

    def __init__(self):
        self.stored: dict[str, StoredRollout] = {}
        self.answers: list[tuple[str, str]] = []
        self.n_writes = 0
        self.n_reads = 0
        self.is_down = False
        self.is_losing_answers = False

    def service_of(self, target):
        return target.label("service")

    def read_orders(self, rows):
        for row in rows:
            service = row.key.removeprefix("rollout/")
            order = None
            if row.value is not None:
                target, duration_ms = json.loads(row.value)
                order = RolloutOrder(service, target, duration_ms, row.version)
            yield OrderRow(service, order, row.version)

    async def read(self):
        self.n_reads += 1
        await asyncio.sleep(0)
        if self.is_down:
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
        return Ok(tuple(self.stored.values()))

    async def read_at_start(self):
        return await self.read()

    async def write(self, state, row_version, *, is_withdrawn=False):
        await asyncio.sleep(0)
        if self.is_down:
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
        service = state.order.service
        known = self.stored.get(service)
        if (known.row_version if known is not None else 0) != row_version:
            return Ok(False)
        self.n_writes += 1
        self.stored[service] = StoredRollout(state, 100 + self.n_writes)
        if not is_withdrawn:
            self.answers.append((state.order.target_version, state.phase.name))
        if self.is_losing_answers:
            return Err(Failure(ErrorKind.CHANGE_OUTCOME_UNKNOWN))
        return Ok(True)


class FakeControl:
    """A control plane that delivers frames to the daemons of the same network."""

    def __init__(self, fleet, vm):
        self.fleet, self.vm = fleet, vm
        self.neighbour_up_callbacks = []
        self.frame_handlers = {}
        self.sent = []

    @property
    def neighbours(self):
        if self.vm in self.fleet.cut_off:
            return ()
        return tuple(
            vm
            for vm in self.fleet.daemons
            if vm != self.vm and vm not in self.fleet.cut_off
        )

    def send(self, vm, *frames):
        for frame in frames:
            self.sent.append((vm, frame))
            handlers = self.fleet.daemons[vm].control.frame_handlers
            handlers[RolloutUpdate](self.vm, frame)


class FakeDaemon:
    """The parts of a daemon that take part in rollouts."""

    def __init__(self, fleet, vm, start_id=1):
        self.fleet, self.vm, self.start_id = fleet, vm, start_id
        self.control = FakeControl(fleet, vm)
        self.decisions = DecisionLog(lambda: 0)
        self.confirmed_ms = float("-inf")
        self.n_unfinished = 0
        self.directory = MemberDirectory(fleet.members[vm])
        list(self.directory.merge(fleet.members.values()))
        self.rollouts = Rollouts(
            Identity(vm, start_id, "", 500),
            self.control,
            self.directory,
            fleet.rows,
            TERMS,
            self.decisions,
            lambda is_counted: self.n_unfinished,
            lambda: self.confirmed_ms,
            fleet.clock,
        )

    @property
    def phase(self):
        """Return the phase of the service's rollout, None without one."""
        explained = self.rollouts.explain()
        return explained[0]["phase"] if explained else None

    def start(self):
        self.rollouts.start()
        self.rollouts.update_targets()
        for other in self.control.neighbours:
            for callback in self.fleet.daemons[other].control.neighbour_up_callbacks:
                callback(self.vm)

    def picks(self, n=200):
        """Return how many of n requests go to each version."""
        table = EndpointTable(self.directory.members(), {})
        counts = {}
        for _ in range(n):
            picked = self.rollouts.routing.pick_version(ROUTE)
            endpoints = table.endpoints(picked.target_selector, "c", picked.target_keys)
            version = "+".join(
                sorted({item.target.label("version") for item in endpoints})
            )
            counts[version] = counts.get(version, 0) + 1
        return counts

    def run(self, version, is_bad=False, n=1):
        """Record outcomes of calls at this VM's target."""
        for _ in range(n):
            self.rollouts.record(make_target(self.vm, version), "r", is_bad, 20.0)

    def refusal(self, version):
        """Return why a target of a version on this VM refuses calls."""
        return self.rollouts.refusal(make_target(self.vm, version))


class Fleet:
    """Daemons beside an old and a new target each, and one beside none."""

    def __init__(self, versions=None):
        self.clock = Clock()
        self.rows = FakeRows()
        self.cut_off = set()
        versions = versions or {"a": "v1", "b": "v1", "c": "v2", "d": "v2", "e": ""}
        self.members = {vm: make_member(vm, item) for vm, item in versions.items()}
        self.daemons = {}
        for vm in versions:
            self.daemons[vm] = FakeDaemon(self, vm)

    async def start(self):
        """Start all daemons and wait until they have read the agreed states."""
        for daemon in self.daemons.values():
            daemon.start()
        await settle()

    def order(self, target="v2", number=5, duration_ms=12 * SECONDS, at="e"):
        """Let one daemon read the row of an order."""
        value = json.dumps([target, duration_ms]).encode()
        row = WatchedRow("rollout/ledger", value, number)
        self.daemons[at].rollouts.read_rows((row,), None)

    async def advance(self, ms):
        """Advance the clock in steps, with time for the daemons to act."""
        while ms > 0:
            self.clock.now_ms += min(ms, 300)
            ms -= 300
            await settle()

    async def restart(self, vm):
        """Replace a daemon by a new process."""
        self.daemons[vm].rollouts.close()
        start_id = self.daemons[vm].start_id + 1
        self.daemons[vm] = FakeDaemon(self, vm, start_id)
        self.daemons[vm].start()
        await settle()

    def phases(self):
        """Return the phases that the daemons know."""
        return {daemon.phase for daemon in self.daemons.values()}

    def close(self):
        for daemon in self.daemons.values():
            daemon.rollouts.close()


def make_target(vm, version):
    labels = (("service", "ledger"), ("version", version))
    return Target(f"t-{vm}", "", labels, 4, 9, TargetState.SERVING)


def make_member(vm, version):
    targets = (make_target(vm, version),) if version else ()
    return Member(vm, 1, 0, MemberState.ALIVE, "z", "", (), targets)


def endpoint_of(vm, version):
    return Endpoint(vm, "z", "", make_target(vm, version))


async def settle():
    """Wait for some ticks of all daemons."""
    await asyncio.sleep(0.05)


def with_versions(versions):
    """Run a test with started daemons beside targets of the given versions by VM."""

    def decorate(test):
        def run():
            async def scenario():
                fleet = Fleet(versions)
                await fleet.start()
                try:
                    await asyncio.wait_for(test(fleet), 20)
                finally:
                    fleet.close()

            asyncio.run(scenario())

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return decorate


with_fleet = with_versions(None)


@with_fleet
async def test_order_reaches_every_daemon_and_is_answered_once(fleet):
    """Guards against orders that only the daemons follow which read the rows."""
    fleet.order()
    await settle()
    assert fleet.phases() == {"canary"}
    await fleet.advance(3 * SECONDS)
    assert fleet.rows.answers == [("v2", "CANARY")]


@with_fleet
async def test_each_daemon_sends_a_small_share_to_the_new_version(fleet):
    """Guards against exposure above the limit, of which canary spends half."""
    fleet.order()
    await settle()
    counts = fleet.daemons["e"].picks(400)
    assert set(counts) == {"v1", "v2"}
    assert 0 < counts["v2"] <= 0.05 * 400 + 25 / 5 + 1


@with_fleet
async def test_bad_version_is_rolled_back_everywhere(fleet):
    """Guards against a verdict that stays with the daemon beside the target."""
    fleet.order()
    await settle()
    fleet.daemons["a"].run("v1", n=100)
    fleet.daemons["c"].run("v2", is_bad=True, n=20)
    await fleet.advance(3 * SECONDS)
    assert fleet.phases() == {"rolled_back"}
    assert fleet.rows.answers[-1] == ("v2", "ROLLED_BACK")
    assert fleet.daemons["e"].picks() == {"v1": 200}
    assert fleet.daemons["c"].refusal("v2") is ErrorKind.VERSION_HELD


@with_fleet
async def test_verdict_is_acted_on_while_the_store_is_down(fleet):
    """Guards against requests to a bad version until the store is back."""
    fleet.order()
    await settle()
    fleet.rows.is_down = True
    fleet.daemons["a"].run("v1", n=100)
    fleet.daemons["c"].run("v2", is_bad=True, n=20)
    await fleet.advance(2 * SECONDS)
    assert fleet.phases() == {"canary"}
    assert all(item.picks() == {"v1": 200} for item in fleet.daemons.values())
    fleet.rows.is_down = False
    await fleet.advance(4 * SECONDS)
    assert fleet.phases() == {"rolled_back"}


@with_fleet
async def test_completion_waits_until_nothing_runs_on_old_targets(fleet):
    """Guards against calls that are cut off when the old targets are stopped."""
    fleet.order()
    fleet.daemons["b"].n_unfinished = 1
    await fleet.advance(11_100)
    assert fleet.phases() == {"promoting"}
    assert fleet.daemons["e"].picks() == {"v2": 200}
    assert fleet.daemons["b"].refusal("v1") is ErrorKind.VERSION_SUPERSEDED
    await fleet.advance(2 * SECONDS)
    assert fleet.phases() == {"promoting"}
    fleet.daemons["b"].n_unfinished = 0
    await fleet.advance(2 * SECONDS)
    assert fleet.phases() == {"completed"}
    assert fleet.rows.answers[-1] == ("v2", "COMPLETED")
    assert fleet.daemons["e"].picks() == {"v2": 200}


@with_fleet
async def test_restarted_daemon_beside_old_targets_holds_the_completion_back(fleet):
    """Guards against calls cut off as the report of an earlier process still counts."""
    fleet.order()
    fleet.daemons["a"].n_unfinished = 1
    await fleet.advance(11_700)
    assert fleet.phases() == {"promoting"}
    assert fleet.daemons["b"].refusal("v1") is ErrorKind.VERSION_SUPERSEDED
    await fleet.restart("b")
    assert fleet.daemons["b"].refusal("v1") is None
    fleet.daemons["b"].n_unfinished = 1
    fleet.daemons["a"].n_unfinished = 0
    await settle()
    assert fleet.phases() == {"promoting"}
    await fleet.advance(2 * SECONDS)
    assert fleet.phases() == {"promoting"}
    fleet.daemons["b"].n_unfinished = 0
    await fleet.advance(1 * SECONDS)
    assert fleet.rows.answers[-1] == ("v2", "COMPLETED")


@with_fleet
async def test_old_version_keeps_most_requests_until_shortly_before_completion(fleet):
    """Guards against a promotion that leaves no old version to compare with."""
    fleet.order()
    await fleet.advance(10_200)
    assert fleet.phases() == {"promoting"}
    counts = fleet.daemons["e"].picks(100)
    assert 0 < counts["v2"] <= 25 < counts["v1"]
    assert fleet.daemons["b"].refusal("v1") is None
    routing = fleet.daemons["e"].rollouts.routing
    failed = Failure(ErrorKind.TARGET_FAILED)
    other = routing.pick_other_version(ROUTE, endpoint_of("c", "v2"), failed)
    table = EndpointTable(fleet.daemons["e"].directory.members(), {})
    assert {item.vm for item in table.endpoints(other.target_selector)} == {"a", "b"}


@with_fleet
async def test_call_refused_by_an_old_target_goes_to_the_new_version(fleet):
    """Guards against lost calls of daemons that do not know of the promotion yet."""
    fleet.order()
    await settle()
    routing = fleet.daemons["e"].rollouts.routing
    superseded = Failure(ErrorKind.VERSION_SUPERSEDED)
    other = routing.pick_other_version(ROUTE, endpoint_of("a", "v1"), superseded)
    table = EndpointTable(fleet.daemons["e"].directory.members(), {})
    found = table.endpoints(other.target_selector)
    assert {item.vm for item in found} == {"c", "d"}
    failed = Failure(ErrorKind.TARGET_FAILED)
    other = routing.pick_other_version(ROUTE, endpoint_of("c", "v2"), failed)
    found = table.endpoints(other.target_selector)
    assert {item.vm for item in found} == {"a", "b"}
    other = routing.pick_other_version(ROUTE, endpoint_of("a", "v1"), failed)
    assert {item.vm for item in table.endpoints(other.target_selector)} == {"a", "b"}


@with_fleet
async def test_retry_of_a_call_from_before_the_order_stays_with_the_old_version(fleet):
    """Guards against retries that reach the new version outside of the exposure."""
    fleet.order()
    await settle()
    daemon = fleet.daemons["e"]
    failed = Failure(ErrorKind.TARGET_FAILED)
    other = daemon.rollouts.routing.pick_other_version(
        ROUTE, endpoint_of("a", "v1"), failed
    )
    table = EndpointTable(daemon.directory.members(), {})
    found = table.endpoints((other or ROUTE).target_selector)
    assert {item.vm for item in found} == {"a", "b"}


@with_fleet
async def test_dead_writer_is_replaced_by_the_next_in_rank(fleet):
    """Guards against a state that is written only by a daemon which has died."""
    writers = sorted(
        fleet.daemons, key=lambda vm: fleet.daemons[vm].rollouts._rank("ledger")
    )
    fleet.daemons[writers[0]].rollouts.close()
    fleet.order(at=writers[1])
    await settle()
    assert fleet.rows.answers == []
    await fleet.advance(rollout_writer.RANK_DELAY_MS)
    assert fleet.rows.answers == [("v2", "CANARY")]


@with_fleet
async def test_order_is_completed_in_time_without_the_first_three_writers(fleet):
    """Guards against a deadline missed as writers are cut off from the store."""
    fleet.order()
    await settle()
    writers = sorted(
        fleet.daemons, key=lambda vm: fleet.daemons[vm].rollouts._rank("ledger")
    )
    for vm in writers[:3]:
        fleet.daemons[vm].rollouts._writer.propose = lambda *args, **named: None
    await fleet.advance(12 * SECONDS - 200)
    assert fleet.rows.answers[-1] == ("v2", "COMPLETED")


@with_fleet
async def test_good_version_is_completed_although_the_store_is_down_for_9_s(fleet):
    """Guards against a promotion that waits for its row until it is too late."""
    fleet.order()
    await fleet.advance(1_800)
    fleet.rows.is_down = True
    await fleet.advance(9 * SECONDS)
    assert fleet.phases() == {"promoting"}
    fleet.rows.is_down = False
    await fleet.advance(1 * SECONDS)
    assert fleet.rows.answers[-1] == ("v2", "COMPLETED")


@with_fleet
async def test_minority_does_not_promote_while_the_store_is_down(fleet):
    """Guards against cut-off daemons that promote against the agreed state."""
    fleet.order()
    await settle()
    fleet.rows.is_down = True
    daemon = fleet.daemons["e"]
    daemon.rollouts._directory = directory = MemberDirectory(fleet.members["e"])
    list(directory.merge([fleet.members["a"]]))
    daemon.rollouts.update_targets()
    daemon.rollouts._promote_unwritten(
        RolloutState(RolloutOrder("ledger", "v2", 12_000, 5), Phase.PROMOTING, 10_000)
    )
    assert daemon.phase == "canary"


@with_fleet
async def test_lost_answer_is_not_written_again(fleet):
    """Guards against a writer that takes its own write for that of another."""
    fleet.rows.is_losing_answers = True
    fleet.order()
    await fleet.advance(2 * SECONDS)
    assert fleet.rows.n_writes == 1
    assert fleet.phases() == {"canary"}


@with_fleet
async def test_restarted_daemon_keeps_to_the_agreed_phase(fleet):
    """Guards against requests to a rolled-back version after all daemons restart."""
    fleet.order()
    await settle()
    fleet.daemons["a"].run("v1", n=100)
    fleet.daemons["c"].run("v2", is_bad=True, n=20)
    await fleet.advance(3 * SECONDS)
    for vm in tuple(fleet.daemons):
        fleet.cut_off.add(vm)
        await fleet.restart(vm)
    fleet.order(at="e")
    assert fleet.daemons["e"].phase == "rolled_back"
    assert fleet.daemons["e"].picks() == {"v1": 200}


@with_fleet
async def test_restarted_daemon_sends_nothing_to_the_new_version_before_it_has_read(
    fleet,
):
    """Guards against a second share of exposure, or a phase that was replaced."""
    fleet.order()
    await settle()
    fleet.rows.is_down = True
    await fleet.restart("e")
    assert fleet.daemons["e"].phase == "canary"
    assert fleet.daemons["e"].picks() == {"v1": 200}
    await fleet.restart("c")
    assert fleet.daemons["c"].refusal("v2") is ErrorKind.VERSION_HELD


@with_fleet
async def test_restarts_of_a_daemon_do_not_add_to_its_exposure(fleet):
    """Guards against a new part of the slack for each start of a process."""
    fleet.order()
    await fleet.advance(300)
    n_exposed = fleet.daemons["e"].picks(20).get("v2", 0)
    for _ in range(10):
        await fleet.advance(300)
        await fleet.restart("e")
        n_exposed += fleet.daemons["e"].picks(20).get("v2", 0)
    assert 5 <= n_exposed <= 0.1 * 220 + 50 / 5


@with_fleet
async def test_clock_of_an_order_does_not_restart_with_a_daemon(fleet):
    """Guards against rollouts that end after their deadline."""
    fleet.order()
    await fleet.advance(6 * SECONDS)
    await fleet.restart("e")
    (explained,) = fleet.daemons["e"].rollouts.explain()
    assert explained["left_ms"] <= 6 * SECONDS


@with_fleet
async def test_replaced_order_bars_its_version_and_starts_anew(fleet):
    """Guards against counts or phases of an order that apply to the next one."""
    fleet.order()
    await settle()
    fleet.daemons["a"].run("v1", n=100)
    fleet.daemons["c"].run("v2", is_bad=True, n=20)
    await fleet.advance(3 * SECONDS)
    fleet.order(target="v3", number=9)
    await settle()
    assert fleet.phases() == {"canary"}
    for daemon in fleet.daemons.values():
        daemon.confirmed_ms = fleet.clock.now_ms + 60 * SECONDS
    await settle()
    assert fleet.daemons["e"].picks() == {"v1": 200}
    fleet.order(target="v2", number=5)
    assert fleet.daemons["e"].rollouts.explain()[0]["target_version"] == "v3"


@with_fleet
async def test_withdrawn_order_ends_the_rollout_without_an_answer(fleet):
    """Guards against a rollout that goes on, or is answered, without an order."""
    fleet.order()
    await fleet.advance(1 * SECONDS)
    fleet.daemons["e"].rollouts.read_rows(
        (WatchedRow("rollout/ledger", None, 8),), None
    )
    assert fleet.daemons["e"].picks() == {"v1": 200}
    await fleet.advance(3 * SECONDS)
    assert fleet.phases() == {"rolled_back"}
    assert fleet.rows.answers == [("v2", "CANARY")]


def test_withdrawal_is_written_by_a_daemon_of_any_rank():
    """Guards against the promotion of a withdrawn order, as few daemons read rows."""

    async def scenario():
        fleet = Fleet({f"vm-{i}": "v1" if i < 20 else "v2" for i in range(40)})
        await fleet.start()
        last = max(
            fleet.daemons, key=lambda vm: fleet.daemons[vm].rollouts._rank("ledger")
        )
        fleet.order(at=last)
        await fleet.advance(1 * SECONDS)
        withdrawn = WatchedRow("rollout/ledger", None, 8)
        fleet.daemons[last].rollouts.read_rows((withdrawn,), None)
        await fleet.advance(1 * SECONDS)
        assert fleet.phases() == {"rolled_back"}
        fleet.close()

    asyncio.run(scenario())


@with_fleet
async def test_order_missing_from_the_whole_table_counts_as_withdrawn(fleet):
    """Guards against orders whose removal was lost with the history of the table."""
    fleet.order()
    await fleet.advance(1 * SECONDS)
    reader = fleet.daemons["e"].rollouts
    reader.read_rows((), 4)
    assert reader.n_suspended == 0
    reader.read_rows((), 8)
    assert reader.n_suspended == 1


@with_fleet
async def test_unseen_version_gets_nothing_until_a_newer_confirmation(fleet):
    """Guards against requests to a version whose order is not known here yet."""
    daemon = fleet.daemons["e"]
    daemon.directory = MemberDirectory(fleet.members["e"])
    daemon.rollouts._directory = daemon.directory
    list(daemon.directory.merge([fleet.members["a"]]))
    daemon.rollouts.update_targets()
    await fleet.advance(6 * SECONDS)
    list(daemon.directory.merge([make_member("c", "v3")]))
    daemon.rollouts.update_targets()
    assert daemon.picks() == {"v1": 200}
    daemon.confirmed_ms = fleet.clock.now_ms - 1
    await settle()
    assert daemon.picks() == {"v1": 200}
    await fleet.advance(2 * SECONDS)
    assert daemon.picks() == {"v1": 200}
    daemon.confirmed_ms = fleet.clock.now_ms
    await settle()
    assert daemon.picks() == {"v1+v3": 200}


@with_fleet
async def test_release_and_hold_of_a_version_are_logged_once_with_their_cause(fleet):
    """Guards against requests to a version that no record can explain."""
    daemon = fleet.daemons["e"]
    with capture_logs() as lines:
        await fleet.advance(2 * SECONDS)
        daemon.confirmed_ms = fleet.clock.now_ms
        daemon.rollouts.update_targets()
        daemon.rollouts.update_targets()
    released = [line for line in lines if line["event"] == Event.VERSION_RELEASED]
    assert sorted((line["target_version"], line["cause"]) for line in released) == [
        ("v1", "no order names it"),
        ("v2", "no order names it"),
    ]
    held = [line["versions"] for line in lines if line["event"] == Event.VERSION_HELD]
    assert held == [[]]
    fleet.order()
    await settle()
    (explained,) = daemon.rollouts.explain()
    assert explained["held"] == []


@with_fleet
async def test_rules_are_not_computed_again_while_nothing_can_change(fleet):
    """Guards against work on each tick where versions are used without an order."""
    daemon = fleet.daemons["e"]
    await fleet.advance(2 * SECONDS)
    daemon.confirmed_ms = fleet.clock.now_ms
    await settle()
    n_updates = 0
    update = daemon.rollouts.routing.update

    def count_update(*arguments):
        nonlocal n_updates
        n_updates += 1
        update(*arguments)

    daemon.rollouts.routing.update = count_update
    await settle()
    assert n_updates == 0
    list(daemon.directory.merge([make_member("f", "v3")]))
    daemon.rollouts.update_targets()
    await settle()
    assert n_updates > 1
    fleet.order()
    n_updates = 0
    await settle()
    assert n_updates > 1


@with_fleet
async def test_daemon_cut_off_from_others_keeps_to_its_exposure(fleet):
    """Guards against a daemon that takes silence for a promotion."""
    fleet.order()
    await settle()
    fleet.cut_off.add("e")
    fleet.rows.is_down = True
    await fleet.advance(20 * SECONDS)
    assert fleet.daemons["e"].phase == "canary"
    counts = fleet.daemons["e"].picks(400)
    assert counts["v2"] <= 0.05 * 400 + 25 / 5 + 1


@with_fleet
async def test_evidence_is_forwarded_once_and_not_to_its_sender(fleet):
    """Guards against evidence that circulates in the fleet forever."""
    fleet.order()
    await settle()
    for daemon in fleet.daemons.values():
        daemon.control.sent.clear()
    fleet.daemons["c"].run("v2")
    await settle()
    own = [vm for vm, _ in fleet.daemons["c"].control.sent]
    assert sorted(own) == ["a", "b", "d", "e"]
    forwarded = [vm for vm, _ in fleet.daemons["d"].control.sent]
    assert "c" not in forwarded and len(forwarded) <= 3


@with_fleet
async def test_new_neighbour_gets_orders_phases_and_evidence(fleet):
    """Guards against daemons that join late and follow an outdated phase."""
    fleet.order()
    await settle()
    fleet.daemons["a"].run("v1", n=3)
    await fleet.advance(10 * SECONDS)
    await fleet.restart("e")
    (explained,) = fleet.daemons["e"].rollouts.explain()
    assert explained["phase"] == "promoting"
    assert [counts["n_run"] for counts in explained["counts"]] == [3]


@with_fleet
async def test_order_for_the_version_in_use_leaves_its_requests(fleet):
    """Guards against a service without targets after an order for what it runs."""
    daemon = fleet.daemons["e"]
    daemon.rollouts._directory = directory = MemberDirectory(fleet.members["e"])
    list(directory.merge([fleet.members["a"]]))
    daemon.directory = directory
    daemon.rollouts.update_targets()
    await fleet.advance(6 * SECONDS)
    fleet.order(target="v1")
    assert daemon.picks() == {"v1": 200}


def test_agreed_phase_wins_over_the_own_verdict():
    """Guards against daemons that differ forever on how a rollout ended."""

    async def scenario():
        fleet = Fleet()
        await fleet.start()
        fleet.order()
        await settle()
        daemon = fleet.daemons["e"]
        fleet.rows.is_down = True
        fleet.daemons["a"].run("v1", n=100)
        fleet.daemons["c"].run("v2", is_bad=True, n=20)
        await fleet.advance(2 * SECONDS)
        assert daemon.rollouts.n_suspended == 1
        known = fleet.rows.stored["ledger"]
        state = replace(known.state, phase=Phase.COMPLETED)
        fleet.rows.stored["ledger"] = StoredRollout(state, 999)
        fleet.rows.is_down = False
        await fleet.advance(4 * SECONDS)
        assert fleet.phases() == {"completed"}
        assert daemon.picks() == {"v2": 200}
        fleet.close()

    asyncio.run(scenario())


def test_state_of_an_earlier_order_is_ignored():
    """Guards against a late frame that brings a replaced order back."""

    async def scenario():
        fleet = Fleet()
        await fleet.start()
        fleet.order(target="v2", number=9)
        old = RolloutState(RolloutOrder("ledger", "v1", 1, 5), Phase.COMPLETED, 0)
        handlers = fleet.daemons["a"].control.frame_handlers
        handlers[RolloutUpdate]("b", RolloutUpdate((old,), ()))
        assert fleet.daemons["a"].phase == "canary"
        fleet.close()

    asyncio.run(scenario())


@with_fleet
async def test_order_is_passed_on_by_a_daemon_that_has_not_read_the_states(fleet):
    """Guards against a confirmation that reaches others before the order does."""
    fleet.rows.is_down = True
    await fleet.restart("e")
    await fleet.restart("a")
    fleet.order(at="e")
    assert fleet.daemons["b"].phase == "canary"
    assert fleet.daemons["e"].phase is None
    assert fleet.daemons["a"].phase is None
    fleet.rows.is_down = False
    await asyncio.sleep(0.5)
    assert fleet.phases() == {"canary"}


@with_fleet
async def test_paused_daemon_reads_the_states_before_it_exposes_requests(fleet):
    """Guards against requests to a version that was rolled back during a pause."""
    fleet.order()
    await settle()
    fleet.rows.is_down = True
    fleet.daemons["e"].rollouts.catch_up()
    assert fleet.daemons["e"].picks() == {"v1": 200}
    fleet.rows.is_down = False
    fleet.daemons["e"].rollouts.catch_up()
    await settle()
    assert "v2" in fleet.daemons["e"].picks(400)


@with_fleet
async def test_later_version_without_an_order_is_used_once_the_ordered_is_gone(fleet):
    """Guards against a service that has targets and never gets requests again."""
    fleet.order()
    await fleet.advance(12 * SECONDS)
    assert fleet.phases() == {"completed"}
    daemon = fleet.daemons["e"]
    daemon.rollouts._directory = directory = MemberDirectory(fleet.members["e"])
    later = make_member("c", "v3")
    list(directory.merge([fleet.members["a"], fleet.members["d"], later]))
    daemon.directory = directory
    daemon.rollouts.update_targets()
    await fleet.advance(2 * SECONDS)
    daemon.confirmed_ms = fleet.clock.now_ms
    await settle()
    assert daemon.picks() == {"v2": 200}
    directory = MemberDirectory(fleet.members["e"])
    list(directory.merge([fleet.members["a"], later]))
    daemon.rollouts._directory = daemon.directory = directory
    daemon.rollouts.update_targets()
    assert daemon.picks() == {"v3": 200}


def test_targets_follow_the_changes_of_members():
    """Guards against targets that stay known after their member has changed or left."""
    targets = ServiceTargets(lambda target: target.label("service"))
    first, second = make_member("a", "v1"), make_member("b", "v2")
    targets.update([first, second])
    assert targets.versions("ledger") == {"v1", "v2"}
    assert targets.keys("ledger", "v1") == [("a", "t-a")]
    changed = replace(first, sequence=1, targets=(make_target("a", "v2"),))
    gone = replace(second, state=MemberState.GONE)
    targets.update([changed, gone])
    assert targets.versions("ledger") == {"v2"}
    assert targets.keys("ledger", "v2") == [("a", "t-a")]
    assert targets.fleet("ledger", "v3").vms_with_old == {"a"}
    targets.update([replace(changed, targets=())])
    assert targets.services == ()


@pytest.mark.parametrize(("percent", "has_rows"), [(0.0, True), (10.0, False)])
def test_nothing_is_built_unless_rollouts_are_enabled(percent, has_rows):
    """Guards against frames, tasks and reads of deployments without rollouts."""
    settings = SimpleNamespace(rollouts=RolloutsSettings(exposure_percent=percent))
    make_rows = (lambda daemon: FakeRows()) if has_rows else None
    dependencies = SimpleNamespace(make_rollout_rows=make_rows)
    daemon = SimpleNamespace(settings=settings, dependencies=dependencies)
    assert make_rollouts(daemon) is None
