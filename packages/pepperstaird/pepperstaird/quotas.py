"""Quotas of client accounts: asks owners for tokens, and grants them as an owner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import structlog

from pepperstair_core.accounts import AccountTable
from pepperstair_core.calls.run_memory import Sender
from pepperstair_core.config import QuotasSettings
from pepperstair_core.errors import ErrorKind, Failure, PepperstairError
from pepperstair_core.events import Event
from pepperstair_core.intent import Account
from pepperstair_core.members import MemberState
from pepperstair_core.membership import MemberDirectory
from pepperstair_core.quota import (
    Ask,
    Grant,
    QuotaLedger,
    QuotaMembers,
    QuotaReserve,
    QuotaStock,
    QuotaTerms,
    Refused,
    Taken,
    Token,
    Unanswered,
)
from pepperstair_core.wire import QuotaAsk, QuotaGrant
from pepperstair_peers import CallClient, CallServer, Identity

log = structlog.get_logger(__name__)

# Maximum time that a request waits for a token. An answer usually takes 2 to 60 ms.
WAIT_MS: Final = 150
# Maximum time for which an answer is awaited. The tokens of an answer that is given up
# are lost, so this is longer than requests wait: busy daemons answer late.
ANSWER_TIMEOUT_MS: Final = 400
# Time after which a client tries again if the owner did not answer.
RETRY_AFTER_MS: Final = 300
_LOG_INTERVAL_MS: Final = 1_000.0


class _State:
    """The state that exists only while an account in force has a quota."""

    def __init__(self, vm: str, terms: QuotaTerms, now_ms: float) -> None:
        # A daemon can't tell that it is the only one from not knowing others yet.
        self.members = QuotaMembers(vm, now_ms, expects_others=True)
        self.ledger = QuotaLedger(self.members, terms)
        self.stock = QuotaStock(terms)
        self.reserve = QuotaReserve(self.members, terms)
        # Maps an account to a future that ends with its open question.
        self.questions: dict[str, asyncio.Future[None]] = {}
        # Maps an account to the number of refusals since they were last logged, and
        # to the time of that line.
        self.refusals: dict[str, int] = {}
        self.logged_ms: dict[str, float] = {}


class Quotas:
    """Limits the requests of client accounts over all daemons.

    `now_ms` must also count time during which the VM was suspended, because tokens
    expire meanwhile.
    """

    def __init__(
        self,
        identity: Identity,
        settings: QuotasSettings,
        directory: MemberDirectory,
        client: CallClient,
        server: CallServer,
        accounts: Callable[[], AccountTable],
        now_ms: Callable[[], float],
    ) -> None:
        self._identity = identity
        self._terms = _terms_of(settings)
        self._directory = directory
        self._client = client
        self._accounts = accounts
        self._now_ms = now_ms
        self._state: _State | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.n_granted = 0
        self.n_refused = 0
        self.n_reserved = 0
        self.n_unanswered = 0
        self.n_asks = 0
        server.question_handlers[QuotaAsk] = self._answer

    def close(self) -> None:
        """Cancel the open questions."""
        for task in self._tasks:
            task.cancel()

    def apply_settings(self, settings: QuotasSettings) -> None:
        """Apply changed limits; tokens granted under the former ones are discarded."""
        terms = _terms_of(settings)
        if terms != self._terms:
            self._terms = terms
            self._state = None
            self.configuration_changed()

    def configuration_changed(self) -> None:
        """Create the state for the first account with a quota, or discard it."""
        if not self._accounts().has_quotas:
            self._state = None
        elif self._state is None:
            self._state = _State(self._identity.vm, self._terms, self._now_ms())
            self.members_changed()

    def members_changed(self) -> None:
        """Apply a change of the members, who own accounts."""
        state = self._state
        if state is None:
            return
        members = self._directory.members()
        now_ms = self._now_ms()
        lost = state.members.update(
            (member.vm for member in members if member.is_usable),
            (each.vm for each in members if each.state is MemberState.LEFT),
            now_ms,
        )
        if lost:
            state.ledger.members_lost(lost, now_ms)

    def resume(self) -> None:
        """Start with empty buckets after a pause of this process."""
        if self._state is not None:
            self._state.members.restart(self._now_ms())
            self._state.ledger.restart()

    async def take(self, account: Account) -> Token | None:
        """Return a token for a request, None if no quota applies, or raise."""
        state = self._state
        if state is None or not account.has_quota:
            return None
        outcome = state.stock.take(account, self._now_ms())
        deadline_ms = self._now_ms() + WAIT_MS
        while True:
            if isinstance(outcome, Taken):
                if outcome.ask is not None:
                    self._ask(state, outcome.ask)
                self.n_granted += 1
                return outcome.token
            if isinstance(outcome, Refused):
                self._count_refusal(state, account)
                failure = Failure(
                    ErrorKind.QUOTA_EXCEEDED, account.name, outcome.retry_after_ms
                )
                raise PepperstairError(failure)
            if isinstance(outcome, Unanswered):
                return self._take_reserved(state, account)
            if isinstance(outcome, Ask):
                self._ask(state, outcome)
            if not await self._wait(state, account, deadline_ms):
                return self._take_reserved(state, account)
            outcome = state.stock.take_again(account, self._now_ms())

    def refund(self, token: Token) -> None:
        """Take back the token of a request that did not run."""
        state = self._state
        if state is None:
            return
        if token.is_reserved:
            state.reserve.refund(token)
        else:
            state.stock.refund(token)

    async def _wait(self, state: _State, account: Account, deadline_ms: float) -> bool:
        """Wait for the answer to the open question, and return whether it ended."""
        question = state.questions.get(account.name)
        if question is None:
            return True
        try:
            async with asyncio.timeout((deadline_ms - self._now_ms()) / 1000.0):
                await asyncio.shield(question)
        except TimeoutError:
            state.stock.stop_waiting(account.name)
            return False
        except asyncio.CancelledError:
            state.stock.stop_waiting(account.name)
            raise
        return True

    def _take_reserved(self, state: _State, account: Account) -> Token:
        token = state.reserve.take(account, self._now_ms())
        if token is None:
            self.n_unanswered += 1
            failure = Failure(
                ErrorKind.NOT_READY, "no answer about the quota", RETRY_AFTER_MS
            )
            raise PepperstairError(failure)
        self.n_reserved += 1
        return token

    def _ask(self, state: _State, ask: Ask) -> None:
        """Ask the owner; one that is this daemon answers without a frame."""
        owner = state.members.owner(ask.account)
        if owner == self._identity.vm:
            account = self._accounts().get(ask.account)
            now_ms = self._now_ms()
            grant = Grant(0, is_owner=False)
            if account is not None and account.has_quota:
                grant = state.ledger.grant(account, self._holder(), ask, now_ms)
            state.stock.answer(ask.account, ask.number, grant, now_ms)
            return
        self.n_asks += 1
        loop = asyncio.get_running_loop()
        state.questions[ask.account] = loop.create_future()
        task = loop.create_task(self._ask_remotely(state, owner, ask))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_remotely(self, state: _State, owner: str, ask: Ask) -> None:
        member = self._directory.get(owner)
        question = QuotaAsk(ask.number, ask.account, ask.n_wanted, ask.n_returned)
        try:
            if member is None:
                raise TimeoutError
            answer = await self._client.ask(
                member.peer_address, question, ANSWER_TIMEOUT_MS / 1000.0
            )
        except (TimeoutError, PepperstairError):
            state.stock.fail(ask.account, ask.number, self._now_ms())
        else:
            grant = Grant(answer.n_granted, answer.retry_after_ms, answer.is_owner)
            state.stock.answer(ask.account, ask.number, grant, self._now_ms())
        finally:
            state.questions.pop(ask.account).set_result(None)

    def _answer(self, sender: Sender, frame: QuotaAsk) -> QuotaGrant:
        """Answer a question of another daemon."""
        account = self._accounts().get(frame.account)
        grant = Grant(0, is_owner=False)
        if self._state is not None and account is not None and account.has_quota:
            holder = f"{sender.vm}/{sender.start_id}"
            ask = Ask(frame.number, frame.account, frame.n_wanted, frame.n_returned)
            grant = self._state.ledger.grant(account, holder, ask, self._now_ms())
        return QuotaGrant(
            frame.number,
            frame.account,
            grant.n_granted,
            grant.retry_after_ms,
            grant.is_owner,
        )

    def _holder(self) -> str:
        return f"{self._identity.vm}/{self._identity.start_id}"

    def _count_refusal(self, state: _State, account: Account) -> None:
        """Count a refusal, and log the refusals of an account once a second."""
        self.n_refused += 1
        n_refused = state.refusals.get(account.name, 0) + 1
        now_ms = self._now_ms()
        logged_ms = state.logged_ms.get(account.name)
        if logged_ms is not None and now_ms - logged_ms < _LOG_INTERVAL_MS:
            state.refusals[account.name] = n_refused
            return
        state.refusals[account.name] = 0
        state.logged_ms[account.name] = now_ms
        log.info(
            Event.QUOTA_EXCEEDED,
            account=account.name,
            n_refused=n_refused,
            rate_per_s=account.rate_per_s,
            owner=state.members.owner(account.name),
        )


def _terms_of(settings: QuotasSettings) -> QuotaTerms:
    return QuotaTerms(
        settings.window_ms, settings.overage_percent / 100.0, settings.n_slack
    )


__all__ = ["Quotas"]
