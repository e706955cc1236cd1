"""Tests of proofs between a follower, its table and its neighbours."""

from __future__ import annotations

import asyncio
import math
import random

from msgspec.structs import replace
from result import Err, Ok

from pepperstair_core.config import AccountsSettings
from pepperstair_core.decisions import DecisionLog
from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.freshness import Proof
from pepperstair_core.intent import Intent
from pepperstair_core.wire import (
    DocumentAsk,
    DocumentCopy,
    DocumentFresh,
    DocumentProof,
    compress,
)
from pepperstair_platform import WatchedRow, WatchedRows
from pepperstaird import follower as follower_module
from pepperstaird import proof_exchange
from pepperstaird.clock import boot_ms
from pepperstaird.follower import ConfigurationFollower
from pepperstaird.proof_exchange import ProofExchange
from tests.test_following import FakeControl, FakeTable, read, shared_options

LIMITS = AccountsSettings(proof_age_max_ms=4000, unknown_key_age_max_ms=2500)


def read_with_accounts(data: bytes):
    """Parse a document of only a version, which has client accounts."""
    intent = Intent("platform", requires_keys=True)
    return read(data).map(lambda found: replace(found, intent=intent))


def row_answer(position: int, *values: bytes | None):
    """Return an answer with versions of the document."""
    found = tuple(WatchedRow("config", value) for value in values)
    return Ok(WatchedRows(found, position))


def make_follower(table, control, limits=LIMITS, reader=read_with_accounts, **options):
    """Return a follower whose client accounts have limits."""
    return ConfigurationFollower(
        table,
        "config",
        reader,
        {},
        control,
        DecisionLog(lambda: 0),
        random.Random(1),
        account_limits=lambda: limits,
        **options,
    )


def run(scenario):
    """Run a scenario for at most 10 s."""
    return asyncio.run(asyncio.wait_for(scenario, 10))


def sent_to(control, frame_type):
    """Return the neighbours that got frames of a type, and the frames."""
    return [(vm, frame) for vm, frame in control.sent if isinstance(frame, frame_type)]


class Clock:
    """A clock that a test moves."""

    def __init__(self, monkeypatch) -> None:
        self.now_ms = 1_000_000
        monkeypatch.setattr(proof_exchange, "boot_ms", lambda: self.now_ms)


def make_exchange(control, version=7, limit_ms=4000):
    """Return an exchange with a version in force."""
    return ProofExchange(control, lambda: version, lambda: limit_ms)


def test_old_proof_is_asked_for_of_one_neighbour_after_the_other(monkeypatch):
    clock, control = Clock(monkeypatch), FakeControl("a", "b")
    exchange = make_exchange(control)
    exchange.record(Proof(7, clock.now_ms))
    clock.now_ms += 900
    exchange.refresh()
    assert control.sent == []
    clock.now_ms += 200
    for _ in range(50):
        exchange.refresh()
        clock.now_ms += 10
    assert [vm for vm, _ in sent_to(control, DocumentAsk)] == ["a", "b"]


def test_answer_makes_the_proof_as_old_as_the_neighbours_at_the_question(monkeypatch):
    """Guards against a proof that a late frame or a pause makes newer than it is."""
    clock, control = Clock(monkeypatch), FakeControl("a")
    exchange = make_exchange(control)
    exchange.refresh()
    ((_, ask),) = sent_to(control, DocumentAsk)
    clock.now_ms += 3000
    exchange.handle_answer("a", DocumentProof(ask.number, 7, 100))
    assert exchange.age_ms() == 3100
    exchange.handle_answer("a", DocumentProof(ask.number, 7, -1))
    exchange.handle_answer("b", DocumentProof(ask.number, 7, 0))
    assert exchange.age_ms() == 3100


def test_newer_confirmation_leads_to_one_question_to_its_sender(monkeypatch):
    clock, control = Clock(monkeypatch), FakeControl("a", "b")
    exchange = make_exchange(control)
    exchange.record(Proof(7, clock.now_ms))
    exchange.handle_confirmation("b", clock.now_ms + 250)
    assert control.sent == []
    exchange.handle_confirmation("b", clock.now_ms + 251)
    exchange.handle_confirmation("b", clock.now_ms + 900)
    assert [vm for vm, _ in control.sent] == ["b"]


def test_daemon_with_an_old_proof_answers_again_once_it_has_a_newer_one(monkeypatch):
    """Guards against proofs that take one round of questions for each hop."""
    clock, control = Clock(monkeypatch), FakeControl("a", "b")
    exchange = make_exchange(control)
    exchange.record(Proof(7, clock.now_ms - 2000))
    exchange.handle_question("a", DocumentAsk(5))
    clock.now_ms += 20
    exchange.record(Proof(7, clock.now_ms - 10))
    exchange.record(Proof(7, clock.now_ms - 5))
    ages_ms = [frame.age_ms for _, frame in sent_to(control, DocumentProof)]
    assert ages_ms == [2001, 11]


def test_daemon_without_a_proof_says_so(monkeypatch):
    Clock(monkeypatch)
    control = FakeControl("a")
    make_exchange(control).handle_question("a", DocumentAsk(5))
    assert sent_to(control, DocumentProof) == [("a", DocumentProof(5, 0, -1))]


def test_daemon_that_needs_no_proof_asks_nothing(monkeypatch):
    """Guards against frames between daemons of a deployment without a limit."""
    clock, control = Clock(monkeypatch), FakeControl("a")
    exchange = make_exchange(control, limit_ms=0)
    exchange.refresh()
    exchange.handle_confirmation("a", clock.now_ms)
    assert control.sent == []


def test_read_of_the_table_is_a_proof_of_its_start():
    async def scenario():
        class SlowTable(FakeTable):
            async def _next(self, position):
                await asyncio.sleep(0.2)
                return await super()._next(position)

        table = SlowTable(row_answer(3, b"7"))
        following = make_follower(table, FakeControl())
        following.start()
        while not following.versions():
            await asyncio.sleep(0.01)
        age_ms = following.proof_age_ms()
        following.close()
        return age_ms

    assert 190 <= run(scenario()) < 5000


def test_neighbours_copy_is_no_proof_and_leads_to_a_question():
    async def scenario():
        control = FakeControl("a", "b")
        following = make_follower(FakeTable(), control, **shared_options())
        following.start()
        copy = DocumentCopy(compress(b"7"), 3, 10)
        control.on_configuration_frame("b", copy)
        age_before_ms = following.proof_age_ms()
        ((vm, ask),) = sent_to(control, DocumentAsk)
        answer = DocumentProof(ask.number, 7, 20)
        control.on_configuration_frame("b", answer)
        age_ms = following.proof_age_ms()
        following.close()
        return age_before_ms, vm, age_ms

    age_before_ms, vm, age_ms = run(scenario())
    assert age_before_ms == math.inf
    assert vm == "b"
    assert 20 <= age_ms < 5000


def test_daemon_without_a_proof_reads_the_table_at_most_once_a_second(monkeypatch):
    """Guards against a fleet that reads without pause while the store is down."""
    monkeypatch.setattr(follower_module, "_PROOF_CHECK_S", 0.01)
    monkeypatch.setattr(follower_module, "_PROOF_IDLE_S", 0.01)
    monkeypatch.setattr(follower_module, "_PROOF_READ_INTERVAL_S", 0.1)

    async def scenario():
        down = Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
        table, control = FakeTable(*[down] * 100), FakeControl("a")
        following = make_follower(table, control, **shared_options())
        following.start()
        await asyncio.sleep(0)
        control.on_configuration_frame("a", DocumentCopy(compress(b"7"), 3, 10))
        await asyncio.sleep(1.0)
        following.close()
        return len(table.calls)

    assert 3 <= run(scenario()) <= 11


def test_daemon_without_a_limit_on_proofs_reads_and_asks_as_before(monkeypatch):
    monkeypatch.setattr(follower_module, "_PROOF_CHECK_S", 0.01)
    monkeypatch.setattr(follower_module, "_PROOF_IDLE_S", 0.01)
    unlimited = AccountsSettings(unknown_key_age_max_ms=2500)

    async def scenario():
        table, control = FakeTable(), FakeControl("a")
        following = make_follower(table, control, unlimited, **shared_options())
        following.start()
        await asyncio.sleep(0)
        control.on_configuration_frame("a", DocumentCopy(compress(b"7"), 3, 10))
        control.on_configuration_frame("a", DocumentFresh(7, 3, 0))
        await asyncio.sleep(0.3)
        age_ms = following.proof_age_ms()
        following.close()
        return table.calls, sent_to(control, DocumentAsk), age_ms

    calls, asks, age_ms = run(scenario())
    assert (calls, asks) == ([], [])
    # The last confirmation takes the place of a proof.
    assert 300 <= age_ms < 5000


def test_removed_row_proves_nothing():
    async def scenario():
        table = FakeTable(row_answer(3, b"7"), row_answer(4, None), row_answer(4))
        following = make_follower(table, FakeControl())
        following.start()
        while not following.versions():
            await asyncio.sleep(0.01)
        first_ms = boot_ms() - following.proof_age_ms()
        while len(table.calls) < 4:
            await asyncio.sleep(0.01)
        last_ms = boot_ms() - following.proof_age_ms()
        following.close()
        return last_ms - first_ms

    assert abs(run(scenario())) <= 2
