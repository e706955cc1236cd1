"""A TCP relay on loopback that simulates a link and its faults."""

from __future__ import annotations

import asyncio
from enum import StrEnum

from pepperstair_core.config import parse_address

_CHUNK_BYTES = 65_536


class LinkFault(StrEnum):
    """The faults that a link can simulate."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    PARTITION = "cut"
    PARTITION_ONE_WAY = "cut_one_way"
    SILENCE = "silence"


class Link:
    """Relays TCP connections to one address.

    A partition delays data until the link is healed, as TCP retransmission would.
    Silence is permanent, but affects only the connections open at that moment: both
    ends stay open, and new connections work. With port 0 the system chooses the port,
    and `address` is set by `listen`.
    """

    def __init__(self, target: str, port: int = 0) -> None:
        self._target = parse_address(target)
        self._port = port
        self._server: asyncio.Server | None = None
        self._transports: set[asyncio.WriteTransport] = set()
        self._fault = LinkFault.NONE
        self._healed = asyncio.Event()
        self._healed.set()
        self._n_silent_connections = 0
        self._n_connections = 0
        self.delay_s = 0.0
        self.address = f"127.0.0.1:{port}" if port else ""

    async def listen(self) -> str:
        """Start accepting connections and return the address."""
        self._server = await asyncio.start_server(
            self._forward_connection, "127.0.0.1", self._port
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    def close(self) -> None:
        """Abort every connection and stop listening."""
        self._server.close()
        self._reset()

    def fail(self, fault: LinkFault, delay_s: float = 0.0) -> None:
        """Simulate a fault from now on; `delay_s` applies to `DELAY`."""
        self._fault = fault
        if fault is LinkFault.RESET:
            self._reset()
        elif fault is LinkFault.SILENCE:
            self._n_silent_connections = self._n_connections
        elif fault is LinkFault.DELAY:
            self.delay_s = delay_s
        else:
            self._healed.clear()

    def heal(self) -> None:
        """End the fault and forward the data that a partition held back."""
        self._fault = LinkFault.NONE
        self.delay_s = 0.0
        self._healed.set()

    def _reset(self) -> None:
        for transport in list(self._transports):
            transport.abort()

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._n_connections += 1
        number = self._n_connections
        if self._fault in (LinkFault.PARTITION, LinkFault.PARTITION_ONE_WAY):
            await self._healed.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        transports = {writer.transport, far_writer.transport}
        self._transports |= transports
        try:
            await asyncio.gather(
                self._copy(number, reader, far_writer, is_inward=True),
                self._copy(number, far_reader, writer, is_inward=False),
            )
        except asyncio.CancelledError:
            # The run has ended. If re-raised, this would be logged per connection.
            return
        except OSError:
            # One end is closed; the other must see an aborted connection.
            for transport in transports:
                transport.abort()
        finally:
            self._transports -= transports

    async def _copy(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_inward: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self._fault is LinkFault.PARTITION or (
                self._fault is LinkFault.PARTITION_ONE_WAY and is_inward
            ):
                await self._healed.wait()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if number > self._n_silent_connections:
                writer.write(data)
                await writer.drain()
        if number > self._n_silent_connections:
            writer.close()


__all__ = ["Link", "LinkFault"]
