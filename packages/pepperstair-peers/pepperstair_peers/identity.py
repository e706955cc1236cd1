"""The identity that this daemon presents to other daemons."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from msgspec import Struct, field

from pepperstair_core.wire import Hello, StreamKind, Welcome
from pepperstair_core.wire.control import PROTOCOL_VERSION


class Identity(Struct, frozen=True):
    """Identifies a daemon by VM name, peer address and the start id of its process.

    `silence_ms` is the longest time for which the daemon's own link may delay the
    frames that it sends.
    """

    vm: str
    start_id: int
    peer_address: str
    silence_ms: int = 0
    _sequences: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def hello(self, stream_kind: StreamKind) -> Hello:
        """Return the Hello frame for the next stream that this daemon opens."""
        return Hello(
            PROTOCOL_VERSION,
            stream_kind,
            self.vm,
            self.start_id,
            self.peer_address,
            next(self._sequences),
        )

    def welcome(self) -> Welcome:
        """Return the Welcome frame that answers the Hello of another daemon."""
        return Welcome(self.vm, self.start_id, self.silence_ms)


__all__ = ["Identity"]
