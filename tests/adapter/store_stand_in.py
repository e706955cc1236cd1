"""A stand-in for the platform's store, with rows, watches and faults."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from pepperstair_http import Exchange, HttpServer, ServerLimits

_JSON = ((b"content-type", b"application/json"),)
_SILENCE_S = 3600.0


class StoreStandIn:
    """Keeps rows in memory and implements the part of the protocol that is used.

    A `status` other than 200 is the answer to every call. `is_silent` leaves calls
    unanswered, `is_losing_answers` executes calls and breaks their connections, and
    `delay_s` delays each call. `forget_history` drops the history of changes, so that
    watches from an earlier version fail.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.extra_rows: list[Any] = []
        # The version of the removal of each row that `remove` removed.
        self._removed: dict[tuple[str, str], int] = {}
        self.version = 0
        self.first_kept_version = 0
        self.status = 200
        self.is_silent = False
        self.is_losing_answers = False
        self.delay_s = 0.0
        self.n_reads = 0
        self.n_page_rows = 500
        # Called after each page that others follow.
        self.on_page: Callable[[], None] = lambda: None
        # Added to the time that each answer states, None to state none.
        self.advance_ms: int | None = 0
        # Replaces the body of each answer if set.
        self.fixed_answer = b""
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle, ServerLimits(n_connections_max=100))

    async def listen(self) -> str:
        """Start the server and return its address."""
        port = await self._server.listen("127.0.0.1", 0)
        return f"127.0.0.1:{port}"

    def close(self) -> None:
        """Stop the server."""
        self._server.close()

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator would."""
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self._notify_watches()

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the operator would, which watches report."""
        self.version += 1
        del self.rows[table, key]
        self._removed[table, key] = self.version
        self._notify_watches()

    def forget_history(self) -> None:
        """Drop the history of changes up to now, which ends every watch."""
        self.first_kept_version = self.version
        self._notify_watches()

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table in order."""
        return sorted(key for name, key in self.rows if name == table)

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, exchange: Exchange) -> None:
        body = await exchange.body.read_all(1_000_000)
        if self.is_silent:
            await asyncio.sleep(_SILENCE_S)
        await asyncio.sleep(self.delay_s)
        if self.status != 200:
            await exchange.respond(self.status, _JSON, b"{}")
            return
        url = urlsplit(exchange.request.path)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/rows-tx":
            status, content = self._transact(json.loads(body))
        elif url.path == "/rows-get":
            status, content = self._get(query)
        else:
            status, content = await self._feed(query)
        if self.is_losing_answers:
            exchange.abort()
            return
        content = {**content, "resource_version": self.version}
        if content.get("has_more"):
            self.on_page()
        if self.advance_ms is not None:
            loop_s = asyncio.get_running_loop().time()
            content["now_ms"] = int(1000 * loop_s) + self.advance_ms
        answer = self.fixed_answer or json.dumps(content).encode()
        await exchange.respond(status, _JSON, answer)

    def _transact(self, transaction: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in transaction["expect"]:
            name = (row["table"], row["key"])
            _, version = self.rows.get(name, (b"", 0))
            if version != row["resource_version"]:
                known = [self._row(name)] if name in self.rows else []
                return 412, {"rows": known}
        for row in transaction["upserts"]:
            value = base64.b64decode(row["value"])
            self.put(row["table"], row["key"], value)
        for row in transaction["deletes"]:
            self.rows.pop((row["table"], row["key"]), None)
            self.version += 1
        return 200, {}

    def _get(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        self.n_reads += 1
        start = query.get("range_start", "")
        end = query.get("target", "\U0010ffff")
        names = [
            name
            for name in sorted(self.rows)
            if name[0] == query["table"] and start <= name[1] < end
        ]
        rows = [self._row(name) for name in names[: self.n_page_rows]]
        return 200, {
            "rows": [*rows, *self.extra_rows],
            "has_more": len(names) > self.n_page_rows,
        }

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        deadline_s = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.first_kept_version:
                return 410, {}
            rows = [
                self._row(name)
                for name, (_, version) in self.rows.items()
                if name[0] == query["table"] and version > after
            ]
            rows += [
                {"key": key, "removed": True, "resource_version": version}
                for (table, key), version in self._removed.items()
                if table == query["table"] and version > after
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if rows or remaining_s <= 0:
                return 200, {"rows": rows}
            change = self._changed.wait()
            try:
                await asyncio.wait_for(change, remaining_s)
            except TimeoutError:
                continue

    def _row(self, name: tuple[str, str]) -> dict[str, Any]:
        value, version = self.rows[name]
        return {
            "table": name[0],
            "part": "",
            "key": name[1],
            "value": base64.b64encode(value).decode(),
            "resource_version": version,
        }
