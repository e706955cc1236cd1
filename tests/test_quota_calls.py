"""Quotas at the proxy and between daemons."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Callable

import pytest
from structlog.testing import capture_logs

from pepperstair_core.accounts import NO_ACCOUNTS, AccountTable
from pepperstair_core.calls import is_sampled
from pepperstair_core.calls.run_memory import Sender
from pepperstair_core.config import QuotasSettings
from pepperstair_core.errors import ErrorKind, Failure, PepperstairError
from pepperstair_core.events import Event
from pepperstair_core.intent import Account
from pepperstair_core.members import Member, MemberState
from pepperstair_core.membership import MemberDirectory
from pepperstair_core.quota import Token, owner_of
from pepperstair_core.wire import QuotaAsk, QuotaGrant
from pepperstair_peers import Identity
from pepperstaird.quotas import Quotas
from tests.call_mesh import Mesh, retry_after_ms, status_and_run
from tests.test_call_failures import on_loop

VMS = ("vm-1", "vm-2", "vm-3")
ATLAS = Account("atlas", ("k-1",), rate_per_s=10.0, burst=5)
OPEN = Account("open", ("k-2",))
OWNER = owner_of(ATLAS.name, VMS)
OTHER = next(vm for vm in VMS if vm != OWNER)
IDEMPOTENT = (b"pepperstair-idempotent", b"true")
UNSAMPLED = next(f"r-{i}" for i in range(99) if not is_sampled(f"r-{i}"))
TOKEN = Token(ATLAS.name, 1.0)


async def mesh_with_quota(mesh: Mesh) -> list[str]:
    """Put both accounts in force and return the accounts that take a token."""
    taken: list[str] = []

    def quota(account: Account) -> Token:
        taken.append(account.name)
        return TOKEN

    mesh.accounts = AccountTable((ATLAS, OPEN), secret=b"s")
    mesh.quota = quota
    return taken


def keyed(key: bytes) -> tuple:
    return ((b"pepperstair-key", key),)


@on_loop
async def test_request_takes_one_token_however_many_attempts_it_takes():
    async with Mesh() as mesh:
        taken = await mesh_with_quota(mesh)
        for name in ("a", "b"):
            raw = await mesh.add(name)
        raw.is_down = True
        for _ in range(8):
            await mesh.call(headers=(*keyed(b"k-1"), IDEMPOTENT))
        assert taken == [ATLAS.name] * 8
        assert len(mesh.heads) > 8
        assert mesh.refunded == []


@on_loop
async def test_account_without_a_limit_takes_no_token():
    async with Mesh() as mesh:
        taken = await mesh_with_quota(mesh)
        await mesh.add("a")
        assert (await mesh.call(headers=keyed(b"k-2"))).status == 200
        assert taken == []


@on_loop
async def test_token_of_a_request_that_did_not_run_is_given_back():
    async with Mesh() as mesh:
        await mesh_with_quota(mesh)
        response = await mesh.call(headers=keyed(b"k-1"))
        assert status_and_run(response) == (503, "no")
        assert mesh.refunded == [TOKEN]


@on_loop
async def test_request_above_the_quota_gets_429_and_does_not_run():
    async with Mesh() as mesh:
        await mesh_with_quota(mesh)
        await mesh.add("a")

        def refuse(account: Account) -> Token:
            raise PepperstairError(Failure(ErrorKind.QUOTA_EXCEEDED, "atlas", 70))

        mesh.quota = refuse
        with capture_logs() as lines:
            request_id = (b"x-request-id", UNSAMPLED.encode())
            response = await mesh.call(headers=(*keyed(b"k-1"), request_id))
        assert status_and_run(response) == (429, "no")
        assert retry_after_ms(response) == 70
        assert mesh.heads == mesh.refunded == []
        assert Event.REQUEST_ANSWERED not in [each["event"] for each in lines]


class Fleet:
    """One daemon's quotas, and the answers of the others."""

    def __init__(self, vm: str, accounts: AccountTable | None = None) -> None:
        self.now_ms = 1_000_000.0
        self.question_handlers: dict = {}
        self.asked: list[QuotaAsk] = []
        self.answer: Callable[[QuotaAsk], object] = lambda ask: QuotaGrant(
            ask.number, ask.account, ask.n_wanted, 0, is_owner=True
        )
        self.directory = MemberDirectory(member(vm))
        list(self.directory.merge(member(each) for each in VMS))
        self.table = accounts or AccountTable((ATLAS, OPEN), secret=b"s")
        self.quotas = Quotas(
            Identity(vm, 1, "127.0.0.1:1"),
            QuotasSettings(),
            self.directory,
            self,
            self,
            lambda: self.table,
            lambda: self.now_ms,
        )
        self.quotas.configuration_changed()
        # Past the time in which a daemon that has just started grants nothing.
        self.now_ms += 10_000.0

    async def ask(self, address: str, question: QuotaAsk, timeout_s: float) -> object:
        """Answer a question as the owner."""
        self.asked.append(question)
        answer = self.answer(question)
        async with asyncio.timeout(timeout_s):
            return await answer if inspect.isawaitable(answer) else answer

    async def kinds(self, n_requests: int) -> list[str]:
        """Return what became of concurrent requests."""
        return await asyncio.gather(*(self._kind() for _ in range(n_requests)))

    async def _kind(self) -> str:
        try:
            token = await self.quotas.take(ATLAS)
        except PepperstairError as error:
            return error.failure.kind
        return "reserved" if token.is_reserved else "taken"


def member(vm: str) -> Member:
    return Member(vm, 1, 0, MemberState.ALIVE, "z", f"{vm}:1", ())


@on_loop
async def test_owner_grants_its_own_requests_without_a_frame():
    fleet = Fleet(OWNER)
    kinds = await fleet.kinds(10)
    assert kinds.count("taken") == 5
    assert kinds.count(ErrorKind.QUOTA_EXCEEDED) == 5
    assert fleet.asked == []


@on_loop
async def test_concurrent_requests_share_a_question():
    fleet = Fleet(OTHER)
    assert await fleet.kinds(10) == ["taken"] * 10
    assert len(fleet.asked) <= 3
    assert fleet.quotas.n_granted == 10


@on_loop
async def test_requests_use_the_reserve_while_the_owner_does_not_answer():
    """Guards against refusing, or running, everything while an owner is away."""
    fleet = Fleet(OTHER)

    def fail(ask: QuotaAsk) -> object:
        raise PepperstairError(Failure(ErrorKind.PEER_UNREACHABLE))

    fleet.answer = fail
    kinds = await fleet.kinds(30)
    # A third of half of the excess: 0.5 * (0.1 * 55 + 20) / 3.
    assert kinds.count("reserved") == 4
    assert kinds.count(ErrorKind.NOT_READY) == 26


@on_loop
async def test_request_does_not_wait_longer_than_the_limit_for_an_answer():
    fleet = Fleet(OTHER)

    async def never(ask: QuotaAsk) -> object:
        await asyncio.sleep(0.15)
        raise TimeoutError

    fleet.answer = lambda ask: never(ask)
    async with asyncio.timeout(5):
        assert (await fleet.kinds(1)) == ["reserved"]


@on_loop
async def test_answer_after_the_longest_wait_of_a_request_is_used():
    """Guards against tokens that are lost as a busy owner answers late."""
    fleet = Fleet(OTHER)

    async def late(ask: QuotaAsk) -> QuotaGrant:
        await asyncio.sleep(0.2)
        return QuotaGrant(ask.number, ask.account, 3, 0, is_owner=True)

    fleet.answer = late
    assert (await fleet.kinds(1)) == ["reserved"]
    await asyncio.sleep(0.1)
    assert (await fleet.kinds(1)) == ["taken"]


@on_loop
async def test_other_member_answers_that_it_is_not_the_owner():
    fleet = Fleet(OTHER)
    handle = fleet.question_handlers[QuotaAsk]
    answer = handle(Sender("vm-9", 1), QuotaAsk(7, ATLAS.name, 3, 0))
    assert answer == QuotaGrant(7, ATLAS.name, 0, 0, is_owner=False)


@on_loop
async def test_owner_answers_a_question_with_tokens():
    fleet = Fleet(OWNER)
    handle = fleet.question_handlers[QuotaAsk]
    answer = handle(Sender("vm-9", 1), QuotaAsk(7, ATLAS.name, 3, 0))
    assert answer == QuotaGrant(7, ATLAS.name, 3, 0, is_owner=True)


@pytest.mark.parametrize(
    "accounts", [NO_ACCOUNTS, AccountTable((OPEN,), secret=b"s")], ids=["none", "open"]
)
@on_loop
async def test_configuration_without_a_quota_has_no_state(accounts):
    fleet = Fleet(OTHER, accounts)
    assert await fleet.quotas.take(OPEN) is None
    assert fleet.quotas._state is None
    assert fleet.asked == []


@on_loop
async def test_changed_limits_on_windows_apply_without_a_restart():
    fleet = Fleet(OWNER)
    before = fleet.quotas._state
    fleet.quotas.apply_settings(QuotasSettings())
    assert fleet.quotas._state is before
    fleet.quotas.apply_settings(QuotasSettings(overage_percent=0.0, n_slack=0))
    fleet.now_ms += 10_000.0
    assert (await fleet.kinds(10)).count("taken") == 5
    assert fleet.quotas._state is not before


@on_loop
async def test_refusals_are_logged_once_a_second():
    """Guards against a line for each request of a client that ignores refusals."""
    fleet = Fleet(OWNER)
    with capture_logs() as lines:
        await fleet.kinds(30)
        fleet.now_ms += 999.0
        await fleet.kinds(30)
        fleet.now_ms += 1.0
        await fleet.kinds(30)
    logged = [each for each in lines if each["event"] == Event.QUOTA_EXCEEDED]
    assert len(logged) == 2
    assert logged[0]["account"] == ATLAS.name
    assert fleet.quotas.n_refused > logged[1]["n_refused"] > 30
