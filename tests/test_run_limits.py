"""Requests whose target could not get the answers that it needs for them."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from pepperstair_core.accounts import NO_ACCOUNTS, AccountTable
from pepperstair_core.calls import RunLimits
from pepperstair_core.calls.run_limits import ADMITTED_SHARE_MIN
from pepperstair_core.errors import RunStatus
from pepperstair_core.intent import Account
from pepperstair_emulator import Fleet, Policy, apply_policy, parse_experiment_toml
from pepperstair_emulator.experiment import ConstantChange
from tests.call_mesh import Mesh, retry_after_ms, status_and_run

EXPERIMENT = Path(__file__).parent.parent / "emulator/experiments/refused-look-ups.toml"
ACCOUNTS = AccountTable([Account("atlas", ("k",))], secret=b"s")
NOT_LIMITED = Policy("off", (ConstantChange("run_limits.LOST_SHARE_MAX", 2.0),))


def lose_runs(limits: RunLimits, n_runs: int, from_ms: float = 0.0) -> float:
    """Let runs of `book` fail after refused calls; return the time of the last one."""
    now_ms = from_ms
    for _ in range(n_runs):
        limits.record_refused_call(now_ms + 5.0)
        limits.record_run("book", now_ms, True, now_ms + 10.0)
        now_ms += 110.0
    return now_ms


def n_admitted(limits: RunLimits, now_ms: float, n_requests: int = 100) -> int:
    return sum(limits.admits("book", now_ms) for _ in range(n_requests))


def test_failures_without_refused_calls_do_not_refuse_requests():
    """A faulty target answers 500 by itself; ejection is the remedy for that."""
    limits = RunLimits()
    for at_ms in range(0, 2000, 50):
        limits.record_run("book", at_ms, True, at_ms + 10.0)
    assert n_admitted(limits, 2000.0) == 100


def test_refused_call_counts_only_for_runs_of_its_time():
    limits = RunLimits()
    limits.record_refused_call(5.0)
    for at_ms in range(10, 2000, 50):
        limits.record_run("book", at_ms, True, at_ms + 10.0)
    assert n_admitted(limits, 2000.0) == 100


def test_requests_are_refused_by_a_share_that_is_never_all():
    limits = RunLimits()
    now_ms = lose_runs(limits, 100)
    assert limits.admitted_share("book") == ADMITTED_SHARE_MIN
    assert 5 <= n_admitted(limits, now_ms) <= 15
    assert 0 < limits.retry_after_ms("book") <= 1000
    assert limits.n_refused >= 85


def test_other_routes_of_the_target_are_not_refused():
    limits = RunLimits()
    now_ms = lose_runs(limits, 100)
    assert all(limits.admits("map", now_ms) for _ in range(20))


def test_refusals_end_within_two_seconds_after_the_last_lost_run():
    """No request may be refused for good because none runs that could show the end."""
    limits = RunLimits()
    now_ms = lose_runs(limits, 100)
    assert n_admitted(limits, now_ms + 2000.0) == 100
    lose_runs(limits, 1, now_ms + 2000.0)
    assert n_admitted(limits, now_ms + 2050.0) == 100


def test_admitted_share_grows_with_runs_that_succeed():
    limits = RunLimits()
    now_ms = lose_runs(limits, 100)
    for _ in range(10):
        limits.record_run("book", now_ms, False, now_ms)
    assert 0.6 < limits.admitted_share("book") < 0.8


@pytest.mark.parametrize("seed", range(2))
def test_fewer_requests_fail_for_good_while_their_look_ups_are_refused(seed):
    """The called service refuses 0.7 of its calls for four seconds of ten."""
    experiment = parse_experiment_toml(EXPERIMENT.read_text(encoding="utf-8")).unwrap()
    limited = Fleet(experiment, seed).run().routes["switch"]
    with apply_policy(NOT_LIMITED):
        without = Fleet(experiment, seed).run().routes["switch"]
    assert limited.n_failed < 0.97 * without.n_failed
    assert limited.n_in_time > 0.97 * without.n_in_time


def test_runner_refuses_requests_beyond_the_run_limit_as_not_run():
    async def scenario():
        async with Mesh() as mesh:
            target = await mesh.add("a")
            runner = mesh.nodes["a"].runner
            for _ in range(60):
                now_ms = mesh.now_ms()
                runner.run_limits.record_refused_call(now_ms)
                runner.run_limits.record_run("r", now_ms, True, now_ms)
                mesh.skew_ms += 110.0
            mesh.announce("a")
            answers = [await mesh.call() for _ in range(20)]
            refused = [each for each in answers if each.status == 503]
            assert 10 <= len(refused) < 20
            assert status_and_run(refused[0]) == (503, RunStatus.NO)
            assert retry_after_ms(refused[0]) > 0
            assert len(target.heads) == 20 - len(refused)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("allows_anonymous", "accounts", "n_running", "headers", "status", "n_counted"),
    [
        (True, ACCOUNTS, 1, (), 503, 1),
        (True, ACCOUNTS, 0, (), 503, 0),
        (True, ACCOUNTS, 1, ((b"pepperstair-key", b"k"),), 503, 0),
        (False, ACCOUNTS, 1, (), 401, 0),
        (True, NO_ACCOUNTS, 1, (), 503, 0),
    ],
)
def test_only_requests_without_a_key_are_taken_for_calls_of_the_target(
    allows_anonymous, accounts, n_running, headers, status, n_counted
):
    """Refused requests of clients say nothing about the calls that a target makes."""

    async def scenario():
        async with Mesh(allows_anonymous=allows_anonymous) as mesh:
            mesh.accounts = accounts
            mesh.n_running = n_running
            assert (await mesh.call(headers=headers)).status == status
            assert mesh.n_inner_calls_refused == n_counted

    asyncio.run(scenario())
