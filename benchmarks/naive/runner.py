"""Runs calls on the targets of this VM, with an unbounded queue."""

from __future__ import annotations

import asyncio

import structlog

from pepperstair_core.config import parse_address
from pepperstair_core.errors import ErrorKind, Failure, PepperstairError, RunStatus
from pepperstair_core.members import Target, TargetState
from pepperstair_core.wire import CallHead
from pepperstair_http import (
    BodyBuffer,
    ClientConnection,
    ConnectionLostError,
    ResponseHead,
    StreamedResponse,
    connect,
)
from pepperstair_targets import TargetRegistry
from pepperstaird.clock import monotonic_ms

log = structlog.get_logger(__name__)


class _LocalTarget:
    """The idle connections and the slots of one target."""

    def __init__(self, target: Target) -> None:
        self.address = target.address
        self._idle: list[ClientConnection] = []
        self.slots = asyncio.Semaphore(target.n_slots)
        self.n_in_flight = 0

    async def acquire_connection(self) -> ClientConnection:
        """Return an idle connection that is still open, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        try:
            return await connect(*parse_address(self.address))
        except OSError as error:
            raise _not_run(ErrorKind.TARGET_UNREACHABLE, str(error)) from error

    def release_connection(self, connection: ClientConnection) -> None:
        """Keep a connection for reuse, or close it if it can't be reused."""
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()


class NaiveRunner:
    """Runs each call on a local target, limited by the target's slots."""

    def __init__(self, registry: TargetRegistry) -> None:
        self._registry = registry
        self._targets: dict[str, _LocalTarget] = {}
        self.is_draining = False

    @property
    def n_in_flight(self) -> int:
        """Return the number of calls that the local targets are running."""
        return sum(target.n_in_flight for target in self._targets.values())

    async def run(self, head: CallHead, body: BodyBuffer) -> StreamedResponse:
        """Run a call and return its answer, or raise PepperstairError."""
        self._registry.expire(monotonic_ms())
        target = self._registry.get(head.target)
        if target is None:
            raise _not_run(ErrorKind.NO_TARGET, head.target)
        # Other daemons may not have received the draining state yet and still send
        # calls. They are refused here as not run, so no work is lost.
        if self.is_draining or target.state is TargetState.DRAINING:
            raise _not_run(ErrorKind.DRAINING, head.target)
        local = self._ensure_local_target(target)
        try:
            async with asyncio.timeout(head.time_left_ms / 1000):
                await local.slots.acquire()
        except TimeoutError as error:
            raise _not_run(ErrorKind.OVERLOADED, head.target) from error
        local.n_in_flight += 1
        return await self._run_in_slot(local, head, body)

    def close(self) -> None:
        """Close the idle connections to every target."""
        for local in self._targets.values():
            local.close()

    def _ensure_local_target(self, target: Target) -> _LocalTarget:
        local = self._targets.get(target.name)
        if local is None or local.address != target.address:
            local = _LocalTarget(target)
            self._targets[target.name] = local
        return local

    async def _run_in_slot(
        self, local: _LocalTarget, head: CallHead, body: BodyBuffer
    ) -> StreamedResponse:
        """Send the request and hold the slot until the answer is read or cancelled."""
        try:
            connection = await local.acquire_connection()
        except PepperstairError:
            _release_slot(local)
            raise
        is_ended = False

        def end() -> None:
            nonlocal is_ended
            if not is_ended:
                is_ended = True
                _release_slot(local)
                local.release_connection(connection)

        try:
            response = await _exchange(connection, head, body)
        except BaseException:
            connection.close()
            end()
            raise
        return StreamedResponse(response.status, response.headers, connection.body, end)


async def _exchange(
    connection: ClientConnection, head: CallHead, body: BodyBuffer
) -> ResponseHead:
    try:
        async with asyncio.timeout(head.time_left_ms / 1000):
            connection.start(
                head.method, head.path, head.headers, None if head.has_body else b""
            )
            if head.has_body:
                while part := await body.read():
                    await connection.send_part(part)
                connection.finish()
            return await connection.read_head()
    except TimeoutError as error:
        raise PepperstairError(Failure(ErrorKind.TIMEOUT, head.target)) from error
    except (ConnectionLostError, ConnectionResetError) as error:
        failure = Failure(ErrorKind.TARGET_FAILED, str(error))
        raise PepperstairError(failure) from error


def _release_slot(local: _LocalTarget) -> None:
    local.n_in_flight -= 1
    local.slots.release()


def _not_run(kind: ErrorKind, detail: str) -> PepperstairError:
    return PepperstairError(Failure(kind, detail, run=RunStatus.NO))


__all__ = ["NaiveRunner"]
