"""Requests that reach a daemon during its start."""

from __future__ import annotations

import asyncio
import socket
import time

from pepperstair_core.routing import RouteTable
from pepperstaird.early_listening import open_callers_socket

from .call_mesh import Mesh, status_and_run, wait_until
from .test_last_hop import ID


def test_request_waits_for_the_first_target_of_a_starting_daemon():
    """All daemons restart, and a caller connects before the targets are known.

    If the daemon refused the request, the caller would have to retry after a second,
    as would every caller of the fleet, although the targets are known a few hundred
    milliseconds later.
    """

    async def run() -> tuple[int, str]:
        async with Mesh() as mesh:
            mesh.is_starting = True
            call = asyncio.ensure_future(mesh.call(headers=(ID,)))
            await wait_until(lambda: mesh.proxy.n_held_at_start == 1)
            await mesh.add("t1")
            return status_and_run(await call)

    assert asyncio.run(run()) == (200, "yes")


def test_pipelined_requests_run_one_at_a_time_while_routes_are_unknown():
    """A daemon has just started without routes and receives two pipelined bookings.

    If it treated them as idempotent and ran them concurrently, the second could be lost
    with a response that closes the connection, be retried, and run twice.
    """

    async def run() -> list[int]:
        async with Mesh(is_idempotent=False) as mesh:
            target = await mesh.add("t1", slow_answer)
            known, mesh.table = mesh.table, RouteTable([])
            mesh.is_starting, mesh.is_ready = True, False
            _, writer = await asyncio.open_connection(*mesh.address)
            booking = "POST /{} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n"
            writer.write((booking.format(1) + booking.format(2)).encode())
            await wait_until(lambda: mesh.proxy.n_held_at_start > 0)
            await asyncio.sleep(0.05)
            n_held = mesh.proxy.n_held_at_start
            mesh.table, mesh.is_ready = known, True
            await wait_until(lambda: len(target.heads) > 0)
            await asyncio.sleep(0.05)
            writer.close()
            return [n_held, len(target.heads)]

    async def slow_answer(target, writer, head) -> None:
        await asyncio.sleep(1)

    assert asyncio.run(run()) == [1, 1]


def test_request_without_a_target_is_refused_before_its_timeout():
    async def run(is_starting: bool) -> tuple[tuple[int, str], float]:
        async with Mesh() as mesh:
            mesh.is_starting = is_starting
            start_s = time.monotonic()
            timeout = (b"pepperstair-timeout-ms", b"800")
            answer = await mesh.call(headers=(timeout,))
            return status_and_run(answer), time.monotonic() - start_s

    refused, lasted_s = asyncio.run(run(True))
    assert refused == (503, "no")
    assert 0.15 < lasted_s < 0.8
    refused, lasted_s = asyncio.run(run(False))
    assert refused == (503, "no")


def test_connection_made_before_the_server_starts_is_served():
    """A caller connects while the daemon is still importing its libraries.

    Without a listening socket the kernel would refuse the connection, and the caller
    has few retries.
    """

    async def run() -> bytes:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        opened = open_callers_socket(f'[callers]\naddress = "127.0.0.1:{port}"\n')
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        async with Mesh() as mesh:
            await mesh.add("t1")
            await mesh.server.listen("127.0.0.1", port, opened)
            answer = await reader.read()
        writer.close()
        return answer

    assert asyncio.run(run()).startswith(b"HTTP/1.1 200")


def test_unusable_settings_open_no_socket():
    """The regular start reports the error, with its position in the file."""
    for text in (
        "",
        "no toml [",
        "[callers]\naddress = 5\n",
        '[callers]\naddress="x"\n',
    ):
        assert open_callers_socket(text) is None
