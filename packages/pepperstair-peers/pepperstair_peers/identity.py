"""Who this daemon is towards other daemons."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from msgspec import Struct, field

from pepperstair_core.wire import Hello, StreamKind, Welcome
from pepperstair_core.wire.control import PROTOCOL_VERSION


class Identity(Struct, frozen=True):
    """The name and address of a daemon and the id of its process.

    `silence_ms` is how long what it sends may be held up on its own link.
    """

    vm: str
    start_id: int
    peer_address: str
    silence_ms: int = 0
    _sequences: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def hello(self, stream_kind: StreamKind) -> Hello:
        """Return the frame that opens the next stream from this daemon."""
        return Hello(
            PROTOCOL_VERSION,
            stream_kind,
            self.vm,
            self.start_id,
            self.peer_address,
            next(self._sequences),
        )

    def welcome(self) -> Welcome:
        """Return the frame that answers a stream opened to this daemon."""
        return Welcome(self.vm, self.start_id, self.silence_ms)


__all__ = ["Identity"]
