"""Log lines that are never waited for."""

from __future__ import annotations

import json
import os

from pepperstaird.logs import LINES_BURST, LINES_PER_S, LineWriter


def test_reader_that_stands_still_blocks_nothing_and_is_told_what_it_missed():
    """Whatever reads the logs hangs, and the pipe to it is full.

    A write that waited for it would hold up every call of the VM.
    """
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    clock = [0.0]
    writer = LineWriter(writing, lambda: clock[0])
    line = json.dumps({"event": "x", "text": "y" * 1000})
    for _ in range(200):
        writer.msg(line)
    n_dropped = writer.n_dropped
    assert 0 < n_dropped < 200
    os.read(reading, 1_000_000)
    writer.msg(line)
    first, second = os.read(reading, 1_000_000).decode().splitlines()
    assert json.loads(first)["event"] == "x"
    assert json.loads(second) == {"event": "lines_dropped", "n": n_dropped}
    os.close(reading)
    os.close(writing)


def test_lines_are_bounded_by_rate():
    """Every call fails for a while, and each has its line."""
    reading, writing = os.pipe()
    clock = [0.0]
    writer = LineWriter(writing, lambda: clock[0])
    for _ in range(LINES_BURST + 500):
        writer.msg("x")
    assert writer.n_dropped == 500
    assert os.read(reading, 1_000_000).count(b"\n") == LINES_BURST
    clock[0] = 1.0
    for _ in range(LINES_PER_S):
        writer.msg("x")
    assert writer.n_dropped == 0
    os.close(reading)
    os.close(writing)
