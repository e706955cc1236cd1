"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http import Message, serve

_JSON = {"Content-Type": "application/json"}
_LIMIT_MAX = 500
_LATENCY_S = 0.004


class Store:
    """Keeps rows in memory; its answers are linearizable."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.history: list[tuple[int, str, dict[str, Any]]] = []
        self.version = 0
        self.address = ""
        # While it is silent, the store answers nothing, also not later.
        self.is_silent = False
        self._changed = asyncio.Event()
        self._never = asyncio.Event()

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        server = await serve(self._handle, host)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, table: str, key: str, value: Any, part: str = "") -> None:
        """Write a row, as the operator does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([{"table": table, "part": part, "key": key, "value": encoded}], [])

    def _apply(self, upserts: list[dict], deletes: list[dict]) -> None:
        self.version += 1
        for row in upserts:
            name = (row["table"], row.get("part", ""), row["key"])
            self.rows[name] = (row["value"], self.version)
            shown = {**_named(name), "value": row["value"]}
            shown["resource_version"] = self.version
            self.history.append((self.version, name[0], shown))
        for row in deletes:
            name = (row["table"], row.get("part", ""), row["key"])
            if self.rows.pop(name, None) is not None:
                shown = {**_named(name), "removed": True}
                shown["resource_version"] = self.version
                self.history.append((self.version, name[0], shown))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, request: Message) -> tuple[int, dict[str, str], bytes]:
        await asyncio.sleep(_LATENCY_S)
        if self.is_silent:
            await self._never.wait()
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-get":
            return self._answer(200, self._get(query))
        if url.path == "/rows-feed":
            rows = await self._feed(query)
            if self.is_silent:
                await self._never.wait()
            return self._answer(200, {"rows": rows})
        if url.path == "/rows-tx":
            return self._transact(json.loads(request.body))
        if url.path == "/rows-parts":
            return self._answer(200, {"parts": [""]})
        return 404, _JSON, b"{}"

    def _answer(self, status: int, more: dict) -> tuple[int, dict[str, str], bytes]:
        now_ms = int(time.monotonic() * 1000)
        body = {**more, "resource_version": self.version, "now_ms": now_ms}
        return status, _JSON, json.dumps(body).encode()

    def _get(self, query: dict[str, str]) -> dict:
        start, end = query.get("range_start", ""), query.get("target", "")
        limit = min(int(query.get("limit", _LIMIT_MAX)), _LIMIT_MAX)
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (query["table"], query.get("part", ""))
            and name[2] >= start
            and (not end or name[2] < end)
        )
        return {
            "rows": [self._shown(name) for name in names[:limit]],
            "has_more": len(names) > limit,
        }

    def _shown(self, name: tuple[str, str, str]) -> dict:
        value, version = self.rows[name]
        return {**_named(name), "value": value, "resource_version": version}

    async def _feed(self, query: dict[str, str]) -> list[dict]:
        after, wait_s = int(query["after"]), int(query.get("wait_ms", 0)) / 1000
        deadline_s = time.monotonic() + wait_s
        while True:
            changed = self._changed
            found = [
                row
                for version, table, row in self.history
                if version > after and table == query["table"]
            ]
            left_s = deadline_s - time.monotonic()
            if found or left_s <= 0:
                return found
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict) -> tuple[int, dict[str, str], bytes]:
        for row in body.get("expect", []):
            name = (row["table"], row.get("part", ""), row["key"])
            if self.rows.get(name, ("", 0))[1] != row["resource_version"]:
                shown = [self._shown(name)] if name in self.rows else []
                return self._answer(412, {"rows": shown})
        self._apply(body.get("upserts", []), body.get("deletes", []))
        return self._answer(200, {})


def _named(name: tuple[str, str, str]) -> dict[str, str]:
    return {"table": name[0], "part": name[1], "key": name[2]}
