"""HTTP pipelining: requests sent before earlier ones are answered."""

from __future__ import annotations

import asyncio
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from pepperstair_http import (
    PRODUCT_HEADERS,
    BodyBuffer,
    Exchange,
    PipelineLimits,
    ServerLimits,
)
from pepperstair_targets import TargetOptions

from .call_mesh import Mesh, answer_ok, http_answer, wait_until
from .test_http_server import sending_client
from .test_http_server import serve as serve_with_limits

TEXT = ((b"content-type", b"text/plain"),)


class RecordingHandler:
    """A handler that records its requests and takes as long as their path states.

    Paths have the form `/<name>/<duration in ms>`. Only GET requests are repeatable.
    """

    def __init__(self) -> None:
        self.running: list[str] = []
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.running_at_start: dict[str, list[str]] = {}

    async def handle(self, exchange: Exchange) -> None:
        """Wait, then answer with the name and the length of the body."""
        _, name, duration_ms = exchange.request.path.split("/")
        self.started.append(name)
        self.running_at_start[name] = list(self.running)
        self.running.append(name)
        try:
            body = await exchange.body.read_all(10_000_000) or b""
            await asyncio.sleep(int(duration_ms) / 1000)
            answer = BodyBuffer.of(f"<{name}:{len(body)}>".encode())
            headers = ((b"transfer-encoding", b"chunked"),)
            self.running.remove(name)
            await exchange.stream(200, headers, answer)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise


def serve(client, handler, limits: ServerLimits | None = None, servers=None):
    """Run a client against a server with the limits of a daemon."""
    return serve_with_limits(client, handler, limits or ServerLimits(), servers)


def request(name: str, duration_ms: int = 0, body: bytes = b"", *, last=False) -> bytes:
    """Return the bytes of a request, which is a POST if it has a body."""
    method = "POST" if body else "GET"
    close = "connection: close\r\n" if last else ""
    head = f"{method} /{name}/{duration_ms} HTTP/1.1\r\nhost: x\r\n{close}"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


def answered_names(answer: bytes) -> list[str]:
    """Return the names of the answered requests in the order of their answers."""
    return [part.split(b":")[0].decode() for part in answer.split(b"<")[1:]]


def test_repeatable_requests_run_concurrently_and_are_answered_in_order():
    """A client pipelines five look-ups.

    Run one after the other, the fifth would wait for the four before it.
    """
    recorder = RecordingHandler()
    sent = b"".join(request(f"r{i}", 200 - 40 * i) for i in range(4))
    answer = serve(sending_client(sent + request("r4", last=True)), recorder.handle)
    assert answered_names(answer) == ["r0", "r1", "r2", "r3", "r4"]
    assert recorder.running_at_start["r4"] == ["r0", "r1", "r2", "r3"]


def test_non_repeatable_request_runs_alone_and_in_order():
    """Look-ups are pipelined with a registration between them.

    If the registration began early and the connection closed before its answer, it
    would be sent again: a client would get two case numbers. A later look-up must see
    what it changed.
    """
    recorder = RecordingHandler()
    sent = request("a", 60) + request("b", 20) + request("book", 30, b"x" * 10)
    answer = serve(
        sending_client(sent + request("c", 0) + request("d", last=True)),
        recorder.handle,
    )
    assert answered_names(answer) == ["a", "b", "book", "c", "d"]
    assert recorder.running_at_start["book"] == []
    assert "book" not in recorder.running_at_start["c"] + recorder.running_at_start["d"]
    assert recorder.running_at_start["b"] == ["a"]


def test_large_answer_behind_a_slow_one_is_complete():
    async def handle(exchange: Exchange) -> None:
        if exchange.request.path == "/slow":
            await asyncio.sleep(0.1)
            await exchange.respond(200, TEXT, b"slow")
            return
        body = BodyBuffer.of(bytes(3_000_000))
        await exchange.stream(200, ((b"content-length", b"3000000"),), body)

    sent = b"GET /slow HTTP/1.1\r\nhost: x\r\n\r\n"
    sent += b"GET /big HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    answer = serve(sending_client(sent), handle)
    first, _, rest = answer.partition(b"slow")
    assert first.startswith(b"HTTP/1.1 200") and b"content-length: 4" in first
    assert rest.partition(b"\r\n\r\n")[2] == bytes(3_000_000)


def test_draining_server_answers_started_requests_and_starts_no_others():
    """A daemon is stopped while look-ups and a registration wait on a connection.

    The client assumes that requests after the answer with `connection: close` were not
    processed and sends them again. Therefore none of them may run, and no earlier
    answer may be lost.
    """
    recorder, servers = RecordingHandler(), []

    async def client(reader, writer) -> bytes:
        writer.write(request("a", 100) + request("b", 150))
        await wait_until(lambda: len(recorder.started) == 2)
        writer.write(request("book", 0, b"x") + request("c"))
        await asyncio.sleep(0.02)
        servers[0].drain()
        writer.write(request("d"))
        return await reader.read()

    answer = serve(client, recorder.handle, servers=servers)
    assert answered_names(answer) == ["a", "b"] == recorder.started
    assert answer.count(b"connection: close") == 1
    assert answer.index(b"connection: close") > answer.index(b"<a")


def test_requests_after_a_connection_close_never_run():
    recorder = RecordingHandler()
    sent = request("a", 30) + request("b", last=True) + request("book", 0, b"x")
    answer = serve(sending_client(sent), recorder.handle)
    assert answered_names(answer) == ["a", "b"] == recorder.started


def test_disconnect_cancels_all_requests_of_the_client():
    """A client disconnects before its requests are answered.

    If they continued, each would occupy a slot of a target although its client is gone.
    """
    recorder = RecordingHandler()

    async def client(reader, writer) -> None:
        writer.write(b"".join(request(f"r{i}", 5_000) for i in range(3)))
        await wait_until(lambda: len(recorder.started) == 3)
        writer.close()
        await wait_until(lambda: len(recorder.cancelled) == 3)

    serve(client, recorder.handle)


def test_requests_before_malformed_bytes_are_answered():
    """A client's fourth request is malformed.

    The three before it are valid, and an immediate close would lose their answers.
    """
    recorder = RecordingHandler()
    good = request("a", 50) + request("b", 0) + request("c", 20)
    answer = serve(sending_client(good + b"no request\r\n\r\n"), recorder.handle)
    assert answered_names(answer) == ["a", "b", "c"]
    tail = answer[answer.index(b"<c") :]
    assert b"HTTP/1.1 400" in tail and b"pepperstair-run: no" in tail


def test_ambiguous_length_is_refused_after_the_answer_to_an_earlier_request():
    """Two lengths for one body allow a request to be smuggled past a proxy."""
    recorder = RecordingHandler()
    bad = b"POST /x/0 HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n"
    bad += b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n" + request("inner")
    answer = serve(sending_client(request("a", 30) + bad), recorder.handle)
    assert answered_names(answer) == ["a"] == recorder.started
    assert answer.count(b"HTTP/1.1 400") == 1


@pytest.mark.parametrize("n_max", [1, 3])
def test_concurrent_requests_are_limited_and_all_are_answered(n_max):
    """A client keeps sending requests and hardly waits for answers.

    Without a limit, they would exhaust the memory of the daemon and the slots of all
    targets.
    """
    recorder = RecordingHandler()
    limits = ServerLimits(pipelining=PipelineLimits(n_requests_max=n_max))
    sent = b"".join(request(f"r{i}", 10) for i in range(9)) + request("l", last=True)
    answer = serve(sending_client(sent), recorder.handle, limits)
    assert answered_names(answer) == [f"r{i}" for i in range(9)] + ["l"]
    assert max(len(names) for names in recorder.running_at_start.values()) < n_max


def test_reading_pauses_at_the_byte_limit_and_resumes():
    recorder = RecordingHandler()
    limits = ServerLimits(pipelining=PipelineLimits(2, 2_000, 1_000_000))
    n_requests = 4_000

    async def client(reader, writer) -> int:
        writer.transport.set_write_buffer_limits(high=100_000_000)
        writer.write(b"".join(request(f"r{i}", 1) for i in range(n_requests)))
        writer.write(request("l", last=True))
        answer = await reader.read()
        return len(answered_names(answer))

    assert serve(client, recorder.handle, limits) == n_requests + 1


def test_waiting_answers_are_limited():
    """Large answers arrive while an earlier look-up hangs.

    Without a limit, each connection could hold sixteen of them.
    """
    started = []

    async def handle(exchange: Exchange) -> None:
        started.append(exchange.request.path)
        if exchange.request.path == "/slow":
            await asyncio.sleep(0.15)
            await exchange.respond(200, TEXT, b"slow")
            return
        body = BodyBuffer.of(bytes(50_000))
        await exchange.stream(200, ((b"content-length", b"50000"),), body)

    async def client(reader, writer) -> tuple[int, bytes]:
        writer.write(b"GET /slow HTTP/1.1\r\nhost: x\r\n\r\n")
        for index in range(6):
            writer.write(f"GET /{index} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
            await asyncio.sleep(0.01)
        n_before = len(started)
        writer.write(b"GET /end HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        return n_before, await reader.read()

    limits = ServerLimits(pipelining=PipelineLimits(16, 65_536, 120_000))
    n_before, answer = serve(client, handle, limits)
    assert n_before == 4
    assert answer.count(b"HTTP/1.1 200") == 8


def test_client_that_pipelines_and_never_reads_is_disconnected():
    """A client pipelines many requests and never reads the answers."""
    limits = ServerLimits(idle_timeout_ms=200)

    async def send_large(exchange: Exchange) -> None:
        body = BodyBuffer.of(bytes(20_000_000))
        await exchange.stream(200, ((b"content-length", b"20000000"),), body)

    async def client(reader, writer) -> None:
        writer.transport.pause_reading()
        writer.write(request("a") * 5)
        await asyncio.sleep(0.6)
        writer.transport.resume_reading()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(100_000_000)

    serve(client, send_large, limits)


REQUESTS = st.lists(
    st.tuples(
        st.sampled_from([0, 3, 9, 17]),
        st.one_of(st.just(0), st.integers(1, 40), st.just(70_000)),
    ),
    min_size=1,
    max_size=9,
)


@settings(max_examples=40, deadline=None)
@given(REQUESTS, st.lists(st.integers(1, 400), max_size=8))
def test_pipelined_answers_equal_those_of_single_requests(drawn, packet_sizes):
    """Pipelines any sequence of requests, split into packets anywhere.

    The answers are the same bytes as those to the same requests sent one by one.
    """
    last = len(drawn) - 1
    sent = [
        request(f"r{i}", duration_ms, b"x" * n_bytes, last=i == last)
        for i, (duration_ms, n_bytes) in enumerate(drawn)
    ]

    async def one_at_a_time(reader, writer) -> bytes:
        parts = []
        for data in sent:
            writer.write(data)
            parts.append(await reader.readuntil(b"\r\n0\r\n\r\n"))
        return b"".join(parts)

    async def pipelined(reader, writer) -> bytes:
        data = b"".join(sent)
        for n_bytes in packet_sizes:
            writer.write(data[:n_bytes])
            data = data[n_bytes:]
            await asyncio.sleep(0)
        writer.write(data)
        return await reader.read()

    recorder = RecordingHandler()
    assert serve(pipelined, recorder.handle) == serve(
        one_at_a_time, RecordingHandler().handle
    )
    assert recorder.started == [f"r{i}" for i in range(len(drawn))]
    for index, (_, n_bytes) in enumerate(drawn):
        if n_bytes:
            assert recorder.running_at_start[f"r{index}"] == []


def mesh_requests(n_requests: int, path: str = "/x") -> bytes:
    """Return the bytes of `n_requests` requests for the route of a mesh."""
    return f"GET {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode() * n_requests


def test_disconnect_cancels_all_requests_of_the_client_at_the_targets():
    """A client pipelines three look-ups and disconnects.

    Targets would otherwise work on them although the client is gone.
    """

    async def hang(target, writer, head) -> None:
        await asyncio.sleep(30)

    async def run() -> None:
        async with Mesh(is_idempotent=True) as mesh:
            targets = [await mesh.add("t1", hang), await mesh.add("t2", hang)]
            reader, writer = await asyncio.open_connection(*mesh.address)
            writer.write(mesh_requests(3))
            await wait_until(lambda: sum(len(t.heads) for t in targets) == 3)
            writer.close()
            await wait_until(lambda: sum(t.n_closed for t in targets) == 3)

    asyncio.run(run())


def test_waiting_answer_frees_its_slot():
    """A fast look-up is pipelined behind a slow one of the same client.

    Its answer has to wait, but must not hold the slot of its target: other clients
    would be refused by an idle target.
    """

    async def slow_first(target, writer, head) -> None:
        if b"/slow" in head:
            await asyncio.sleep(0.5)
        await answer_ok(target, writer, head)

    async def run() -> float:
        async with Mesh(is_idempotent=True) as mesh:
            target = await mesh.add("t1", slow_first, n_slots=2)
            _, writer = await asyncio.open_connection(*mesh.address)
            writer.write(mesh_requests(1, "/slow") + mesh_requests(1))
            await wait_until(lambda: len(target.heads) == 2)
            await asyncio.sleep(0.05)
            start_s = time.monotonic()
            await mesh.call("GET")
            await wait_until(lambda: mesh.nodes["t1"].runner.n_in_flight == 1)
            writer.close()
            return time.monotonic() - start_s

    assert asyncio.run(run()) < 0.4


def test_time_queued_behind_another_request_counts_towards_the_timeout():
    """A look-up is pipelined behind a booking that takes a third of its timeout.

    If the timeout started anew after the wait, a target would work on the look-up after
    its caller has given up.
    """

    async def slow_booking(target, writer, head) -> None:
        await asyncio.sleep(0.3 if head.startswith(b"POST") else 0.0)
        await answer_ok(target, writer, head)

    async def run() -> int:
        options = TargetOptions(replace(PRODUCT_HEADERS, timeout_ms=b"x-timeout"))
        async with Mesh(options=options) as mesh:
            target = await mesh.add("t1", slow_booking)
            reader, writer = await asyncio.open_connection(*mesh.address)
            writer.write(b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n")
            writer.write(b"GET /x HTTP/1.1\r\nhost: x\r\nx-timeout: 900\r\n\r\n")
            await wait_until(lambda: len(target.heads) == 2)
            writer.close()
            timeout_text = target.heads[1].lower().partition(b"x-timeout: ")[2]
            return int(timeout_text.split(b"\r\n")[0])

    assert asyncio.run(run()) < 700


def test_pipelined_non_idempotent_requests_each_run_once_in_order():
    async def run() -> None:
        async with Mesh(is_idempotent=False) as mesh:
            target = await mesh.add("t1", lambda t, w, h: answer_in_turn(t, w, h))
            reader, writer = await asyncio.open_connection(*mesh.address)
            for index in range(4):
                head = f"POST /{index} HTTP/1.1\r\nhost: x\r\ncontent-length: 1"
                writer.write(f"{head}\r\n\r\nx".encode())
            for index in range(4):
                answer = await reader.readuntil(b"!")
                assert f"/{index}!".encode() in answer
            assert len(target.heads) == 4
            writer.close()

    async def answer_in_turn(target, writer, head) -> None:
        await asyncio.sleep(0.01)
        writer.write(http_answer(head.split()[1] + b"!"))

    asyncio.run(run())
