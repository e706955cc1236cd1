"""The body of a target's answer, with an idle timeout."""

from __future__ import annotations

import asyncio
from typing import Final

import structlog

from pepperstair_http import BodyBuffer, ClientConnection, ConnectionLostError

log = structlog.get_logger(__name__)

BODY_IDLE_TIMEOUT_S: Final = 30.0


class AnswerBody(BodyBuffer):
    """Reads the body of an answer and closes the connection on an idle timeout.

    A target that hangs in the middle of an answer would otherwise block its slot and
    the caller indefinitely. The deadline of the call can't be used instead:
    a large file may take longer than the deadline if its bytes keep arriving.
    """

    __slots__ = ("_connection", "_idle_timeout_s", "_source", "is_broken")

    def __init__(
        self, connection: ClientConnection, idle_timeout_s: float = BODY_IDLE_TIMEOUT_S
    ) -> None:
        super().__init__()
        self._connection = connection
        self._source = connection.body
        self._idle_timeout_s = idle_timeout_s
        # Whether the connection ended before the body while it was read.
        self.is_broken = False

    @property
    def is_complete(self) -> bool:
        """Return whether the end of the body has arrived."""
        return self._source.is_complete

    @property
    def is_exhausted(self) -> bool:
        """Return whether the body has arrived completely and been read to its end."""
        return self._source.is_exhausted

    def read_nowait(self) -> bytes:
        """Return the next part that has already arrived, or b""."""
        return self._source.read_nowait()

    async def read(self) -> bytes:
        """Return the next part, or raise if none arrives within the idle timeout."""
        if part := self._source.read_nowait():
            return part
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._idle_timeout_s, self._connection.close)
        try:
            return await self._source.read()
        except ConnectionLostError:
            self.is_broken = True
            raise
        finally:
            timer.cancel()


__all__ = ["BODY_IDLE_TIMEOUT_S", "AnswerBody"]
