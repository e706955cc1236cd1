"""A stand-in for a target that announces itself and counts the runs of each request.

Run it with `python -m stand_ins.target --port P --daemon ADDRESS --service NAME`.
It answers every request with its name and the request's body. A request takes as long
as its header `x-work-ms` says, if set. `GET /stand-in/runs` returns how often each
request id ran. `PUT /stand-in/state` with `draining` makes the target drain,
`PUT /stand-in/work-ms` sets the duration of later requests, and `PUT /stand-in/status`
with `500` makes every request fail immediately while the target continues to announce
itself as serving.
"""

from __future__ import annotations

import argparse
import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from pepperstair_core.config import parse_address
from pepperstair_http import (
    ConnectionLostError,
    Exchange,
    Fetcher,
    HttpServer,
    ServerLimits,
    header_value,
)

_RENEWAL_INTERVAL_S = 2.0
_CONTROL_PREFIX = "/stand-in/"
_TEXT = ((b"content-type", b"text/plain"),)


@dataclass
class TargetStandIn:
    """The behaviour and the state of one target."""

    name: str
    service: str
    n_slots: int = 12
    n_connections_max: int = 130
    work_ms: float = 0.0
    state: str = "serving"
    status: int = 200
    address: str = ""
    runs: Counter[str] = field(default_factory=Counter)

    async def handle(self, exchange: Exchange) -> None:
        """Run one request and answer with this target's name and the request's body."""
        if exchange.request.path.startswith(_CONTROL_PREFIX):
            await self._handle_control(exchange)
            return
        request_id = header_value(exchange.request.headers, b"x-request-id")
        self.runs[request_id.decode()] += 1
        parts = [f"{self.name} ran {exchange.request.path}\n".encode()]
        while part := await exchange.body.read():
            parts.append(part)
        work_ms = header_value(exchange.request.headers, b"x-work-ms")
        delay_ms = float(work_ms) if work_ms else self.work_ms
        if delay_ms and self.status == 200:
            await asyncio.sleep(delay_ms / 1000)
        await exchange.respond(self.status, _TEXT, b"".join(parts))

    async def _handle_control(self, exchange: Exchange) -> None:
        body = await exchange.body.read_all(1024) or b""
        if exchange.request.path.endswith("/state"):
            self.state = body.decode()
        elif exchange.request.path.endswith("/work-ms"):
            self.work_ms = float(body)
        elif exchange.request.path.endswith("/status"):
            self.status = int(body)
        content = json.dumps({"state": self.state, "runs": self.runs})
        await exchange.respond(200, _TEXT, content.encode())

    def announcement(self) -> dict[str, Any]:
        """Return the announcement of the target."""
        return {
            "address": self.address,
            "labels": {"app": self.service},
            "n_slots": self.n_slots,
            "n_connections_max": self.n_connections_max,
            "state": self.state,
        }


async def announce_forever(stand_in: TargetStandIn, daemon: str) -> None:
    """Renew the announcement periodically, and at once when the state has changed."""
    fetcher = Fetcher(*parse_address(daemon), 1000)
    while True:
        body = json.dumps(stand_in.announcement()).encode()
        announced_state = stand_in.state
        try:
            await fetcher.fetch("PUT", f"/v1/targets/{stand_in.name}", body)
            remaining_s = _RENEWAL_INTERVAL_S
        except (OSError, TimeoutError, ConnectionLostError):
            remaining_s = 0.1
        while remaining_s > 0 and stand_in.state == announced_state:
            await asyncio.sleep(0.05)
            remaining_s -= 0.05


async def serve(stand_in: TargetStandIn, port: int, daemon: str) -> None:
    """Serve and announce until cancelled."""
    server = HttpServer(stand_in.handle, ServerLimits(n_connections_max=5000))
    bound_port = await server.listen("127.0.0.1", port)
    stand_in.address = f"127.0.0.1:{bound_port}"
    print(f"{stand_in.name} on {stand_in.address}", flush=True)
    await announce_forever(stand_in, daemon)


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--daemon", required=True, help="operators' address")
    parser.add_argument("--service", required=True)
    parser.add_argument("--name", default="")
    parser.add_argument("--n-slots", type=int, default=12)
    parser.add_argument("--work-ms", type=float, default=0.0)
    arguments = parser.parse_args()
    stand_in = TargetStandIn(
        arguments.name or f"{arguments.service}-{arguments.port}",
        arguments.service,
        arguments.n_slots,
        work_ms=arguments.work_ms,
    )
    asyncio.run(serve(stand_in, arguments.port, arguments.daemon))


if __name__ == "__main__":
    main()
