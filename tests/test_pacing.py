"""Tests of pacing: small answers overtake large ones on a slow link."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from random import Random

from pepperstair_core.calls import LinkPacer, Load, TargetChooser, n_calls_of_backlog
from pepperstair_core.wire import AnswerHead, BodyEnd, BodyPart
from pepperstair_http import WriteGate
from pepperstair_peers.data.sending import CreditGate, send_data
from tests.call_load import endpoint

LINK_MBPS = 2.5
LINK_BYTES_PER_MS = 125 * LINK_MBPS
PART_MAX_BYTES = 65_536
DOWNLOAD_BYTES = 90_000


class Link:
    """A link that carries bytes in the order of their writes, at a fixed rate."""

    def __init__(self) -> None:
        self.free_ms = 0.0

    def write(self, n_bytes: int, now_ms: float) -> float:
        """Return when the last byte has been sent."""
        self.free_ms = max(self.free_ms, now_ms) + n_bytes / LINK_BYTES_PER_MS
        return self.free_ms


def iter_downloads(pacer: LinkPacer, n_downloads: int) -> Iterator[tuple[float, int]]:
    """Yield the time at which each part of some downloads is written, and its size."""
    for _ in range(-(-DOWNLOAD_BYTES // pacer.part_bytes)):
        for _ in range(n_downloads):
            yield pacer.delay_ms(pacer.part_bytes, 0.0), pacer.part_bytes


def small_answers_wait_ms(pacer: LinkPacer) -> tuple[float, float]:
    """Return the longest wait of small answers, and the end of two downloads."""
    events = [(at_ms, n_bytes, False) for at_ms, n_bytes in iter_downloads(pacer, 2)]
    events += [(float(at_ms), 400, True) for at_ms in range(5, 500, 20)]
    link = Link()
    longest_wait_ms = end_ms = 0.0
    for at_ms, n_bytes, is_small in sorted(events):
        sent_ms = link.write(n_bytes, at_ms)
        if is_small:
            longest_wait_ms = max(longest_wait_ms, sent_ms - at_ms)
        else:
            end_ms = sent_ms
    return longest_wait_ms, end_ms


def test_small_answers_overtake_large_ones_on_a_slow_link():
    """A VM sends two map packs on a link of 2.5 Mbit/s while it answers look-ups.

    Written at once, the packs occupy the link for half a second and delay each look-up
    answered meanwhile by that time; the calls that wait for it hold slots. With pacing,
    look-ups wait for one or two parts, and the packs arrive a fifth later.
    """
    unpaced_ms, unpaced_end_ms = small_answers_wait_ms(LinkPacer(0.0, PART_MAX_BYTES))
    paced_ms, paced_end_ms = small_answers_wait_ms(LinkPacer(LINK_MBPS, PART_MAX_BYTES))
    assert unpaced_ms > 500
    assert paced_ms < 70
    assert paced_end_ms < 1.3 * unpaced_end_ms


def test_fast_link_is_not_paced():
    pacer = LinkPacer(1000.0, PART_MAX_BYTES)
    assert pacer.part_bytes == PART_MAX_BYTES
    assert pacer.may_send_in_one_write(4 * PART_MAX_BYTES)
    assert not LinkPacer(LINK_MBPS, PART_MAX_BYTES).may_send_in_one_write(
        DOWNLOAD_BYTES
    )
    assert [pacer.delay_ms(PART_MAX_BYTES, 0.0) for _ in range(3)] == [0, 0, 0]


def test_pacing_does_not_carry_over_idle_time():
    pacer = LinkPacer(LINK_MBPS, PART_MAX_BYTES)
    pacer.delay_ms(DOWNLOAD_BYTES, 0.0)
    assert pacer.delay_ms(1000, 100.0) > 200
    assert pacer.delay_ms(1000, 10_000.0) == 0


class RecordingStream:
    """A stream that records the frames sent on it, with their times."""

    def __init__(self) -> None:
        self.gate = WriteGate()
        self.sent: list[tuple[float, object]] = []

    def send(self, *frames) -> None:
        now_s = asyncio.get_running_loop().time()
        self.sent.extend((now_s, frame) for frame in frames)


def test_body_is_sent_in_parts_at_the_rate_of_the_link():
    """The answer of another call becomes ready while a download is sent."""

    async def scenario():
        stream, pacer = RecordingStream(), LinkPacer(LINK_MBPS, PART_MAX_BYTES)
        sending = asyncio.create_task(
            send_data(stream, 1, bytes(30_000), CreditGate(), pacer)
        )
        await asyncio.sleep(0.01)
        stream.send(AnswerHead(2, 200, (), 0, 0), BodyEnd(2))
        await sending
        return stream.sent

    sent = asyncio.run(scenario())
    kinds = [type(frame) for _, frame in sent]
    assert kinds[:4] == [BodyPart, AnswerHead, BodyEnd, BodyPart]
    assert kinds.count(BodyPart) == 4
    assert sent[-1][0] - sent[0][0] > 0.09


def test_backlog_of_a_link_counts_as_load_of_its_target():
    """Guards against downloads that all go to a near target whose link is full."""
    near, far = endpoint(1, "z", 3), endpoint(2, "y", 3)
    pacer = LinkPacer(14.0, 65_536)
    for _ in range(12):
        pacer.delay_ms(pacer.part_bytes, 0.0)
    n_waiting = n_calls_of_backlog(pacer.backlog_ms(0.0), 3, 100.0)
    chooser = TargetChooser("z", Random(5))
    loads = {near.key: Load(1, n_waiting), far.key: Load(1, 0)}
    load_of = lambda item: loads[item.key]
    chosen = chooser.choose((near, far), load_of, 0.0, n_answer_bytes=90_000.0)
    assert chosen is far
    assert pacer.backlog_ms(1e6) == 0.0
    assert LinkPacer(0.0, 65_536).backlog_ms(0.0) == 0.0
