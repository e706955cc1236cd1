"""Thousands of non-idempotent calls while daemons crash or pause and targets drain."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

import pytest

from benchmarks.fleet import DaemonProcess, Fleet, fetch_async
from tests.process_fleet import (
    CallAnswer,
    award_document,
    call_async,
    put_in_force,
    run_counts,
    set_target_state,
    start_daemons,
    start_target,
)

N_CALLS = 3000
N_CALLERS = 24
N_FAULTS = 10
LARGE_BODY_BYTES = 200_000
SEEDS = (1, 2)


@dataclass
class CallRecord:
    """Sent bodies and received answers of all calls, by request id."""

    bodies: dict[str, bytes] = field(default_factory=dict)
    answers: dict[str, CallAnswer] = field(default_factory=dict)


@dataclass(frozen=True)
class FaultInjector:
    """Injects one fault after another and reverts each."""

    fleet: Fleet
    targets: list[str]
    rng: random.Random

    async def run(self, n_faults: int) -> None:
        """Inject a number of faults one after another while calls continue."""
        for inject_fault in itertools.islice(
            itertools.cycle(self._shuffled_faults()), n_faults
        ):
            await inject_fault()
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))

    def _shuffled_faults(self) -> list[Callable[[], Awaitable[None]]]:
        faults = [
            lambda: self._kill(self._random_target_daemon()),
            lambda: self._pause(self._random_target_daemon()),
            self._drain,
            lambda: self._kill(1),
            lambda: self._pause(1),
        ]
        self.rng.shuffle(faults)
        return faults

    def _random_target_daemon(self) -> int:
        return self.rng.randrange(2, len(self.fleet.daemons))

    async def _kill(self, index: int) -> None:
        daemon = self.fleet.daemons[index]
        daemon.kill()
        await asyncio.sleep(self.rng.uniform(0, 0.3))
        restarted = self.fleet.restart_daemon(daemon)
        async with asyncio.timeout(20):
            while not await _is_ready(restarted):
                await asyncio.sleep(0.05)

    async def _pause(self, index: int) -> None:
        daemon = self.fleet.daemons[index]
        daemon.pause()
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        daemon.resume()

    async def _drain(self) -> None:
        target = self.rng.choice(self.targets)
        await set_target_state(target, "draining")
        await asyncio.sleep(self.rng.uniform(0.2, 0.8))
        await set_target_state(target, "serving")


@pytest.mark.parametrize("seed", SEEDS)
def test_no_booking_runs_twice_and_reported_runs_are_correct(fleet, seed):
    """Target-side and caller-side daemons crash and pause, and targets drain.

    A booking that ran twice charges a member twice. One that ran although its answer
    says that it did not is made again by hand. An answer that is truncated or belongs
    to another call confirms a place to a member who does not have it.
    """
    daemons = start_daemons(fleet, 5)
    targets = [
        start_target(fleet, daemon, "ledger", "--work-ms", "5")
        for daemon in daemons[2:]
    ]
    put_in_force(fleet, award_document("ledger", 1500), daemons[0])
    rng = random.Random(seed)
    record = CallRecord()
    asyncio.run(_call_under_faults(fleet, targets, rng, record))
    runs = sum((Counter(run_counts(target)) for target in targets), Counter())
    assert list(_iter_violations(record, runs)) == []
    # The test would be meaningless if nearly all calls had been refused.
    statuses = Counter(answer.status for answer in record.answers.values())
    assert statuses[200] > N_CALLS / 2, statuses


async def _call_under_faults(
    fleet: Fleet, targets: list[str], rng: random.Random, record: CallRecord
) -> None:
    numbers = itertools.count()
    faults = asyncio.create_task(FaultInjector(fleet, targets, rng).run(N_FAULTS))
    callers = [
        _call_repeatedly(fleet.daemons[index % 2], numbers, faults, record)
        for index in range(N_CALLERS)
    ]
    await asyncio.gather(faults, *callers)


async def _call_repeatedly(
    daemon: DaemonProcess,
    numbers: Iterator[int],
    faults: asyncio.Task[None],
    record: CallRecord,
) -> None:
    """Send calls until `N_CALLS` are sent and all faults have been injected."""
    while (number := next(numbers)) < N_CALLS or not faults.done():
        request_id = f"award-{number}"
        n_bytes = LARGE_BODY_BYTES if number % 50 == 0 else 20
        body = f"{request_id};".encode() * (n_bytes // (len(request_id) + 1) + 1)
        record.bodies[request_id] = body
        answer = await call_async(
            daemon.callers, request_id, body=body, timeout_ms="1500", give_up_ms=6000
        )
        record.answers[request_id] = answer
        if answer.status == 0:
            await asyncio.sleep(0.05)


def _iter_violations(record: CallRecord, runs: Counter[str]) -> Iterator[str]:
    """Yield a line for each violation in the answer or number of runs of a call."""
    for request_id, answer in record.answers.items():
        n_runs = runs[request_id]
        if n_runs > 1:
            yield f"{request_id} ran {n_runs} times: {answer.status} {answer.run}"
        if answer.run == "no" and n_runs:
            yield f"{request_id} ran, reported not run: {answer.status} {answer.error}"
        if answer.run == "yes" and not n_runs:
            yield f"{request_id} did not run, reported run: {answer.status}"
        if answer.status == 200 and not answer.body.endswith(
            b"\n" + record.bodies[request_id]
        ):
            yield f"{request_id} got a wrong or truncated answer: {answer.body[:40]!r}"
        if answer.status and answer.run not in ("yes", "no", "unknown"):
            yield f"{request_id} got {answer.status} without saying whether it ran"


async def _is_ready(daemon: DaemonProcess) -> bool:
    return (await fetch_async(daemon.operators, "GET", "/v1/ready"))[0] == 200


def test_checker_finds_each_kind_of_violation():
    record = CallRecord({"a": b"a", "b": b"b", "c": b"c", "d": b"d"})
    record.answers["a"] = CallAnswer(200, "yes", "", b"x\na")
    record.answers["b"] = CallAnswer(503, "no", "draining", b"")
    record.answers["c"] = CallAnswer(200, "yes", "", b"x\nd")
    record.answers["d"] = CallAnswer(502, "", "", b"")
    found = list(_iter_violations(record, Counter(a=2, b=1, c=0)))
    assert [line.split()[0] for line in found] == ["a", "b", "c", "c", "d"]
