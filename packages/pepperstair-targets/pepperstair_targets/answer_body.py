"""The body of a target's answer, with a limit on how long it may stand still."""

from __future__ import annotations

import asyncio
from typing import Final

import structlog

from pepperstair_http import BodyBuffer, ClientConnection

log = structlog.get_logger(__name__)

BODY_IDLE_LIMIT_S: Final = 30.0


class AnswerBody(BodyBuffer):
    """Reads a connection's body and breaks the connection where nothing comes.

    A target that hangs in the middle of an answer would hold its slot, and the
    caller, for ever. The deadline of the call can't serve here: a large file
    may rightly take longer, as long as its bytes keep coming.
    """

    __slots__ = ("_connection", "_idle_limit_s", "_source")

    def __init__(
        self, connection: ClientConnection, idle_limit_s: float = BODY_IDLE_LIMIT_S
    ) -> None:
        super().__init__()
        self._connection = connection
        self._source = connection.body
        self._idle_limit_s = idle_limit_s

    @property
    def is_whole(self) -> bool:
        """Return whether the end of the body has arrived."""
        return self._source.is_whole

    @property
    def is_empty(self) -> bool:
        """Return whether the body is whole and nothing is left to read."""
        return self._source.is_empty

    def read_nowait(self) -> bytes:
        """Return the next part that is here already, or b""."""
        return self._source.read_nowait()

    async def read(self) -> bytes:
        """Return the next part, or raise where none comes in time."""
        if part := self._source.read_nowait():
            return part
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._idle_limit_s, self._connection.close)
        try:
            return await self._source.read()
        finally:
            timer.cancel()


__all__ = ["BODY_IDLE_LIMIT_S", "AnswerBody"]
