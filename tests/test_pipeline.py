"""Requests that a client sends before earlier ones are answered."""

from __future__ import annotations

import asyncio
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from pepperstair_http import (
    PRODUCT_HEADERS,
    AheadLimits,
    BodyBuffer,
    Exchange,
    ServerLimits,
)
from pepperstair_targets import TargetOptions

from .call_mesh import Mesh, answer_ok, http_answer, wait_until
from .test_http_server import sending
from .test_http_server import serve as serve_within

TEXT = ((b"content-type", b"text/plain"),)


class Recorder:
    """A handler whose requests last as long as their path says, in ms.

    Paths read `/<name>/<ms>`; whatever is not a GET must not be repeated.
    """

    def __init__(self) -> None:
        self.running: list[str] = []
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.seen_beside: dict[str, list[str]] = {}

    async def handle(self, exchange: Exchange) -> None:
        """Wait and answer with the name and the body."""
        _, name, lasts_ms = exchange.request.path.split("/")
        self.started.append(name)
        self.seen_beside[name] = list(self.running)
        self.running.append(name)
        try:
            body = await exchange.body.read_all(10_000_000) or b""
            await asyncio.sleep(int(lasts_ms) / 1000)
            answer = BodyBuffer.of(f"<{name}:{len(body)}>".encode())
            headers = ((b"transfer-encoding", b"chunked"),)
            self.running.remove(name)
            await exchange.stream(200, headers, answer)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise


def serve(client, handler, limits: ServerLimits | None = None, servers=None):
    """Run a client against a server that takes what a daemon takes."""
    return serve_within(client, handler, limits or ServerLimits(), servers)


def request(name: str, lasts_ms: int = 0, body: bytes = b"", *, last=False) -> bytes:
    """Return the bytes of a request; one with a body is a POST."""
    method = "POST" if body else "GET"
    close = "connection: close\r\n" if last else ""
    head = f"{method} /{name}/{lasts_ms} HTTP/1.1\r\nhost: x\r\n{close}"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


def names_in(answer: bytes) -> list[str]:
    """Return the names of the answers in the order that they came in."""
    return [part.split(b":")[0].decode() for part in answer.split(b"<")[1:]]


def test_repeatable_requests_run_side_by_side_and_are_answered_in_order():
    """A paralegal's client sends five look-ups in one go.

    Carried one after the other, the fifth waits for the four before it.
    """
    recorder = Recorder()
    sent = b"".join(request(f"r{i}", 200 - 40 * i) for i in range(4))
    answer = serve(sending(sent + request("r4", last=True)), recorder.handle)
    assert names_in(answer) == ["r0", "r1", "r2", "r3", "r4"]
    assert recorder.seen_beside["r4"] == ["r0", "r1", "r2", "r3"]


def test_request_that_must_not_repeat_runs_alone_and_in_its_place():
    """Look-ups are sent with a registration between them.

    Begun early, the registration could be lost with a connection that closes before
    its answer, and be sent again: a client would get two case numbers. A look-up
    behind it must see what it changed.
    """
    recorder = Recorder()
    sent = request("a", 60) + request("b", 20) + request("book", 30, b"x" * 10)
    answer = serve(
        sending(sent + request("c", 0) + request("d", last=True)), recorder.handle
    )
    assert names_in(answer) == ["a", "b", "book", "c", "d"]
    assert recorder.seen_beside["book"] == []
    assert "book" not in recorder.seen_beside["c"] + recorder.seen_beside["d"]
    assert recorder.seen_beside["b"] == ["a"]


def test_large_answer_waits_whole_behind_a_slow_one():
    async def handle(exchange: Exchange) -> None:
        if exchange.request.path == "/slow":
            await asyncio.sleep(0.1)
            await exchange.respond(200, TEXT, b"slow")
            return
        body = BodyBuffer.of(bytes(3_000_000))
        await exchange.stream(200, ((b"content-length", b"3000000"),), body)

    sent = b"GET /slow HTTP/1.1\r\nhost: x\r\n\r\n"
    sent += b"GET /big HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    answer = serve(sending(sent), handle)
    first, _, rest = answer.partition(b"slow")
    assert first.startswith(b"HTTP/1.1 200") and b"content-length: 4" in first
    assert rest.partition(b"\r\n\r\n")[2] == bytes(3_000_000)


def test_stop_answers_what_has_begun_and_runs_nothing_else():
    """A daemon is stopped while look-ups and a registration wait on a connection.

    The client takes all that stands behind the closing answer for unread and sends
    it again, so that nothing behind it may run, and nothing before it be lost.
    """
    recorder, servers = Recorder(), []

    async def client(reader, writer) -> bytes:
        writer.write(request("a", 100) + request("b", 150))
        await wait_until(lambda: len(recorder.started) == 2)
        writer.write(request("book", 0, b"x") + request("c"))
        await asyncio.sleep(0.02)
        servers[0].drain()
        writer.write(request("d"))
        return await reader.read()

    answer = serve(client, recorder.handle, servers=servers)
    assert names_in(answer) == ["a", "b"] == recorder.started
    assert answer.count(b"connection: close") == 1
    assert answer.index(b"connection: close") > answer.index(b"<a")


def test_requests_sent_ahead_of_a_closing_answer_never_run():
    recorder = Recorder()
    sent = request("a", 30) + request("b", last=True) + request("book", 0, b"x")
    answer = serve(sending(sent), recorder.handle)
    assert names_in(answer) == ["a", "b"] == recorder.started


def test_client_that_leaves_cancels_all_its_requests():
    """A widow leaves before her file is found, and her client closes.

    Each of its requests would otherwise go on and take slots of targets for nobody.
    """
    recorder = Recorder()

    async def client(reader, writer) -> None:
        writer.write(b"".join(request(f"r{i}", 5_000) for i in range(3)))
        await wait_until(lambda: len(recorder.started) == 3)
        writer.close()
        await wait_until(lambda: len(recorder.cancelled) == 3)

    serve(client, recorder.handle)


def test_malformed_bytes_behind_good_requests_cost_only_themselves():
    """A client's fourth request is broken.

    The three before it are sound, and closing at once would lose their answers.
    """
    recorder = Recorder()
    good = request("a", 50) + request("b", 0) + request("c", 20)
    answer = serve(sending(good + b"no request\r\n\r\n"), recorder.handle)
    assert names_in(answer) == ["a", "b", "c"]
    tail = answer[answer.index(b"<c") :]
    assert b"HTTP/1.1 400" in tail and b"pepperstair-run: no" in tail


def test_two_lengths_behind_a_good_request_are_refused_after_its_answer():
    """Two lengths for one body are how a request is smuggled past a proxy."""
    recorder = Recorder()
    bad = b"POST /x/0 HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n"
    bad += b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n" + request("inner")
    answer = serve(sending(request("a", 30) + bad), recorder.handle)
    assert names_in(answer) == ["a"] == recorder.started
    assert answer.count(b"HTTP/1.1 400") == 1


@pytest.mark.parametrize("n_max", [1, 3])
def test_requests_in_progress_are_bounded_and_go_on_after(n_max):
    """A client sends requests without end and hardly waits for answers.

    They would fill the memory of the daemon and the slots of all targets.
    """
    recorder = Recorder()
    limits = ServerLimits(ahead=AheadLimits(n_requests_max=n_max))
    sent = b"".join(request(f"r{i}", 10) for i in range(9)) + request("l", last=True)
    answer = serve(sending(sent), recorder.handle, limits)
    assert names_in(answer) == [f"r{i}" for i in range(9)] + ["l"]
    assert max(len(beside) for beside in recorder.seen_beside.values()) < n_max


def test_reading_stops_at_the_bytes_ahead_and_goes_on_after():
    recorder = Recorder()
    limits = ServerLimits(ahead=AheadLimits(2, 2_000, 1_000_000))
    count = 4_000

    async def client(reader, writer) -> int:
        writer.transport.set_write_buffer_limits(high=100_000_000)
        writer.write(b"".join(request(f"r{i}", 1) for i in range(count)))
        writer.write(request("l", last=True))
        answer = await reader.read()
        return len(names_in(answer))

    assert serve(client, recorder.handle, limits) == count + 1


def test_answers_that_wait_for_their_turn_are_bounded():
    """Large answers come in while an early look-up hangs.

    Without a bound each connection could hold sixteen of them.
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

    limits = ServerLimits(ahead=AheadLimits(16, 65_536, 120_000))
    n_before, answer = serve(client, handle, limits)
    assert n_before == 4
    assert answer.count(b"HTTP/1.1 200") == 8


def test_answers_held_for_a_reader_that_stops_end_with_its_connection():
    """A client sends many requests ahead and never reads."""
    limits = ServerLimits(idle_timeout_ms=200)

    async def pack(exchange: Exchange) -> None:
        body = BodyBuffer.of(bytes(20_000_000))
        await exchange.stream(200, ((b"content-length", b"20000000"),), body)

    async def client(reader, writer) -> None:
        writer.transport.pause_reading()
        writer.write(request("a") * 5)
        await asyncio.sleep(0.6)
        writer.transport.resume_reading()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(100_000_000)

    serve(client, pack, limits)


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
def test_answers_are_those_of_requests_sent_one_at_a_time(drawn, cuts):
    """Whatever is sent ahead, however it is cut into packets.

    The answers are the same bytes as those to the same requests sent one by one.
    """
    last = len(drawn) - 1
    sent = [
        request(f"r{i}", lasts_ms, b"x" * n_bytes, last=i == last)
        for i, (lasts_ms, n_bytes) in enumerate(drawn)
    ]

    async def one_at_a_time(reader, writer) -> bytes:
        parts = []
        for data in sent:
            writer.write(data)
            parts.append(await reader.readuntil(b"\r\n0\r\n\r\n"))
        return b"".join(parts)

    async def ahead(reader, writer) -> bytes:
        data = b"".join(sent)
        for n_bytes in cuts:
            writer.write(data[:n_bytes])
            data = data[n_bytes:]
            await asyncio.sleep(0)
        writer.write(data)
        return await reader.read()

    recorder = Recorder()
    assert serve(ahead, recorder.handle) == serve(one_at_a_time, Recorder().handle)
    assert recorder.started == [f"r{i}" for i in range(len(drawn))]
    for index, (_, n_bytes) in enumerate(drawn):
        if n_bytes:
            assert recorder.seen_beside[f"r{index}"] == []


def ahead_of(n_requests: int, path: str = "/x") -> bytes:
    """Return some requests for the route of a mesh."""
    return f"GET {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode() * n_requests


def test_leaving_client_ends_the_work_of_all_its_requests_at_the_targets():
    """A client sends three look-ups and closes.

    Targets would be at work on them for nobody.
    """

    async def hang(target, writer, head) -> None:
        await asyncio.sleep(30)

    async def run() -> None:
        async with Mesh(is_idempotent=True) as mesh:
            targets = [await mesh.add("t1", hang), await mesh.add("t2", hang)]
            reader, writer = await asyncio.open_connection(*mesh.address)
            writer.write(ahead_of(3))
            await wait_until(lambda: sum(len(t.heads) for t in targets) == 3)
            writer.close()
            await wait_until(lambda: sum(t.n_closed for t in targets) == 3)

    asyncio.run(run())


def test_answer_that_waits_for_its_turn_leaves_its_slot():
    """A quick look-up is answered behind a slow one of the same client.

    Its answer has to wait, but its target must not: with the slot held, other
    clients would be refused by a target that does nothing.
    """

    async def slow_first(target, writer, head) -> None:
        if b"/slow" in head:
            await asyncio.sleep(0.5)
        await answer_ok(target, writer, head)

    async def run() -> float:
        async with Mesh(is_idempotent=True) as mesh:
            target = await mesh.add("t1", slow_first, n_slots=2)
            _, writer = await asyncio.open_connection(*mesh.address)
            writer.write(ahead_of(1, "/slow") + ahead_of(1))
            await wait_until(lambda: len(target.heads) == 2)
            await asyncio.sleep(0.05)
            start_s = time.monotonic()
            await mesh.call("GET")
            await wait_until(lambda: mesh.nodes["t1"].runner.n_in_flight == 1)
            writer.close()
            return time.monotonic() - start_s

    assert asyncio.run(run()) < 0.4


def test_time_that_a_request_stood_behind_another_counts_as_waited():
    """A look-up is sent behind a booking that takes most of the look-up's time.

    Given its whole time once more, an instance would work on it for nobody.
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
            told = target.heads[1].lower().partition(b"x-timeout: ")[2]
            return int(told.split(b"\r\n")[0])

    assert asyncio.run(run()) < 700


def test_non_idempotent_requests_sent_ahead_each_run_once_in_order():
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
