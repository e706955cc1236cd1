"""A proxy, runners and targets in one process that communicate over loopback HTTP."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from msgspec.structs import replace

from pepperstair_callers import Proxy, ProxyContext
from pepperstair_core.accounts import NO_ACCOUNTS
from pepperstair_core.calls import CallOutcome, TargetChooser, TokenRetryBudget
from pepperstair_core.config import AccountsSettings
from pepperstair_core.decisions import DecisionLog
from pepperstair_core.intent import Account, Policy, Route, Service
from pepperstair_core.labels import parse_selector
from pepperstair_core.members import Target, TargetState
from pepperstair_core.quota import Token
from pepperstair_core.routing import CompiledRoute, Endpoint, RouteTable
from pepperstair_core.wire import CallHead
from pepperstair_http import (
    Fetcher,
    HttpServer,
    Response,
    ServerLimits,
    header_value,
)
from pepperstair_targets import TargetOptions, TargetRegistry, TargetRunner

LEASE_MS = 6000
Answer = Callable[["RawTarget", asyncio.StreamWriter, bytes], Awaitable[None]]


def http_answer(
    body: bytes = b"", status: str = "200 OK", length: int | None = None
) -> bytes:
    """Return the bytes of an HTTP answer, whose stated length may be wrong."""
    n_bytes = len(body) if length is None else length
    return f"HTTP/1.1 {status}\r\ncontent-length: {n_bytes}\r\n\r\n".encode() + body


async def answer_ok(target: RawTarget, writer: asyncio.StreamWriter, head: bytes):
    """Answer with the target's name."""
    writer.write(http_answer(target.name.encode()))


class RawTarget:
    """A target that answers with arbitrary bytes and records its requests."""

    def __init__(self, name: str, answer: Answer) -> None:
        self.name = name
        self.answer = answer
        self.heads: list[bytes] = []
        self.n_closed = 0
        # Whether the target has crashed while the listener in front of it still accepts
        # connections.
        self.is_down = False
        self.writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def listen(self) -> str:
        """Start listening and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.writers.append(writer)
        if self.is_down:
            writer.close()
            return
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                _, found, rest = head.lower().partition(b"content-length: ")
                if found:
                    await reader.readexactly(int(rest.split(b"\r\n")[0]))
                answering = asyncio.ensure_future(self.answer(self, writer, head))
                closing = asyncio.ensure_future(reader.read(1))
                await asyncio.wait(
                    {answering, closing}, return_when=asyncio.FIRST_COMPLETED
                )
                if not answering.done():
                    answering.cancel()
                    self.n_closed += 1
                    return
                closing.cancel()
                await asyncio.wait({closing})
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


@dataclass
class Node:
    """A VM with one target and its runner."""

    runner: TargetRunner
    registry: TargetRegistry
    target: Target


class Mesh:
    """One route to one service with each target on a separate VM."""

    def __init__(
        self,
        policy: Policy | None = None,
        body_max_bytes=500_000,
        options: TargetOptions | None = None,
        service="",
        **route,
    ):
        self.options = options or TargetOptions()
        self.service = service
        self.policy = policy or Policy("p", "")
        service = Service("s", "app=s")
        self.route = Route("r", "/", "s", **{"timeout_ms": 1500, **route})
        selector = parse_selector("app=s").unwrap()
        self.table = RouteTable([CompiledRoute("c", 1, self.route, service, selector)])
        self.skew_ms = 0.0
        self.nodes: dict[str, Node] = {}
        self.raw: dict[str, RawTarget] = {}
        self.outcomes: list[CallOutcome] = []
        self.decisions = DecisionLog(lambda: 0)
        self.is_draining = False
        self.time_to_stop_ms = math.inf
        self.is_starting = False
        self.is_ready = True
        self.fingerprints: list[bytes] = []
        self.leaving: list[Endpoint] = []
        self.absent: list[Endpoint] = []
        self.accounts = NO_ACCOUNTS
        self.proof_age_ms = 0.0
        self.account_limits = AccountsSettings()
        self.n_running = 0
        # Answers of the quota, each a token or an error, and the tokens given back.
        self.quota: Callable[[Account], Token | None] = lambda account: None
        self.refunded: list[Token] = []
        self.heads: list[CallHead] = []
        self.n_inner_calls_refused = 0
        self.context = self._context(body_max_bytes)
        self.proxy = Proxy(self.context)
        self.server = HttpServer(
            self.proxy.handle, ServerLimits(), self.proxy.is_repeatable
        )
        self.address = ("127.0.0.1", 0)

    def now_ms(self) -> float:
        """Return the monotonic time plus the length of simulated pauses."""
        return time.monotonic() * 1000 + self.skew_ms

    async def __aenter__(self) -> Mesh:
        self.address = ("127.0.0.1", await self.server.listen("127.0.0.1", 0))
        return self

    async def __aexit__(self, *error: object) -> None:
        for target in self.raw.values():
            await target.close()
        for node in self.nodes.values():
            node.runner.close()
        self.server.close()

    async def add(self, name: str, answer: Answer = answer_ok, n_slots: int = 2):
        """Start a target on a separate VM and announce it."""
        raw = RawTarget(name, answer)
        address = await raw.listen()
        self.raw[name] = raw
        serving = TargetState.SERVING
        target = Target(name, address, (("app", "s"),), n_slots, 9, serving)
        self._start_node(name, target)
        return raw

    def restart_daemon(self, name: str) -> None:
        """Replace the runner and registry beside a target, as a restart would."""
        node = self.nodes[name]
        node.runner.close()
        self._start_node(name, node.target)

    def _start_node(self, name: str, target: Target) -> None:
        registry = TargetRegistry(LEASE_MS)
        runner = TargetRunner(
            registry,
            self.now_ms,
            lambda customer, target: self.policy,
            self.decisions,
            self.options,
        )
        registry.on_changed = runner.sync_with_registry
        self.nodes[name] = Node(runner, registry, target)
        self.announce(name)

    def announce(self, name: str, state: TargetState = TargetState.SERVING) -> None:
        """Announce a target, or renew its lease."""
        node = self.nodes[name]
        node.target = replace(node.target, state=state)
        node.registry.announce(node.target, int(self.now_ms()))

    async def call(self, method="POST", body=b"", headers=(), path="/x") -> Response:
        """Send one request through the proxy."""
        fetcher = Fetcher(*self.address, 8000)
        try:
            return await fetcher.fetch(method, path, body, headers)
        finally:
            fetcher.close()

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return every target as last announced, regardless of its lease.

        Outdated membership gossip would return the same.
        """
        return tuple(
            Endpoint(name, "z", "127.0.0.1:1", node.target, self.policy)
            for name, node in self.nodes.items()
        )

    async def _send_attempt(self, item, head, body):
        self.fingerprints.append(head.fingerprint)
        self.heads.append(head)
        return await self.nodes[item.vm].runner.run(head, body)

    async def _take_quota(self, account: Account) -> Token | None:
        return self.quota(account)

    def _context(self, body_max_bytes: int) -> ProxyContext:
        rng = random.Random(4)
        budget = TokenRetryBudget()
        return ProxyContext(
            vm="front",
            route_table=lambda: self.table,
            endpoints=lambda compiled: self.endpoints(),
            chooser=TargetChooser("z", rng),
            load_of=lambda endpoint: None,
            send_attempt=self._send_attempt,
            is_ready=lambda: self.is_ready,
            is_starting=lambda: self.is_starting,
            is_draining=lambda: self.is_draining,
            time_to_stop_ms=lambda: self.time_to_stop_ms,
            on_outcome=self.outcomes.append,
            decisions=self.decisions,
            budget_of=lambda service: budget,
            retry_budget_percent=10,
            now_ms=self.now_ms,
            rng=rng,
            body_max_bytes=lambda: body_max_bytes,
            header_names=self.options.names,
            service=self.service,
            on_leaving=self.leaving.append,
            on_absent=lambda endpoint, sent_ms: self.absent.append(endpoint),
            accounts=lambda: self.accounts,
            proof_age_ms=lambda: self.proof_age_ms,
            account_limits=lambda: self.account_limits,
            n_running=lambda: self.n_running,
            take_quota=self._take_quota,
            refund_quota=self.refunded.append,
            on_inner_call_refused=self._count_inner_call_refused,
        )

    def _count_inner_call_refused(self) -> None:
        self.n_inner_calls_refused += 1


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


def status_and_run(response: Response) -> tuple[int, str]:
    """Return the status and the value of the `pepperstair-run` header."""
    return response.status, header_value(response.headers, b"pepperstair-run").decode()


def retry_after_ms(response: Response) -> int:
    """Return the retry time that the answer states, 0 if it states none."""
    value = header_value(response.headers, b"pepperstair-retry-after-ms")
    return int(value or 0)
