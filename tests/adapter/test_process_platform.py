"""Real daemons on a stand-in of the platform: the whole path."""

from __future__ import annotations

import asyncio
import signal

import pytest

from pepperstair_http import header_value
from tests.adapter.documents import document, rule
from tests.adapter.mesh import is_ready, on_platform, until

LONG_WORK_S = 1.0


@on_platform
async def test_request_goes_through_two_daemons_to_an_instance(mesh):
    mesh.store.put("op", "config", document(7))
    caller = await mesh.add("vm-1", "vault")
    beside = await mesh.add("vm-2", "ledger")
    await mesh.ready()
    assert await caller.call() == (200, b"vm-2")
    (headers,) = beside.heads
    assert header_value(headers, b"x-caller-service") == b"vault"
    assert header_value(headers, b"x-expected-instance") == b"i-vm-2"
    assert 0 < int(header_value(headers, b"x-request-timeout-ms")) <= 800
    assert (await caller.call("/none/1"))[0] == 404

    async def is_written() -> bool:
        return mesh.store.keys("members") == ["member/vm-1", "member/vm-2"]

    await until(is_written, "the rows of both daemons")
    status, _, metrics = await caller.fetch("metrics", "GET", "/metrics")
    assert status == 200 and b"pepperstair_calls_total" in metrics


@on_platform
async def test_new_version_is_in_force_everywhere_and_a_bad_one_nowhere(mesh):
    """The operator writes a new version, then somebody a broken one."""
    mesh.store.put("op", "config", document(7))
    caller = await mesh.add("vm-1", "ledger")
    other = await mesh.add("vm-2", "vault")
    await mesh.ready()
    assert (await caller.call())[1] == b"vm-1"
    mesh.store.put("op", "config", document(9, rule("logs", "/logs/", "vault")))

    async def is_moved() -> bool:
        found = [(await vm.call())[1] for vm in (caller, other)]
        return found == [b"vm-2", b"vm-2"]

    await until(is_moved, "both route by the new version")
    mesh.store.put("op", "config", document(12)[:-7])
    await asyncio.sleep(0.6)
    assert (await caller.call())[1] == b"vm-2"


@on_platform
async def test_daemon_without_any_configuration_refuses_as_not_run(mesh):
    """A daemon starts while the store is away; nobody can tell it the routes.

    An answer that the route does not exist would be false.
    """
    mesh.store.status = 503
    vm = await mesh.add("vm-1", "ledger")
    assert not await is_ready(vm)
    assert (await vm.call())[0] == 503
    mesh.store.status = 200
    mesh.store.put("op", "config", document(7))
    await mesh.ready()
    assert await vm.call() == (200, b"vm-1")


@on_platform
async def test_daemon_that_restarts_while_the_store_is_away_asks_its_neighbours(mesh):
    """The store is down and a daemon is killed and started again."""
    mesh.store.put("op", "config", document(7))
    first = await mesh.add("vm-1", "ledger")
    await mesh.add("vm-2", "ledger")
    await mesh.ready()
    mesh.store.status = 503
    first.process.kill()
    first.process.wait()
    first.start_daemon()
    await until(lambda: is_ready(first), "ready without the store")
    assert (await first.call())[0] == 200


@on_platform
async def test_acknowledged_draining_keeps_new_work_away(mesh):
    """An instance says that it drains; requests go on coming."""
    mesh.store.put("op", "config", document(7))
    leaving = await mesh.add("vm-1", "ledger")
    await mesh.add("vm-2", "ledger")
    await mesh.ready()
    assert await leaving.heartbeat("draining") == 200
    n_before = len(leaving.heads)
    answered = [await leaving.call(request_id=f"r{index}") for index in range(20)]
    assert answered == [(200, b"vm-2")] * 20
    assert len(leaving.heads) == n_before


@on_platform
async def test_acknowledged_deregistration_outlives_the_daemon(mesh):
    """An instance deregisters and the daemon beside it is killed. A heartbeat that
    was held up arrives at the next process.

    Its callers would be sent to the instance until it ends under them.
    """
    mesh.store.put("op", "config", document(7))
    leaving = await mesh.add("vm-1", "ledger")
    await mesh.add("vm-2", "ledger")
    await mesh.ready()
    path = "/Instances.Deregister/i-vm-1"
    assert (await leaving.fetch("control_plane", "POST", path))[0] == 200
    leaving.process.kill()
    leaving.process.wait()
    leaving.start_daemon()

    async def is_acknowledged() -> bool:
        return await leaving.heartbeat() == 200

    await until(is_acknowledged, "the new process takes heartbeats")
    await until(lambda: is_ready(leaving), "the new process is ready")
    n_before = len(leaving.heads)
    answered = [await leaving.call(request_id=f"r{index}") for index in range(20)]
    assert {body for status, body in answered if status == 200} <= {b"vm-2"}
    assert len(leaving.heads) == n_before


@pytest.mark.parametrize("on_side", ["caller", "instance"])
def test_stopped_daemon_finishes_what_it_has(tmp_path, on_side):
    """The platform stops a daemon while requests run through it.

    They get their answers, those that come in the next two seconds too, and the
    process ends by itself before it would be killed.
    """

    async def scenario(mesh):
        long_rule = rule("logs", "/logs/", "ledger", action={"timeout_ms": 3000})
        mesh.store.put("op", "config", document(7, long_rule))
        caller = await mesh.add("vm-1", "vault")
        beside = await mesh.add("vm-2", "ledger")
        await mesh.ready()
        beside.work_s = LONG_WORK_S
        calls = [
            asyncio.create_task(caller.call(request_id=f"r{index}"))
            for index in range(4)
        ]
        await asyncio.sleep(0.3)
        stopped = caller if on_side == "caller" else beside
        stopped.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        assert not await is_ready(stopped)
        if on_side == "caller":
            assert await caller.call(request_id="late") == (200, b"vm-2")
        assert await asyncio.gather(*calls) == [(200, b"vm-2")] * 4
        ended = asyncio.to_thread(stopped.process.wait, 6)
        assert await ended == 0

    on_platform(scenario)(tmp_path)


@pytest.mark.parametrize("on_side", ["caller", "instance"])
def test_stop_lasts_as_long_as_a_long_call_where_the_grace_allows_it(tmp_path, on_side):
    """Guards against a daemon that gives up a call while its target is at work."""

    async def scenario(mesh):
        mesh.bounds = "grace_s = 10\n"
        long_rule = rule("logs", "/logs/", "ledger", action={"timeout_ms": 10_000})
        mesh.store.put("op", "config", document(7, long_rule))
        caller = await mesh.add("vm-1", "vault")
        beside = await mesh.add("vm-2", "ledger")
        await mesh.ready()
        beside.work_s = 8.0
        calling = asyncio.create_task(caller.call(timeout_ms=10_000))
        await asyncio.sleep(0.3)
        stopped = caller if on_side == "caller" else beside
        stopped.process.send_signal(signal.SIGTERM)
        assert await calling == (200, b"vm-2")
        ended = asyncio.to_thread(stopped.process.wait, 2)
        assert await ended == 0

    on_platform(scenario)(tmp_path)


@on_platform
async def test_stopped_daemon_answers_what_it_can_not_finish(mesh):
    """The platform stops a daemon while an instance works on a request for long.

    A closed connection would leave the caller without knowing whether it may
    send the request again; the daemon says that nobody knows, just in time.
    """
    long_rule = rule("logs", "/logs/", "ledger", action={"timeout_ms": 30_000})
    mesh.store.put("op", "config", document(7, long_rule))
    vm = await mesh.add("vm-1", "ledger")
    await mesh.ready()
    vm.work_s = 30.0
    calling = asyncio.create_task(vm.call(timeout_ms=30_000))
    await asyncio.sleep(0.3)
    vm.process.send_signal(signal.SIGTERM)
    assert (await asyncio.wait_for(calling, 6))[0] == 504
    assert await asyncio.to_thread(vm.process.wait, 2) == 0


@on_platform
async def test_signals_that_come_until_the_end_do_not_change_how_it_ends(mesh):
    """The platform stops a daemon and sends further signals until it is gone.

    Between the end of its event loop and that of the process nobody handles them; a
    stop that was clean would look like a crash.
    """
    mesh.store.put("op", "config", document(7))
    vm = await mesh.add("vm-1", "ledger")
    await mesh.ready()
    vm.process.send_signal(signal.SIGTERM)
    while vm.process.poll() is None:
        vm.process.send_signal(signal.SIGHUP)
        vm.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.002)
    assert vm.process.returncode == 0


@on_platform
async def test_sighup_cuts_nothing(mesh):
    """The settings file changes and the platform says so by a signal."""
    mesh.store.put("op", "config", document(7))
    vm = await mesh.add("vm-1", "ledger")
    await mesh.ready()
    vm.work_s = 0.5
    running = asyncio.create_task(vm.call())
    await asyncio.sleep(0.2)
    vm.process.send_signal(signal.SIGHUP)
    assert await running == (200, b"vm-1")
    assert vm.process.poll() is None
