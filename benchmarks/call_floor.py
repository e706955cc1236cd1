"""`make bench-floor`: the least that a call can cost both daemons, part by part.

A call from a daemon to the one beside its target pays for two sides of HTTP in h11,
for its frames in msgpack and for waking two event loops up twice each. Each part is
measured alone, with nothing of pepperstair around it; what `make bench-path` shows
beyond their sum is the daemons' own work.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import Callable

from pepperstair_core.wire import (
    AnswerHead,
    BodyEnd,
    BodyPart,
    CallHead,
    FrameDecoder,
    encode_frame,
)

from .http_exchange import BODY, HEADERS, TEXT, run_h11
from .machine import describe_machine

# The caller's request, the call, the target's answer and the answer's frames are
# each read once.
N_WAKE_UPS = 4
_FRAME_MAX_BYTES = 262_144
_HEAD = CallHead(
    1,
    "award-1",
    "lantern",
    "ledger-1",
    "POST",
    "/ledger/award",
    HEADERS,
    "urgent",
    False,
    2000,
    True,
)


class _Echo(asyncio.Protocol):
    """Sends back what it receives, `n_left` times."""

    def __init__(self, n_left: int) -> None:
        self.n_left = n_left
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.n_left:
            self.n_left -= 1
            self.transport.write(data)
        elif not self.done.done():
            self.done.set_result(None)


async def wake_up_us(n_wake_ups: int) -> float:
    """Return the processor time of one read with its write, in microseconds.

    Both ends share one loop; each wakes up for one small message at a time.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Echo(n_wake_ups), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    _, client = await loop.create_connection(
        lambda: _Echo(n_wake_ups // 2), "127.0.0.1", port
    )
    started_s = time.process_time()
    client.transport.write(BODY)
    await client.done
    spent_s = time.process_time() - started_s
    client.transport.close()
    server.close()
    return 1e6 * spent_s / n_wake_ups


def frames_us(n_calls: int) -> float:
    """Return the processor time of a call's frames on both sides."""
    request = (_HEAD, BodyPart(1, BODY), BodyEnd(1))
    answer = (AnswerHead(1, 200, TEXT), BodyPart(1, BODY), BodyEnd(1))
    there, back = FrameDecoder(_FRAME_MAX_BYTES), FrameDecoder(_FRAME_MAX_BYTES)
    started_s = time.process_time()
    for _ in range(n_calls):
        for decoder, frames in ((there, request), (back, answer)):
            data = b"".join([encode_frame(frame) for frame in frames])
            for _ in decoder.feed(data):
                pass
    return 1e6 * (time.process_time() - started_s) / n_calls


def _best(measure: Callable[[], float], n_rounds: int) -> float:
    """Return the best of some rounds: other work only ever adds to one."""
    return min(measure() for _ in range(n_rounds))


def main() -> None:
    """Print the parts and their sum."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--calls", type=int, default=2000, help="in each round")
    arguments = parser.parse_args()
    n_rounds, n_calls = arguments.rounds, arguments.calls
    parts = {
        "h11, both sides": _best(lambda: sum(run_h11(n_calls)), n_rounds),
        "msgpack frames, both sides": _best(lambda: frames_us(n_calls), n_rounds),
        f"{N_WAKE_UPS} wake-ups with a write each": N_WAKE_UPS
        * _best(lambda: asyncio.run(wake_up_us(n_calls)), n_rounds),
    }
    print(f"make bench-floor: {n_rounds} rounds of {n_calls}; {describe_machine()}")
    for name, cost_us in (*parts.items(), ("sum", sum(parts.values()))):
        print(f"{name:30}  {cost_us:8.1f} us a call")


if __name__ == "__main__":
    main()
