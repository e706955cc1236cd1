"""What daemons know of ended orders after restarts, kills of all, cuts and outages."""

from __future__ import annotations

import asyncio
import random

import pytest
from msgspec.structs import replace

from pepperstair_core.errors import ErrorKind
from pepperstair_core.rollout import Phase, RolloutOrder, RolloutState
from pepperstair_core.wire import RolloutUpdate
from pepperstair_platform import WatchedRow
from pepperstaird import rollout_exchange, rollouts
from tests.test_rollouts import (
    SECONDS,
    FakeDaemon,
    FakeRows,
    Fleet,
    make_member,
    settle,
    with_versions,
)

VERSIONS = {"a": "v1", "c": "v2", "d": "v3", "e": "", "f": "v2"}


@pytest.fixture(autouse=True)
def _short_intervals(monkeypatch):
    monkeypatch.setattr(rollouts, "_TICK_S", 0.01)
    monkeypatch.setattr(rollout_exchange, "EVIDENCE_BATCH_S", 0.005)


with_fleet = with_versions(VERSIONS)


async def kill_all(fleet):
    """Replace all daemons by new processes that know nothing."""
    fleet.close()
    fleet.daemons = {
        vm: FakeDaemon(fleet, vm, daemon.start_id + 1)
        for vm, daemon in fleet.daemons.items()
    }
    await fleet.start()


async def bring_back(fleet):
    """End an outage of the store, and wait until all daemons have read their rows."""
    fleet.rows.is_down = False
    while not all(
        daemon.rollouts.routing.is_restored for daemon in fleet.daemons.values()
    ):
        await asyncio.sleep(0.05)


async def confirm(fleet):
    """Let all daemons know that there are no further orders."""
    for daemon in fleet.daemons.values():
        daemon.confirmed_ms = fleet.clock.now_ms + 60 * SECONDS
    await settle()


async def roll_back(fleet, version="v2", number=5):
    """Order a version, and let it fail until it is rolled back."""
    fleet.order(target=version, number=number)
    await settle()
    vm = next(vm for vm, each in VERSIONS.items() if each == version)
    fleet.daemons["a"].run("v1", n=100)
    fleet.daemons[vm].run(version, is_bad=True, n=20)
    await fleet.advance(3 * SECONDS)
    assert fleet.rows.answers[-1] == (version, "ROLLED_BACK")


async def find_bad_in_an_outage(fleet):
    """Order v2, and let all daemons find it bad while the store is down."""
    fleet.order()
    await settle()
    fleet.rows.is_down = True
    fleet.daemons["a"].run("v1", n=100)
    fleet.daemons["c"].run("v2", is_bad=True, n=20)
    await fleet.advance(2 * SECONDS)


async def complete(fleet, version="v2", number=5):
    """Order a version and wait until it is completed."""
    fleet.order(target=version, number=number)
    await fleet.advance(13 * SECONDS)
    assert fleet.rows.answers[-1] == (version, "COMPLETED")


@pytest.mark.parametrize("outage_s", [0, 4, 30])
@pytest.mark.parametrize("is_written", [True, False])
def test_rolled_back_version_stays_out_after_a_later_order_and_a_kill_of_all(
    outage_s, is_written
):
    """Guards against a bad version that gets requests as its row was replaced."""

    @with_fleet
    async def scenario(fleet):
        await roll_back(fleet)
        fleet.rows.is_down = not is_written
        fleet.order(target="v3", number=9)
        await settle()
        fleet.rows.is_down = outage_s > 0
        await kill_all(fleet)
        await fleet.advance(outage_s * SECONDS)
        assert all("v2" not in each.picks() for each in fleet.daemons.values())
        await bring_back(fleet)
        fleet.order(target="v3", number=9)
        await fleet.advance(2 * SECONDS)
        await confirm(fleet)
        for daemon in fleet.daemons.values():
            assert set(daemon.picks(400)) <= {"v1", "v3"}
        assert fleet.daemons["c"].refusal("v2") is ErrorKind.VERSION_HELD

    scenario()


@with_fleet
async def test_rolled_back_version_stays_out_while_a_slow_store_is_read(fleet):
    """Guards against requests to a bad version between a start and its first read."""
    await roll_back(fleet)
    fleet.order(target="v3", number=9)
    await fleet.advance(1 * SECONDS)
    read = fleet.rows.read

    async def read_slowly():
        await asyncio.sleep(0.3)
        return await read()

    fleet.rows.read = read_slowly
    await kill_all(fleet)
    await confirm(fleet)
    for _ in range(10):
        for daemon in fleet.daemons.values():
            assert set(daemon.picks(40)) <= {"", "v1", "v3"}
        await asyncio.sleep(0.05)
    assert set(fleet.daemons["e"].picks(400)) == {"v1", "v3"}


@with_fleet
async def test_verdict_lost_with_all_processes_allows_no_more_than_a_canary(fleet):
    """Guards against exposure beyond the limit after a verdict that no row holds."""
    await find_bad_in_an_outage(fleet)
    assert fleet.daemons["e"].rollouts.n_suspended == 1
    await kill_all(fleet)
    assert all("v2" not in each.picks() for each in fleet.daemons.values())
    await bring_back(fleet)
    counts = fleet.daemons["e"].picks(400)
    assert counts.get("v2", 0) <= 0.1 * 400
    fleet.daemons["a"].run("v1", n=100)
    fleet.daemons["c"].run("v2", is_bad=True, n=20)
    await fleet.advance(3 * SECONDS)
    assert fleet.phases() == {"rolled_back"}


@with_fleet
async def test_daemon_that_joins_in_an_outage_learns_what_was_rolled_back(fleet):
    """Guards against a new VM that releases a bad version while the store is down."""
    await roll_back(fleet)
    fleet.order(target="v3", number=9)
    await settle()
    fleet.rows.is_down = True
    await fleet.restart("e")
    assert fleet.daemons["e"].picks() == {"v1": 200}
    await bring_back(fleet)
    await confirm(fleet)
    assert set(fleet.daemons["e"].picks(400)) == {"v1", "v3"}


@with_fleet
async def test_state_of_the_row_is_not_lost_behind_a_later_order(fleet):
    """Guards against a daemon that hears of the next order before it reads the row."""
    await roll_back(fleet)
    fleet.rows.is_down = True
    await kill_all(fleet)
    state = RolloutState(RolloutOrder("ledger", "v3", 12_000, 9), Phase.CANARY, 0)
    handlers = fleet.daemons["e"].control.frame_handlers
    handlers[RolloutUpdate]("a", RolloutUpdate((state,), ()))
    await bring_back(fleet)
    await confirm(fleet)
    assert set(fleet.daemons["e"].picks(400)) == {"v1", "v3"}


@with_fleet
async def test_order_replaced_in_its_middle_stays_out_after_a_kill_of_all(fleet):
    """Guards against an order given up by the operator that goes on after a restart."""
    fleet.order()
    await settle()
    fleet.order(target="v3", number=9)
    await fleet.advance(1 * SECONDS)
    await kill_all(fleet)
    await confirm(fleet)
    for daemon in fleet.daemons.values():
        assert set(daemon.picks(400)) <= {"v1", "v3"}


@with_fleet
async def test_own_verdict_outlives_an_order_that_is_replaced_in_an_outage(fleet):
    """Guards against a version found bad that is tried again as no row says so."""
    await find_bad_in_an_outage(fleet)
    fleet.order(target="v3", number=9)
    fleet.rows.is_down = False
    await fleet.advance(3 * SECONDS)
    fleet.members["a"] = make_member("a", "")
    await kill_all(fleet)
    await confirm(fleet)
    assert set(fleet.daemons["e"].picks(400)) == {"", "v3"}


@with_fleet
async def test_superseded_version_stays_out_after_the_next_order_and_a_kill(fleet):
    """Guards against calls to targets that are about to be stopped without draining."""
    await complete(fleet)
    fleet.order(target="v3", number=20)
    await fleet.advance(1 * SECONDS)
    await kill_all(fleet)
    assert set(fleet.daemons["e"].picks(400)) == {"v2", "v3"}
    await confirm(fleet)
    assert set(fleet.daemons["e"].picks(400)) == {"v2", "v3"}


@with_fleet
async def test_completion_that_was_not_written_supersedes_nothing(fleet):
    """Guards against the old version put behind others by a rollback written first."""
    fleet.order()
    await fleet.advance(1 * SECONDS)
    write = fleet.rows.write

    async def write_after_a_rollback(state, row_version, **named):
        if state.phase is not Phase.COMPLETED:
            return await write(state, row_version, **named)
        rolled_back = replace(state, phase=Phase.ROLLED_BACK, records=())
        await write(rolled_back, row_version, **named)
        return await write(state, row_version, **named)

    fleet.rows.write = write_after_a_rollback
    await fleet.advance(12 * SECONDS)
    assert fleet.rows.answers[-1] == ("v2", "ROLLED_BACK")
    for daemon in fleet.daemons.values():
        list(daemon.directory.merge([make_member("g", "v4")]))
        daemon.rollouts.update_targets()
    await confirm(fleet)
    for daemon in fleet.daemons.values():
        assert set(daemon.picks()) == {"v1+v3+v4"}


@with_fleet
async def test_version_completed_while_a_daemon_was_cut_off_is_not_barred_there(fleet):
    """Guards against refusals for the version in use after two orders in a cut."""
    fleet.order()
    await fleet.advance(1 * SECONDS)
    fleet.cut_off.add("e")
    await complete(fleet)
    fleet.order(target="v3", number=20, at="a")
    await fleet.advance(1 * SECONDS)
    fleet.cut_off.clear()
    fleet.order(target="v3", number=20, at="e")
    for callback in fleet.daemons["a"].control.neighbour_up_callbacks:
        callback("e")
    await settle()
    assert set(fleet.daemons["e"].picks(400)) == {"v2", "v3"}


@with_fleet
async def test_version_in_use_survives_an_order_for_it_that_is_replaced(fleet):
    """Guards against a service without targets after an order given by mistake."""
    for vm in ("c", "f"):
        fleet.members[vm] = make_member(vm, "")
    await kill_all(fleet)
    await confirm(fleet)
    fleet.order(target="v1", number=5)
    await settle()
    fleet.order(target="v3", number=9)
    await fleet.advance(1 * SECONDS)
    assert "v1" in fleet.daemons["e"].picks(400)
    await kill_all(fleet)
    await confirm(fleet)
    assert "v1" in fleet.daemons["e"].picks(400)


@with_fleet
async def test_rolled_back_version_is_tried_again_by_a_later_order_for_it(fleet):
    """Guards against a hold that outlives its cause."""
    await roll_back(fleet)
    fleet.order(target="v3", number=9)
    await fleet.advance(1 * SECONDS)
    await kill_all(fleet)
    await complete(fleet, "v2", 20)
    assert fleet.daemons["e"].picks() == {"v2": 200}
    await kill_all(fleet)
    assert fleet.daemons["e"].picks() == {"v2": 200}


@with_fleet
async def test_withdrawal_that_was_not_written_is_read_again_after_a_kill_of_all(fleet):
    """Guards against a withdrawn order that goes on after a restart."""
    fleet.order()
    await fleet.advance(1 * SECONDS)
    fleet.rows.is_down = True
    withdrawn = WatchedRow("rollout/ledger", None, 8)
    fleet.daemons["e"].rollouts.read_rows((withdrawn,), None)
    await settle()
    fleet.rows.is_down = False
    await kill_all(fleet)
    fleet.daemons["e"].rollouts.read_rows((), 8)
    await fleet.advance(1 * SECONDS)
    assert fleet.phases() == {"rolled_back"}


class RecordingRows(FakeRows):
    """Rows in memory that remember the last agreed end of each version."""

    def __init__(self):
        super().__init__()
        self.ends = {}

    async def write(self, state, row_version, *, is_withdrawn=False):
        previous = self.stored.get(state.order.service)
        result = await super().write(state, row_version, is_withdrawn=is_withdrawn)
        if self.stored.get(state.order.service) is not previous:
            self.ends[state.order.target_version] = state.phase
        return result


async def play_trouble(fleet, rng):
    """Give orders among kills, outages and cuts that are drawn."""
    number = 5
    for _ in range(rng.randrange(6, 14)):
        step = rng.choice(
            ("order", "bad", "bad", "kill", "one", "store", "cut", "wait")
        )
        if step == "order":
            number += rng.randrange(1, 4)
            fleet.order(target=rng.choice(("v2", "v3")), number=number)
        elif step == "bad":
            for vm, version in (("c", "v2"), ("d", "v3")):
                fleet.daemons["a"].run("v1", n=100)
                fleet.daemons[vm].run(version, is_bad=True, n=20)
        elif step == "kill":
            await asyncio.sleep(rng.random() * 0.05)
            await kill_all(fleet)
        elif step == "one":
            await fleet.restart(rng.choice(tuple(fleet.daemons)))
        elif step == "store":
            fleet.rows.is_down = not fleet.rows.is_down
        elif step == "cut":
            fleet.cut_off ^= {rng.choice(("e", "f"))}
        await fleet.advance(rng.choice((0, 300, 900, 3 * SECONDS)))
    return number


async def play_history(seed):
    """Kill all daemons after drawn trouble and the next order, and check the new ones.

    No daemon may send requests to a version whose last agreed end is a rollback, and
    each has some version to send them to.
    """
    fleet = Fleet(VERSIONS)
    fleet.rows = RecordingRows()
    fleet.daemons = {vm: FakeDaemon(fleet, vm) for vm in VERSIONS}
    await fleet.start()
    number = await play_trouble(fleet, random.Random(seed))
    fleet.cut_off.clear()
    await bring_back(fleet)
    fleet.order(target="v4", number=number + 1)
    await fleet.advance(3 * SECONDS)
    await kill_all(fleet)
    fleet.order(target="v4", number=number + 1)
    await confirm(fleet)
    bad = {v for v, phase in fleet.rows.ends.items() if phase is Phase.ROLLED_BACK}
    for daemon in fleet.daemons.values():
        picked = set("+".join(daemon.picks(60)).split("+"))
        assert not picked & bad, (daemon.vm, picked, fleet.rows.ends)
        assert picked != {""}
    fleet.close()


@pytest.mark.parametrize("seed", range(12))
def test_daemons_act_on_what_was_agreed_before_kills_at_drawn_moments(seed):
    """Guards against an agreed rollback that some process after it doesn't know."""
    asyncio.run(asyncio.wait_for(play_history(seed), 30))
