"""`make bench-floor`: measure the minimum processor time of a call, by component.

A call from one daemon to the daemon on the VM of its target costs both sides of an
HTTP exchange in h11, its frames in msgpack and two wake-ups of each of the two event
loops. Each component is measured in isolation from the rest of pepperstair. The
time that `make bench-path` shows beyond the sum is spent in the daemons' own code.
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

# One read each of the caller's request, the call's frames, the target's answer and
# the answer's frames.
N_WAKE_UPS = 4
_FRAME_MAX_BYTES = 262_144
_CALL_HEAD = CallHead(
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
    """Echoes received data `n_remaining` times."""

    def __init__(self, n_remaining: int) -> None:
        self.n_remaining = n_remaining
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.n_remaining:
            self.n_remaining -= 1
            self.transport.write(data)
        elif not self.done.done():
            self.done.set_result(None)


async def measure_wake_up_us(n_wake_ups: int) -> float:
    """Return the processor time of one read and its write, in microseconds.

    Both ends share one event loop, and each wake-up handles one small message.
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


def measure_frames_us(n_calls: int) -> float:
    """Return the processor time of a call's frames on both sides, in microseconds."""
    request = (_CALL_HEAD, BodyPart(1, BODY), BodyEnd(1))
    answer = (AnswerHead(1, 200, TEXT), BodyPart(1, BODY), BodyEnd(1))
    request_decoder, answer_decoder = (
        FrameDecoder(_FRAME_MAX_BYTES),
        FrameDecoder(_FRAME_MAX_BYTES),
    )
    started_s = time.process_time()
    for _ in range(n_calls):
        for decoder, frames in ((request_decoder, request), (answer_decoder, answer)):
            data = b"".join([encode_frame(frame) for frame in frames])
            for _ in decoder.feed(data):
                pass
    return 1e6 * (time.process_time() - started_s) / n_calls


def _fastest_round_us(measure: Callable[[], float], n_rounds: int) -> float:
    """Return the fastest round, as other load on the machine can only slow one down."""
    return min(measure() for _ in range(n_rounds))


def main() -> None:
    """Print the cost of each component and the sum."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--calls", type=int, default=2000, help="in each round")
    arguments = parser.parse_args()
    n_rounds, n_calls = arguments.rounds, arguments.calls
    costs_us = {
        "h11, both sides": _fastest_round_us(lambda: sum(run_h11(n_calls)), n_rounds),
        "msgpack frames, both sides": _fastest_round_us(
            lambda: measure_frames_us(n_calls), n_rounds
        ),
        f"{N_WAKE_UPS} wake-ups with a write each": N_WAKE_UPS
        * _fastest_round_us(lambda: asyncio.run(measure_wake_up_us(n_calls)), n_rounds),
    }
    print(f"make bench-floor: {n_rounds} rounds of {n_calls}; {describe_machine()}")
    for name, cost_us in (*costs_us.items(), ("sum", sum(costs_us.values()))):
        print(f"{name:30}  {cost_us:8.1f} us per call")


if __name__ == "__main__":
    main()
