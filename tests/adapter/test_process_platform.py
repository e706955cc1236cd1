"""End-to-end tests of daemon processes on a stand-in of the platform."""

from __future__ import annotations

import asyncio
import signal

import pytest

from pepperstair_http import header_value
from tests.adapter.documents import document, rule
from tests.adapter.mesh import is_ready, wait_until, with_mesh

LONG_WORK_S = 1.0


@with_mesh
async def test_request_goes_through_two_daemons_to_an_instance(mesh):
    mesh.store.put("op", "config", document(7))
    caller = await mesh.add("vm-1", "vault")
    callee = await mesh.add("vm-2", "ledger")
    await mesh.wait_until_ready()
    assert await caller.call() == (200, b"vm-2")
    (headers,) = callee.received_headers
    assert header_value(headers, b"x-caller-service") == b"vault"
    assert header_value(headers, b"x-expected-instance") == b"i-vm-2"
    assert 0 < int(header_value(headers, b"x-request-timeout-ms")) <= 800
    assert (await caller.call("/none/1"))[0] == 404

    async def is_written() -> bool:
        return mesh.store.keys("members") == ["member/vm-1", "member/vm-2"]

    await wait_until(is_written, "the rows of both daemons are written")
    status, _, metrics = await caller.fetch("metrics", "GET", "/metrics")
    assert status == 200 and b"pepperstair_calls_total" in metrics


@with_mesh
async def test_new_version_is_in_force_everywhere_and_an_invalid_one_nowhere(mesh):
    """The operator writes a new version, and then a truncated one is written."""
    mesh.store.put("op", "config", document(7))
    caller = await mesh.add("vm-1", "ledger")
    other = await mesh.add("vm-2", "vault")
    await mesh.wait_until_ready()
    assert (await caller.call())[1] == b"vm-1"
    mesh.store.put("op", "config", document(9, rule("logs", "/logs/", "vault")))

    async def is_in_force() -> bool:
        bodies = [(await vm.call())[1] for vm in (caller, other)]
        return bodies == [b"vm-2", b"vm-2"]

    await wait_until(is_in_force, "both daemons route by the new version")
    mesh.store.put("op", "config", document(12)[:-7])
    await asyncio.sleep(0.6)
    assert (await caller.call())[1] == b"vm-2"


@with_mesh
async def test_daemon_without_any_configuration_answers_503(mesh):
    """A daemon starts during an outage of the store, without any source of routes.

    An answer with 404 would wrongly say that the route does not exist.
    """
    mesh.store.status = 503
    vm = await mesh.add("vm-1", "ledger")
    assert not await is_ready(vm)
    assert (await vm.call())[0] == 503
    mesh.store.status = 200
    mesh.store.put("op", "config", document(7))
    await mesh.wait_until_ready()
    assert await vm.call() == (200, b"vm-1")


@with_mesh
async def test_daemon_restarted_during_a_store_outage_reads_from_its_neighbours(mesh):
    """A daemon is killed and restarted during an outage of the store."""
    mesh.store.put("op", "config", document(7))
    first = await mesh.add("vm-1", "ledger")
    await mesh.add("vm-2", "ledger")
    await mesh.wait_until_ready()
    mesh.store.status = 503
    first.process.kill()
    first.process.wait()
    first.start_daemon()
    await wait_until(lambda: is_ready(first), "ready without the store")
    assert (await first.call())[0] == 200


@with_mesh
async def test_draining_instance_gets_no_new_requests_once_acknowledged(mesh):
    """An instance announces that it drains while requests keep arriving."""
    mesh.store.put("op", "config", document(7))
    leaving = await mesh.add("vm-1", "ledger")
    await mesh.add("vm-2", "ledger")
    await mesh.wait_until_ready()
    assert await leaving.heartbeat("draining") == 200
    n_received_before = len(leaving.received_headers)
    answers = [await leaving.call(request_id=f"r{index}") for index in range(20)]
    assert answers == [(200, b"vm-2")] * 20
    assert len(leaving.received_headers) == n_received_before


@with_mesh
async def test_acknowledged_deregistration_survives_a_daemon_restart(mesh):
    """A daemon is killed after it has acknowledged that its instance deregisters.

    A delayed heartbeat of the instance then reaches the restarted daemon. If it were
    accepted, requests would be sent to the instance and fail as it ends.
    """
    mesh.store.put("op", "config", document(7))
    leaving = await mesh.add("vm-1", "ledger")
    await mesh.add("vm-2", "ledger")
    await mesh.wait_until_ready()
    path = "/Instances.Deregister/i-vm-1"
    assert (await leaving.fetch("control_plane", "POST", path))[0] == 200
    leaving.process.kill()
    leaving.process.wait()
    leaving.start_daemon()

    async def is_acknowledged() -> bool:
        return await leaving.heartbeat() == 200

    await wait_until(is_acknowledged, "the new process accepts heartbeats")
    await wait_until(lambda: is_ready(leaving), "the new process is ready")
    n_received_before = len(leaving.received_headers)
    answers = [await leaving.call(request_id=f"r{index}") for index in range(20)]
    assert {body for status, body in answers if status == 200} <= {b"vm-2"}
    assert len(leaving.received_headers) == n_received_before


@pytest.mark.parametrize("on_side", ["caller", "instance"])
def test_stopping_daemon_finishes_calls_in_flight(tmp_path, on_side):
    """The platform stops a daemon while it has calls in flight.

    These calls are answered, as are those that arrive in the next two seconds, and the
    process exits before the platform would kill it.
    """

    async def scenario(mesh):
        long_rule = rule("logs", "/logs/", "ledger", action={"timeout_ms": 3000})
        mesh.store.put("op", "config", document(7, long_rule))
        caller = await mesh.add("vm-1", "vault")
        callee = await mesh.add("vm-2", "ledger")
        await mesh.wait_until_ready()
        callee.work_s = LONG_WORK_S
        calls = [
            asyncio.create_task(caller.call(request_id=f"r{index}"))
            for index in range(4)
        ]
        await asyncio.sleep(0.3)
        stopped = caller if on_side == "caller" else callee
        stopped.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        assert not await is_ready(stopped)
        if on_side == "caller":
            assert await caller.call(request_id="late") == (200, b"vm-2")
        assert await asyncio.gather(*calls) == [(200, b"vm-2")] * 4
        ended = asyncio.to_thread(stopped.process.wait, 6)
        assert await ended == 0

    with_mesh(scenario)(tmp_path)


@pytest.mark.parametrize("on_side", ["caller", "instance"])
def test_stopping_daemon_waits_for_a_long_call_within_the_grace_period(
    tmp_path, on_side
):
    """Guards against a daemon that abandons a call while its target runs it."""

    async def scenario(mesh):
        mesh.bounds = "grace_s = 10\n"
        long_rule = rule("logs", "/logs/", "ledger", action={"timeout_ms": 10_000})
        mesh.store.put("op", "config", document(7, long_rule))
        caller = await mesh.add("vm-1", "vault")
        callee = await mesh.add("vm-2", "ledger")
        await mesh.wait_until_ready()
        callee.work_s = 8.0
        calling = asyncio.create_task(caller.call(timeout_ms=10_000))
        await asyncio.sleep(0.3)
        stopped = caller if on_side == "caller" else callee
        stopped.process.send_signal(signal.SIGTERM)
        assert await calling == (200, b"vm-2")
        ended = asyncio.to_thread(stopped.process.wait, 2)
        assert await ended == 0

    with_mesh(scenario)(tmp_path)


@with_mesh
async def test_stopping_daemon_answers_calls_that_it_can_not_finish(mesh):
    """The platform stops a daemon while an instance runs a long request.

    A closed connection would not tell the caller whether it may retry the request.
    The daemon answers in time that the outcome is unknown.
    """
    long_rule = rule("logs", "/logs/", "ledger", action={"timeout_ms": 30_000})
    mesh.store.put("op", "config", document(7, long_rule))
    vm = await mesh.add("vm-1", "ledger")
    await mesh.wait_until_ready()
    vm.work_s = 30.0
    calling = asyncio.create_task(vm.call(timeout_ms=30_000))
    await asyncio.sleep(0.3)
    vm.process.send_signal(signal.SIGTERM)
    assert (await asyncio.wait_for(calling, 6))[0] == 504
    assert await asyncio.to_thread(vm.process.wait, 2) == 0


@with_mesh
async def test_signals_until_the_exit_do_not_change_the_exit_status(mesh):
    """The platform stops a daemon and sends further signals until it has exited.

    The event loop does not handle signals that arrive between its own end and that of
    the process; with their default action a clean stop would look like a crash.
    """
    mesh.store.put("op", "config", document(7))
    vm = await mesh.add("vm-1", "ledger")
    await mesh.wait_until_ready()
    vm.process.send_signal(signal.SIGTERM)
    while vm.process.poll() is None:
        vm.process.send_signal(signal.SIGHUP)
        vm.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.002)
    assert vm.process.returncode == 0


@with_mesh
async def test_sighup_does_not_interrupt_calls(mesh):
    """The platform signals a change of the settings file by SIGHUP."""
    mesh.store.put("op", "config", document(7))
    vm = await mesh.add("vm-1", "ledger")
    await mesh.wait_until_ready()
    vm.work_s = 0.5
    running = asyncio.create_task(vm.call())
    await asyncio.sleep(0.2)
    vm.process.send_signal(signal.SIGHUP)
    assert await running == (200, b"vm-1")
    assert vm.process.poll() is None
