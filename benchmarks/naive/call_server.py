"""The receiving side of calls: runs them beside the target and answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import structlog

from pepperstair_core.errors import ErrorKind, Failure, PepperstairError
from pepperstair_core.events import Event
from pepperstair_core.wire import (
    AnswerHead,
    BodyEnd,
    BodyPart,
    CallFailed,
    CallHead,
    Credit,
    Hello,
    Reset,
)
from pepperstair_http import BodyBuffer, ConnectionLostError, StreamedResponse
from pepperstair_peers import FrameStream

from .sending import CreditGate, send_body

log = structlog.get_logger(__name__)

CallRunner = Callable[[CallHead, BodyBuffer], Awaitable[StreamedResponse]]


class _IncomingCall:
    """One call taken from another daemon."""

    __slots__ = ("body", "credit", "task")

    def __init__(self, body: BodyBuffer) -> None:
        self.body = body
        self.credit = CreditGate()
        self.task: asyncio.Task[None] | None = None


class NaiveCallServer:
    """Runs the calls of every incoming data stream."""

    def __init__(self, run: CallRunner) -> None:
        self._run = run
        self.n_calls = 0

    def take_stream(self, stream: FrameStream, hello: Hello) -> None:
        """Serve the calls that arrive on a stream."""
        calls: dict[int, _IncomingCall] = {}

        def on_frame(frame: Any) -> None:
            if isinstance(frame, CallHead):
                self._start(stream, calls, frame)
                return
            call = calls.get(getattr(frame, "call_id", 0))
            if call is not None:
                _take_frame(call, frame)

        def on_closed(reason: str) -> None:
            for call in calls.values():
                call.task.cancel()

        stream.on_frame = on_frame
        stream.closed_callbacks.append(on_closed)

    def _start(
        self, stream: FrameStream, calls: dict[int, _IncomingCall], head: CallHead
    ) -> None:
        call_id = head.call_id
        body = BodyBuffer(lambda n: stream.send(Credit(call_id, n)))
        if not head.has_body:
            body.finish()
        call = _IncomingCall(body)
        calls[call_id] = call
        self.n_calls += 1
        loop = asyncio.get_running_loop()
        call.task = loop.create_task(self._answer(stream, head, call))
        call.task.add_done_callback(lambda done: calls.pop(call_id, None))

    async def _answer(
        self, stream: FrameStream, head: CallHead, call: _IncomingCall
    ) -> None:
        call_id = head.call_id
        try:
            response = await self._run(head, call.body)
            try:
                await self._send_response(stream, call_id, call, response)
            finally:
                response.cancel()
        except PepperstairError as error:
            stream.send(_failed(call_id, error.failure))
        except ConnectionLostError as error:
            failure = Failure(ErrorKind.TARGET_FAILED, str(error))
            stream.send(_failed(call_id, failure))
        except ConnectionResetError:
            return
        except Exception:
            log.exception(Event.INTERNAL_ERROR, call_id=call_id)
            stream.send(_failed(call_id, Failure(ErrorKind.INTERNAL)))

    async def _send_response(
        self,
        stream: FrameStream,
        call_id: int,
        call: _IncomingCall,
        response: StreamedResponse,
    ) -> None:
        """Send the answer, in one write where its body is here already."""
        head = AnswerHead(call_id, response.status, response.headers)
        part = response.body.read_nowait()
        if response.body.is_empty and call.credit.take_nowait(len(part)):
            stream.send(head, BodyPart(call_id, part), BodyEnd(call_id))
            return
        stream.send(head)
        if part:
            await call.credit.take(len(part))
            stream.send(BodyPart(call_id, part))
        await send_body(stream, call_id, response.body, call.credit)


def _take_frame(call: _IncomingCall, frame: Any) -> None:
    if isinstance(frame, BodyPart):
        call.body.feed(frame.data)
    elif isinstance(frame, BodyEnd):
        call.body.finish()
    elif isinstance(frame, Credit):
        call.credit.add(frame.n_bytes)
    elif isinstance(frame, Reset):
        call.task.cancel()


def _failed(call_id: int, failure: Failure) -> CallFailed:
    return CallFailed(
        call_id, failure.kind, failure.has_run, failure.detail, failure.retry_after_ms
    )


__all__ = ["CallRunner", "NaiveCallServer"]
