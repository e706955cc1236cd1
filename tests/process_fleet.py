"""Helpers of the process tests: small fleets, their state and their callers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from benchmarks.fleet import (
    DaemonProcess,
    Fleet,
    fetch,
    fetch_async,
    status_of,
    wait_until,
)
from benchmarks.intents import RouteSpec, apply_intent, intent_toml
from pepperstair_core.config import parse_address
from pepperstair_http import ConnectionLostError, Fetcher, header_value

CUSTOMER = "lantern"
N_SLOW_CALLS = 8
ZONES = ("pos-a", "pos-b", "pos-c")
# Short leases, so that a fault is detected within the time limit of a test.
FAST_MEMBERS = """
[members]
heartbeat_ms = 200
n_heartbeats_missed = 3
suspicion_ms = 600
target_lease_ms = 5000
"""


@dataclass(frozen=True)
class CallAnswer:
    """The answer that one caller received; status 0 if its connection was lost."""

    status: int
    run: str
    error: str
    body: bytes


def start_daemons(
    fleet: Fleet, n_daemons: int, more: str = FAST_MEMBERS
) -> list[DaemonProcess]:
    """Start daemons round-robin across the zones and wait until all are ready."""
    for index in range(n_daemons):
        zone = ZONES[index % len(ZONES)]
        fleet.start_daemon(f"vm-{index}", zone, '{ customer = "lantern" }', more)
    wait_until(lambda: all(map(is_ready, fleet.daemons)), "every daemon ready")
    return fleet.daemons


def award_document(service: str, timeout_ms: int = 2000) -> str:
    """Return an intent with one service and one route, `/award`, to it."""
    route = RouteSpec("award", "/award", service, "urgent", timeout_ms=timeout_ms)
    return intent_toml(CUSTOMER, (service,), (route,))


def put_in_force(fleet: Fleet, document: str, at: DaemonProcess) -> int:
    """Apply a document and wait until every daemon has it in force."""
    applied = apply_intent(at, CUSTOMER, document)
    assert applied.status == 200, applied
    wait_in_force(fleet.daemons, applied.version)
    return applied.version


def wait_in_force(
    daemons: list[DaemonProcess], version: int, customer: str = CUSTOMER
) -> None:
    """Wait until daemons have a version in force."""
    wait_until(
        lambda: all(version_of(daemon, customer) == version for daemon in daemons),
        f"version {version} of {customer} on {[daemon.vm for daemon in daemons]}",
    )


def version_of(daemon: DaemonProcess, customer: str = CUSTOMER) -> int:
    """Return the version that a daemon has in force, 0 for none."""
    return status_of(daemon).get("versions", {}).get(customer, 0)


def is_ready(daemon: DaemonProcess) -> bool:
    """Return whether a daemon reports that it is ready for calls."""
    return fetch(daemon.operators, "GET", "/v1/ready")[0] == 200


def start_target(fleet: Fleet, daemon: DaemonProcess, service: str, *more: str) -> str:
    """Start a target and wait until every daemon knows it; return its address."""
    name = f"{service}-{daemon.vm}"
    address = fleet.start_target(daemon, service, "--name", name, *more)
    wait_until(
        lambda: all(knows_target(other, name) for other in fleet.daemons),
        f"{name} known everywhere",
    )
    return address


def knows_target(daemon: DaemonProcess, name: str) -> bool:
    """Return whether a daemon lists a target that is not draining."""
    return any(
        target["name"] == name and target["state"] != "draining"
        for member in status_of(daemon).get("members", [])
        for target in member["targets"]
    )


def run_counts(target: str) -> dict[str, int]:
    """Return how often each request id ran on a target."""
    return asyncio.run(run_counts_async(target))


async def run_counts_async(target: str) -> dict[str, int]:
    """Return how often each request id ran on a target."""
    status, body = await fetch_async(target, "GET", "/stand-in/runs")
    assert status == 200
    return json.loads(body)["runs"]


async def set_target_state(target: str, state: str) -> None:
    """Change the state that a target announces from now on."""
    answer = await fetch_async(target, "PUT", "/stand-in/state", state.encode())
    assert answer[0] == 200


async def wait_for_runs(targets: list[str], n_runs: int) -> None:
    """Wait until targets have together started to run a number of calls."""
    async with asyncio.timeout(20):
        while sum([len(await run_counts_async(target)) for target in targets]) < n_runs:
            await asyncio.sleep(0.02)


def call(daemon: DaemonProcess, request_id: str, **more: str) -> CallAnswer:
    """Send one award through a daemon and return the caller's answer."""
    return asyncio.run(call_async(daemon.callers, request_id, **more))


async def call_async(
    address: str,
    request_id: str,
    *,
    path: str = "/award",
    body: bytes = b"",
    timeout_ms: str = "",
    work_ms: str = "",
    give_up_ms: int = 10_000,
) -> CallAnswer:
    """Send one award and wait for the whole answer or the loss of the connection."""
    headers = [(b"x-request-id", request_id.encode())]
    if timeout_ms:
        headers.append((b"pepperstair-timeout-ms", timeout_ms.encode()))
    if work_ms:
        headers.append((b"x-work-ms", work_ms.encode()))
    fetcher = Fetcher(*parse_address(address), give_up_ms)
    sent = body or request_id.encode()
    try:
        response = await fetcher.fetch("POST", path, sent, tuple(headers))
    except (OSError, TimeoutError, ConnectionLostError):
        return CallAnswer(0, "unknown", "", b"")
    finally:
        fetcher.close()
    return CallAnswer(
        response.status,
        header_value(response.headers, b"pepperstair-run").decode(),
        header_value(response.headers, b"pepperstair-error").decode(),
        response.body,
    )


def served_by(answer: CallAnswer) -> str:
    """Return the service whose target answered a call, or an empty string."""
    return answer.body.decode().partition("-")[0] if answer.status == 200 else ""


async def call_during(
    addresses: list[str],
    targets: list[str],
    start_departure: Callable[[], Awaitable[None]],
) -> list[CallAnswer]:
    """Start slow calls, start the departure once all run, and return the answers."""
    calls = [
        asyncio.create_task(
            call_async(
                addresses[index % len(addresses)],
                f"slow-{index}",
                work_ms="1200",
                timeout_ms="8000",
            )
        )
        for index in range(N_SLOW_CALLS)
    ]
    await wait_for_runs(targets, N_SLOW_CALLS)
    await start_departure()
    return await asyncio.gather(*calls)
