"""The interface between the proxy and the rest of the daemon."""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable

import structlog
from msgspec import Struct, field

from pepperstair_core.accounts import NO_ACCOUNTS, AccountTable
from pepperstair_core.calls import (
    AcceptanceRates,
    AnswerSizes,
    CallerTimeouts,
    CallOutcome,
    Load,
    Quarantine,
    RetryBudget,
    TargetChooser,
)
from pepperstair_core.config import AccountsSettings
from pepperstair_core.decisions import DecisionLog
from pepperstair_core.errors import Failure
from pepperstair_core.freshness import VersionBasis
from pepperstair_core.intent import Account
from pepperstair_core.quota import Token
from pepperstair_core.routing import CompiledRoute, Endpoint, RouteTable
from pepperstair_core.wire import CallHead
from pepperstair_http import (
    PRODUCT_HEADERS,
    BodyBuffer,
    HeaderNames,
    StreamedResponse,
)

log = structlog.get_logger(__name__)

AttemptSender = Callable[[Endpoint, CallHead, BodyBuffer], Awaitable[StreamedResponse]]


async def _take_no_quota(account: Account) -> Token | None:
    return None


class ProxyContext(Struct, frozen=True):
    """The state and the functions that the proxy shares with the daemon.

    `send_attempt` runs one attempt, on a local target or through the daemon on the
    target's VM. `budget_of` returns the retry budget of a service. `now_ms` is a
    monotonic clock. `is_starting` is true shortly after the start of the daemon, while
    it is still receiving its configuration and targets. `service` is the name of the
    service to which the target on this VM belongs, or an empty string if that name is
    not sent to targets. `time_to_stop_ms` returns the time that remains for calls until
    a stopping daemon exits, or infinity if the daemon is not stopping. `on_leaving` is
    called with a target that states in an answer that it is leaving. `accounts` returns
    the client accounts in force and `proof_age_ms` the age of the last proof that they
    are the newest, which `account_limits` bounds. `n_running` returns the number of
    calls that the targets of this VM are running. `take_quota` waits for the right to
    run one request of an account, or raises PepperstairError; it returns None if no
    quota applies. `refund_quota` takes back the right of a request that did not run.
    `pick_version` returns a route restricted to the version of the targets that a
    request goes to, and `pick_other_version` the same after an attempt on a target has
    failed, or None if the request stays with its version; both get the unrestricted
    route. `on_inner_call_refused` is called when a call that the target on this VM made
    was refused as not run, and `on_absent` with a target that the daemon at its address
    does not know and the time at which the refused call was sent. `version_basis`
    returns what is known of the version by which requests are routed, None if that is
    not known.
    """

    vm: str
    route_table: Callable[[], RouteTable]
    endpoints: Callable[[CompiledRoute], tuple[Endpoint, ...]]
    chooser: TargetChooser
    load_of: Callable[[Endpoint], Load | None]
    send_attempt: AttemptSender
    is_ready: Callable[[], bool]
    is_starting: Callable[[], bool]
    is_draining: Callable[[], bool]
    on_outcome: Callable[[CallOutcome], None]
    decisions: DecisionLog
    budget_of: Callable[[str], RetryBudget]
    retry_budget_percent: int
    now_ms: Callable[[], float]
    rng: random.Random
    body_max_bytes: Callable[[], int]
    answer_sizes: AnswerSizes = field(default_factory=AnswerSizes)
    acceptance_rates: AcceptanceRates = field(default_factory=AcceptanceRates)
    caller_timeouts: CallerTimeouts = field(default_factory=CallerTimeouts)
    quarantine: Quarantine = field(default_factory=Quarantine)
    header_names: HeaderNames = PRODUCT_HEADERS
    service: str = ""
    time_to_stop_ms: Callable[[], float] = lambda: math.inf
    on_leaving: Callable[[Endpoint], None] = lambda endpoint: None
    accounts: Callable[[], AccountTable] = lambda: NO_ACCOUNTS
    proof_age_ms: Callable[[], float] = lambda: 0.0
    account_limits: Callable[[], AccountsSettings] = AccountsSettings
    n_running: Callable[[], int] = lambda: 0
    take_quota: Callable[[Account], Awaitable[Token | None]] = _take_no_quota
    refund_quota: Callable[[Token], None] = lambda token: None
    pick_version: Callable[[CompiledRoute], CompiledRoute] = lambda compiled: compiled
    pick_other_version: Callable[
        [CompiledRoute, Endpoint, Failure], CompiledRoute | None
    ] = lambda compiled, endpoint, failure: None
    on_inner_call_refused: Callable[[], None] = lambda: None
    on_absent: Callable[[Endpoint, float], None] = lambda endpoint, sent_ms: None
    version_basis: Callable[[], VersionBasis | None] = lambda: None


__all__ = ["AttemptSender", "ProxyContext"]
