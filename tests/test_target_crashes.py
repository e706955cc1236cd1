"""Tests of targets that exit while running calls, or only appear to exit."""

from __future__ import annotations

import asyncio

from pepperstair_core.calls import TrustLevel
from pepperstair_core.errors import ErrorKind
from pepperstair_core.members import TargetState
from tests.call_mesh import Mesh, answer_ok, http_answer, status_and_run, wait_until

N_CRASHES = 3


async def crash(target, writer, head):
    """Close the target's listener and abort all of its connections."""
    await asyncio.sleep(0.02)
    await target.close()


async def crash_behind_listener(target, writer, head):
    """Stop the target behind a listener that keeps accepting connections."""
    await asyncio.sleep(0.02)
    target.is_down = True
    for each in target.writers:
        each.transport.abort()


async def slow(target, writer, head):
    """Answer after 50 ms."""
    await asyncio.sleep(0.05)
    await answer_ok(target, writer, head)


async def abort_connection(target, writer, head):
    """Abort one connection of a target that keeps running."""
    await asyncio.sleep(0.02)
    writer.transport.abort()


def answer_by_path(**answers):
    """Return an answer function that selects an answer by the last path segment."""

    async def answer(target, writer, head):
        path = head.split()[1].rsplit(b"/", 1)[1].decode()
        await answers.get(path, answer_ok)(target, writer, head)

    return answer


def with_mesh(**route):
    """Run a test on a mesh that records reported crashes in `mesh.crashes`."""

    def decorate(test):
        def run():
            async def scenario():
                async with Mesh(**route) as mesh:
                    mesh.crashes = []
                    await test(mesh)

            asyncio.run(asyncio.wait_for(scenario(), 15))

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return decorate


async def add(mesh, name, answer):
    """Start a target whose reported crashes are recorded."""
    raw = await mesh.add(name, answer, n_slots=4)
    runner = mesh.nodes[name].runner
    runner.on_crash = lambda target, running: mesh.crashes.append(
        (target, sorted(running))
    )
    return raw


@with_mesh()
async def test_exit_of_a_target_is_distinguished_from_a_broken_connection(mesh):
    """Guards against suspecting requests whose target lost a single connection."""
    await add(mesh, "a", answer_by_path(cut=abort_connection, crash=crash))
    assert status_and_run(await mesh.call(path="/cut")) == (502, "unknown")
    assert mesh.outcomes[-1].error is ErrorKind.TARGET_FAILED
    assert mesh.crashes == []
    assert status_and_run(await mesh.call(path="/crash")) == (502, "unknown")
    assert mesh.outcomes[-1].error is ErrorKind.TARGET_CRASHED
    (report,) = mesh.crashes
    assert len(report[1]) == 1


@with_mesh()
async def test_exit_of_a_target_is_detected_behind_a_listener_that_outlives_it(mesh):
    """Guards against repeatedly mistaking a crash for broken connections."""
    await add(mesh, "a", answer_by_path(crash=crash_behind_listener))
    assert status_and_run(await mesh.call(path="/crash")) == (502, "unknown")
    assert mesh.outcomes[-1].error is ErrorKind.TARGET_CRASHED
    assert len(mesh.crashes) == 1


@with_mesh()
async def test_exit_of_a_target_is_detected_despite_a_silent_connection(mesh):
    """Guards against a dead connection that makes an exited target look alive."""

    async def crash_but_one(target, writer, head):
        target._server.close()
        silent = next(each for each in target.writers if each is not writer)
        for each in target.writers:
            if each is not silent:
                each.transport.abort()

    raw = await add(mesh, "a", answer_by_path(slow=slow, crash=crash_but_one))
    await asyncio.gather(mesh.call(path="/slow"), mesh.call(path="/slow"))
    assert len(raw.writers) == 2
    assert status_and_run(await mesh.call(path="/crash")) == (502, "unknown")
    assert mesh.outcomes[-1].error is ErrorKind.TARGET_CRASHED
    assert len(mesh.crashes) == 1


@with_mesh()
async def test_broken_call_next_to_running_calls_opens_no_connection(mesh):
    """Guards against opening a connection for each answer that a target truncates."""
    raw = await add(mesh, "a", answer_by_path(slow=slow, cut=abort_connection))
    running = [asyncio.ensure_future(mesh.call(path="/slow")) for _ in range(2)]
    await wait_until(lambda: len(raw.heads) == 2)
    assert status_and_run(await mesh.call(path="/cut")) == (502, "unknown")
    await asyncio.gather(*running)
    assert len(raw.writers) == 3
    assert mesh.crashes == []


@with_mesh()
async def test_crash_is_reported_though_the_caller_has_disconnected(mesh):
    """Guards against a crash that is attributed to no request."""
    raw = await add(mesh, "a", answer_by_path(crash=crash_behind_listener))
    calling = asyncio.ensure_future(mesh.call(path="/crash"))
    await wait_until(lambda: raw.is_down)
    calling.cancel()
    await wait_until(lambda: mesh.crashes)


@with_mesh()
async def test_all_running_calls_of_a_target_are_reported_once(mesh):
    """Guards against a report for each broken call, each counted as a crash."""

    async def never(target, writer, head):
        await asyncio.Event().wait()

    await add(mesh, "a", answer_by_path(one=never, two=never, crash=crash))
    paths = ("/one", "/two", "/crash")
    await asyncio.gather(*(mesh.call(path=path) for path in paths))
    (report,) = mesh.crashes
    assert len(report[1]) == len(paths)
    kinds = [outcome.error for outcome in mesh.outcomes]
    assert kinds == [ErrorKind.TARGET_CRASHED] * len(paths)


@with_mesh()
async def test_exit_of_a_draining_target_is_no_crash(mesh):
    """Guards against blaming a request for the planned exit of its target."""
    raw = await add(mesh, "a", answer_by_path(crash=crash))
    calling = asyncio.ensure_future(mesh.call(path="/crash"))
    await wait_until(lambda: raw.heads)
    mesh.announce("a", TargetState.DRAINING)
    assert status_and_run(await calling) == (502, "unknown")
    assert mesh.outcomes[-1].error is ErrorKind.TARGET_FAILED
    assert mesh.crashes == []


@with_mesh()
async def test_quarantined_request_is_refused_without_a_target(mesh):
    """Guards against sending a target a request that is known to crash targets."""
    raw = await add(mesh, "a", answer_ok)
    runner = mesh.nodes["a"].runner
    for quarantine in (runner._quarantine, mesh.context.quarantine):
        assert status_and_run(await mesh.call(path="/poison")) == (200, "yes")
        (fingerprint,) = mesh.fingerprints[-1:]
        for index in range(N_CRASHES):
            quarantine.record_crash([fingerprint], f"vm/{index}", mesh.now_ms())
        n_before = len(raw.heads)
        refused = await mesh.call(path="/poison")
        assert status_and_run(refused) == (503, "no")
        assert len(raw.heads) == n_before
        assert status_and_run(await mesh.call(path="/other")) == (200, "yes")
        quarantine.record_answer(fingerprint)


@with_mesh()
async def test_suspects_do_not_run_concurrently(mesh):
    """Guards against a crash that can't be attributed to one of several suspects."""
    release = asyncio.Event()

    async def wait(target, writer, head):
        await release.wait()
        writer.write(http_answer(b"done"))

    raw = await add(mesh, "a", answer_by_path(one=wait, two=wait))
    quarantine = mesh.nodes["a"].runner._quarantine
    release.set()
    for path in ("/one", "/two"):
        await mesh.call(path=path)
        for index in range(N_CRASHES - 1):
            found = mesh.fingerprints[-1]
            quarantine.record_crash([found], f"{path}/{index}", mesh.now_ms())
        assert quarantine.trust_level(found, mesh.now_ms()) is TrustLevel.SUSPECT
    release.clear()
    raw.heads.clear()
    first = asyncio.ensure_future(mesh.call(path="/one"))
    await wait_until(lambda: raw.heads)
    assert status_and_run(await mesh.call(path="/two")) == (503, "no")
    assert status_and_run(await mesh.call(path="/other")) == (200, "yes")
    release.set()
    assert status_and_run(await first) == (200, "yes")
    assert status_and_run(await mesh.call(path="/two")) == (200, "yes")
    assert quarantine.trust_level(found, mesh.now_ms()) is TrustLevel.TRUSTED
