"""A stand-in for the platform's table service and object store.

Run it with `python -m stand_ins.platform --port P`. All data is kept in memory.
`PUT /v1/faults` injects a fault, for instance `{"mode": "outage"}`.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any
from urllib.parse import parse_qs, urlsplit

from pepperstair_http import Exchange, HttpServer, ServerLimits

_JSON = ((b"content-type", b"application/json"),)
_BODY_MAX_BYTES = 64 * 1024 * 1024


class FaultMode(StrEnum):
    """The kinds of faults that can be injected."""

    NONE = "none"
    OUTAGE = "outage"
    SLOW = "slow"
    DROP_ANSWERS = "drop_answers"


@dataclass
class Faults:
    """The fault in force; `latency_ms` applies to `slow`.

    It affects each request whose path starts with `path_prefix`, with `probability`.
    """

    mode: FaultMode = FaultMode.NONE
    latency_ms: float = 0.0
    probability: float = 1.0
    path_prefix: str = ""


@dataclass
class Counters:
    """Counts of read and write requests, and the size of all bodies."""

    n_reads: int = 0
    n_writes: int = 0
    n_body_bytes: int = 0


@dataclass
class PlatformStandIn:
    """Stores rows and objects in memory and injects faults on request."""

    latency_ms: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    rows: dict[str, str] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    faults: Faults = field(default_factory=Faults)
    counters: Counters = field(default_factory=Counters)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request, subject to the fault in force."""
        body = await exchange.body.read_all(_BODY_MAX_BYTES) or b""
        path = urlsplit(exchange.request.path)
        if path.path == "/v1/faults":
            self._set_faults(json.loads(body))
            await exchange.respond(200, _JSON, b"{}")
            return
        is_faulty = path.path.startswith(self.faults.path_prefix)
        is_faulty &= self.rng.random() < self.faults.probability
        mode = self.faults.mode if is_faulty else FaultMode.NONE
        if mode is FaultMode.OUTAGE:
            await exchange.respond(503, _JSON, b"{}")
            return
        delay_ms = self.latency_ms
        if mode is FaultMode.SLOW:
            delay_ms += self.faults.latency_ms
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)
        status, answer = self._answer(exchange.request.method, path, body)
        self.counters.n_body_bytes += len(body) + len(answer)
        if mode is FaultMode.DROP_ANSWERS and exchange.request.method != "GET":
            exchange.abort()
            return
        await exchange.respond(status, _JSON, answer)

    def _set_faults(self, table: dict[str, Any]) -> None:
        self.faults = Faults(
            FaultMode(table.get("mode", "none")),
            float(table.get("latency_ms", 0)),
            float(table.get("probability", 1)),
            table.get("path_prefix", ""),
        )

    def _answer(self, method: str, path: Any, body: bytes) -> tuple[int, bytes]:
        if path.path == "/v1/counters":
            return 200, json.dumps(vars(self.counters)).encode()
        if method == "GET":
            self.counters.n_reads += 1
        else:
            self.counters.n_writes += 1
        if path.path == "/v1/rows" and method == "GET":
            prefix = parse_qs(path.query).get("prefix", [""])[0]
            return 200, self._rows(prefix)
        if path.path == "/v1/transaction" and method == "POST":
            return self._transaction(json.loads(body))
        kind, _, name = path.path.removeprefix("/v1/").partition("/")
        if kind == "rows" and method == "DELETE":
            self.rows.pop(name, None)
            return 200, b"{}"
        if kind == "objects" and method == "PUT":
            self.objects[name] = body
            return 200, b"{}"
        if kind == "objects" and method == "GET":
            found = self.objects.get(name)
            return (404, b"") if found is None else (200, found)
        return 404, b"{}"

    def _rows(self, prefix: str) -> bytes:
        found = [
            {"key": key, "value": value}
            for key, value in sorted(self.rows.items())
            if key.startswith(prefix)
        ]
        return json.dumps({"rows": found}).encode()

    def _transaction(self, table: dict[str, Any]) -> tuple[int, bytes]:
        for compare in table["compare"]:
            if self.rows.get(compare["key"]) != compare["value"]:
                return 409, json.dumps({"conflict": compare["key"]}).encode()
        for row in table["put"]:
            self.rows[row["key"]] = row["value"]
        return 200, b"{}"


async def serve(port: int, latency_ms: float, seed: int) -> None:
    """Serve until cancelled."""
    stand_in = PlatformStandIn(latency_ms, random.Random(seed))
    server = HttpServer(stand_in.handle, ServerLimits(n_connections_max=5000))
    bound_port = await server.listen("127.0.0.1", port)
    print(f"platform stand-in on 127.0.0.1:{bound_port}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--latency-ms", type=float, default=0.0)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.port, arguments.latency_ms, arguments.seed))


if __name__ == "__main__":
    main()
