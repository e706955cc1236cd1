"""`make bench-http`: measure the cost of an HTTP exchange and the share of h11.

Client and server run in one process, so the processor time includes both sides. Rounds
of the variants are interleaved, and the fastest round of each variant is shown, as
other load on the machine can only slow a round down.
"""

from __future__ import annotations

import argparse
import asyncio
import resource
import time
from collections.abc import Callable
from dataclasses import dataclass

import h11

from pepperstair_http import (
    ClientConnection,
    Exchange,
    HttpServer,
    ServerConnection,
    ServerLimits,
)

from .machine import describe_machine

HEADERS = ((b"host", b"127.0.0.1"), (b"content-length", b"7"))
TEXT = ((b"content-type", b"text/plain"),)
BODY = b"20 gold"


@dataclass(frozen=True)
class Cost:
    """The average cost of one exchange in a round."""

    cpu_us: float
    n_page_faults: float


class PlainProtocol(asyncio.Protocol):
    """Wraps a connection as an asyncio.Protocol, without the shared receive buffer."""

    def __init__(self, inner: ServerConnection | ClientConnection) -> None:
        self.inner = inner
        self.connection_made = inner.connection_made
        self.connection_lost = inner.connection_lost
        self.data_received = inner.data_received
        self.eof_received = inner.eof_received
        self.pause_writing = inner.pause_writing
        self.resume_writing = inner.resume_writing


async def answer(exchange: Exchange) -> None:
    """Echo the request body."""
    body = await exchange.body.read_all(1000)
    await exchange.respond(200, TEXT, body)


async def open_pair(is_plain: bool) -> tuple[asyncio.Server, ClientConnection]:
    """Return a server and a client connected to it."""
    loop = asyncio.get_running_loop()
    http = HttpServer(answer, ServerLimits())
    wrap: Callable = PlainProtocol if is_plain else lambda inner: inner
    server = await loop.create_server(
        lambda: wrap(ServerConnection(http.state)), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    client = ClientConnection()
    await loop.create_connection(lambda: wrap(client), "127.0.0.1", port)
    return server, client


async def run_round(client: ClientConnection, n_exchanges: int) -> Cost:
    """Run sequential exchanges and return their average cost."""
    page_faults = resource.getrusage(resource.RUSAGE_SELF).ru_minflt
    started_s = time.process_time()
    for _ in range(n_exchanges):
        client.start("POST", "/ledger/award", HEADERS, BODY)
        await client.read_head()
        await client.body.read_all(1000)
    spent_s = time.process_time() - started_s
    page_faults = resource.getrusage(resource.RUSAGE_SELF).ru_minflt - page_faults
    return Cost(1e6 * spent_s / n_exchanges, page_faults / n_exchanges)


def run_h11(n_exchanges: int) -> tuple[float, float]:
    """Return the processor time of h11 per exchange, for client and server, in us."""
    client, server = h11.Connection(h11.CLIENT), h11.Connection(h11.SERVER)
    end = h11.EndOfMessage()
    client_s = server_s = 0.0
    for _ in range(n_exchanges):
        start_s = time.process_time()
        request = h11.Request(method="POST", target="/ledger/award", headers=HEADERS)
        events = (request, h11.Data(data=BODY), end)
        sent = b"".join([client.send(event) for event in events])
        sent_s = time.process_time()
        server.receive_data(sent)
        while not isinstance(server.next_event(), h11.EndOfMessage):
            pass
        headers = (*TEXT, (b"content-length", b"7"))
        response = h11.Response(status_code=200, headers=headers)
        events = (response, h11.Data(data=BODY), end)
        sent = b"".join([server.send(event) for event in events])
        server.start_next_cycle()
        answered_s = time.process_time()
        client.receive_data(sent)
        while not isinstance(client.next_event(), h11.EndOfMessage):
            pass
        client.start_next_cycle()
        server_s += answered_s - sent_s
        client_s += sent_s - start_s + time.process_time() - answered_s
    return 1e6 * client_s / n_exchanges, 1e6 * server_s / n_exchanges


async def measure(n_rounds: int, n_exchanges: int) -> None:
    """Measure every variant in turn and print the table."""
    plain_server, plain = await open_pair(is_plain=True)
    server, buffered = await open_pair(is_plain=False)
    costs: dict[str, list[Cost]] = {"plain": [], "shared": []}
    h11_costs_us = []
    for _ in range(n_rounds):
        costs["plain"].append(await run_round(plain, n_exchanges))
        costs["shared"].append(await run_round(buffered, n_exchanges))
        h11_costs_us.append(run_h11(n_exchanges))
    names = {"plain": "plain asyncio.Protocol", "shared": "shared receive buffer"}
    print("variant                       cpu us/exchange     page faults/exchange")
    for key, rounds in costs.items():
        best = min(rounds, key=lambda cost: cost.cpu_us)
        page_faults = max(cost.n_page_faults for cost in rounds)
        print(f"{names[key]:25}  {best.cpu_us:18.1f}  {page_faults:23.2f}")
    client_us = min(cost_us[0] for cost_us in h11_costs_us)
    server_us = min(cost_us[1] for cost_us in h11_costs_us)
    print(f"{'h11 alone, client side':25}  {client_us:18.1f}")
    print(f"{'h11 alone, server side':25}  {server_us:18.1f}")
    plain.close()
    buffered.close()
    plain_server.close()
    server.close()


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--exchanges", type=int, default=1000, help="in each round")
    arguments = parser.parse_args()
    print(f"make bench-http: {arguments.rounds} rounds of ", end="")
    print(f"{arguments.exchanges} exchanges; {describe_machine()}")
    asyncio.run(measure(arguments.rounds, arguments.exchanges))


if __name__ == "__main__":
    main()
