"""Proxies between daemons, which cut machines off silently."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterable

_NAME = re.compile(rb"vm-\d\d")
_CHUNK_BYTES = 65_536


class Links:
    """The links between machines; those of a cut machine pass nothing on.

    The dialling machine of a connection is read from its first frame, which names it.
    Bytes that were held up by a cut are passed on after it, as TCP does.
    """

    def __init__(self) -> None:
        self._cut: frozenset[str] = frozenset()
        self._healed = asyncio.Event()
        self._healed.set()

    def cut(self, machines: Iterable[str]) -> None:
        """Cut machines off from all others."""
        self._cut = frozenset(machines)
        self._healed.clear()

    def heal(self) -> None:
        """End the cut."""
        self._cut = frozenset()
        self._healed.set()

    async def listen(self, host: str, machine: str, target: str) -> str:
        """Listen for connections to a machine and return the address."""

        async def on_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._connect(reader, writer, machine, target)

        server = await asyncio.start_server(on_connection, host, 0, backlog=1024)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    async def _connect(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        machine: str,
        target: str,
    ) -> None:
        target_writer = None
        try:
            first = await reader.read(_CHUNK_BYTES)
            found = _NAME.search(first)
            ends = {machine, found[0].decode() if found else ""}
            if await self._is_lost(reader, ends):
                return
            host, _, port = target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            target_writer.write(first)
            await asyncio.gather(
                self._pass(reader, target_writer, ends),
                self._pass(target_reader, writer, ends),
            )
        except (ConnectionError, OSError):
            pass
        finally:
            for each in (writer, target_writer):
                if each is not None:
                    each.close()

    async def _is_lost(self, reader: asyncio.StreamReader, ends: set[str]) -> bool:
        """Wait for the end of a cut; return whether the sender has left meanwhile."""
        if not ends & self._cut:
            return False
        while ends & self._cut:
            await self._healed.wait()
        return reader.at_eof()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        ends: set[str],
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if await self._is_lost(reader, ends):
                break
            writer.write(data)
            await writer.drain()
        await self._is_lost(reader, ends)
        writer.close()
