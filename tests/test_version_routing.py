"""Tests of calls to targets of two versions, of which one takes no more calls."""

from __future__ import annotations

import asyncio
import contextlib
import functools

import pytest
from msgspec.structs import replace

from pepperstair_callers import Proxy
from pepperstair_core.errors import ErrorKind
from pepperstair_http import ConnectionLostError, HttpServer, ServerLimits
from pepperstair_targets import TargetOptions
from tests.call_mesh import (
    Mesh,
    answer_ok,
    http_answer,
    status_and_run,
    wait_until,
)

OLD, NEW = ("old", "old"), ("new", "new")


async def fail(target, writer, head):
    """Answer with an internal error."""
    writer.write(http_answer(b"no", "500 Internal Server Error"))


async def truncate(target, writer, head):
    """Send half of the stated content length and close the connection."""
    writer.write(http_answer(b"half", length=8))
    await writer.drain()
    writer.close()


class VersionMesh(Mesh):
    """A mesh with a target of the old and one of the new version.

    `first` is the key of the target that a request goes to first; `other` returns the
    key of the target that it goes to after a failure, or None.
    """

    def __init__(self, first, other, **route):
        super().__init__(**route)
        self.runs = []
        self.context = replace(
            self.context,
            endpoints=self._endpoints_of,
            pick_version=lambda compiled: replace(
                compiled, target_keys=frozenset([first])
            ),
            pick_other_version=lambda compiled, endpoint, failure: self._pick_other(
                compiled, other(failure)
            ),
        )
        self.proxy = Proxy(self.context)
        self.server = HttpServer(self.proxy.handle, ServerLimits())

    async def start(self, answer_new=answer_ok):
        """Start both targets."""
        await self.add("old")
        await self.add("new", answer_new)
        for node in self.nodes.values():
            node.runner.on_run = lambda *run: self.runs.append(run)

    def _endpoints_of(self, compiled):
        return tuple(
            item for item in self.endpoints() if item.key in compiled.target_keys
        )

    def _pick_other(self, compiled, key):
        return None if key is None else replace(compiled, target_keys=frozenset([key]))


def on_loop(test):
    """Run a test on its own event loop, for at most 15 s."""

    @functools.wraps(test)
    def run():
        asyncio.run(asyncio.wait_for(test(), 15))

    return run


@on_loop
async def test_call_refused_by_a_superseded_version_runs_on_its_successor():
    """Guards against calls that are lost, or count an attempt, at a promotion."""
    is_superseded = lambda failure: failure.kind is ErrorKind.VERSION_SUPERSEDED
    other = lambda failure: NEW if is_superseded(failure) else None
    async with VersionMesh(OLD, other, n_attempts_max=1) as mesh:
        await mesh.start()
        runner = mesh.nodes["old"].runner
        runner.version_refusal = lambda target: ErrorKind.VERSION_SUPERSEDED
        response = await mesh.call()
        assert (response.status, response.body) == (200, b"new")
        assert mesh.raw["old"].heads == []
        assert runner.n_version_refusals == 1
        assert mesh.outcomes[0].n_retries == 0


@on_loop
async def test_canary_request_refused_by_a_held_version_runs_on_the_old_one():
    """Guards against calls that fail as their daemon has not heard of a rollback."""
    async with VersionMesh(NEW, lambda failure: OLD, n_attempts_max=1) as mesh:
        await mesh.start()
        runner = mesh.nodes["new"].runner
        runner.version_refusal = lambda target: ErrorKind.VERSION_HELD
        response = await mesh.call()
        assert (response.status, response.body) == (200, b"old")
        assert mesh.outcomes[0].n_retries == 0


@on_loop
async def test_failed_canary_request_is_retried_on_the_old_version():
    """Guards against callers that get the errors of a version under trial."""
    async with VersionMesh(NEW, lambda failure: OLD, is_idempotent=True) as mesh:
        await mesh.start(fail)
        response = await mesh.call("GET")
        assert (response.status, response.body) == (200, b"old")
        assert mesh.outcomes[0].n_retries == 1


@on_loop
async def test_refusal_of_a_version_without_another_one_is_answered_as_not_run():
    async with VersionMesh(NEW, lambda failure: None) as mesh:
        await mesh.start()
        runner = mesh.nodes["new"].runner
        runner.version_refusal = lambda target: ErrorKind.VERSION_HELD
        assert status_and_run(await mesh.call()) == (503, "no")
        assert mesh.raw["new"].heads == []


@on_loop
async def test_calls_that_wait_for_a_slot_are_refused_once_the_version_is_superseded():
    """Guards against work that begins on old targets after their replacement."""
    release = asyncio.Event()

    async def answer_later(target, writer, head):
        await release.wait()
        await answer_ok(target, writer, head)

    other = lambda failure: NEW
    async with VersionMesh(OLD, other) as mesh:
        await mesh.add("old", answer_later, n_slots=1)
        await mesh.add("new")
        runner = mesh.nodes["old"].runner
        running = asyncio.create_task(mesh.call())
        waiting = asyncio.create_task(mesh.call())
        while runner.n_unfinished(lambda target: True) < 2:
            await asyncio.sleep(0.005)
        runner.version_refusal = lambda target: ErrorKind.VERSION_SUPERSEDED
        release.set()
        assert {(await running).body, (await waiting).body} == {b"old", b"new"}
        assert len(mesh.raw["old"].heads) == 1
        assert runner.n_unfinished(lambda target: True) == 0


@pytest.mark.parametrize("n_buffered_max_bytes", [0, 100_000])
def test_failures_of_the_target_itself_are_reported_as_bad(n_buffered_max_bytes):
    """Guards against evidence that misses errors or broken answers of a version."""
    options = TargetOptions(n_buffered_max_bytes=n_buffered_max_bytes)
    asyncio.run(asyncio.wait_for(report_failures(options), 15))


async def report_failures(options):
    """Compare the reported outcomes of a good, a failed and a truncated answer."""
    stay = lambda failure: None
    async with VersionMesh(NEW, stay, n_attempts_max=1, options=options) as mesh:
        await mesh.start()
        for answer in (answer_ok, fail, truncate):
            mesh.raw["new"].answer = answer
            with contextlib.suppress(ConnectionLostError):
                await mesh.call()
        await wait_until(lambda: len(mesh.runs) == 3)
        outcomes = [(run[0].name, run[1], run[2]) for run in mesh.runs]
        assert outcomes == [
            ("new", "r", False),
            ("new", "r", True),
            ("new", "r", True),
        ]


@on_loop
async def test_refusals_of_a_full_target_are_not_reported_as_bad():
    """Guards against good versions that are rolled back under load."""
    async with VersionMesh(NEW, lambda failure: None, n_attempts_max=1) as mesh:
        await mesh.start()

        async def refuse(target, writer, head):
            writer.write(http_answer(b"", "503 Service Unavailable"))

        mesh.raw["new"].answer = refuse
        await mesh.call()
        assert [run[2] for run in mesh.runs] == [False]
