"""Log lines that are written without blocking."""

from __future__ import annotations

import json
import os

from pepperstaird.logs import LINES_BURST, LINES_PER_S, LineWriter


def test_hanging_reader_does_not_block_and_gets_the_number_of_dropped_lines():
    """The reader of the logs hangs, and the pipe to it is full.

    A blocking write would delay every call of the VM.
    """
    read_descriptor, write_descriptor = os.pipe()
    os.set_blocking(write_descriptor, False)
    clock = [0.0]
    writer = LineWriter(write_descriptor, lambda: clock[0])
    line = json.dumps({"event": "x", "text": "y" * 1000})
    for _ in range(200):
        writer.msg(line)
    n_dropped = writer.n_dropped
    assert 0 < n_dropped < 200
    os.read(read_descriptor, 1_000_000)
    writer.msg(line)
    first, second = os.read(read_descriptor, 1_000_000).decode().splitlines()
    assert json.loads(first)["event"] == "x"
    assert json.loads(second) == {"event": "lines_dropped", "n": n_dropped}
    os.close(read_descriptor)
    os.close(write_descriptor)


def test_lines_are_limited_by_rate():
    """Every call fails for a while, and each one logs a line."""
    read_descriptor, write_descriptor = os.pipe()
    clock = [0.0]
    writer = LineWriter(write_descriptor, lambda: clock[0])
    for _ in range(LINES_BURST + 500):
        writer.msg("x")
    assert writer.n_dropped == 500
    assert os.read(read_descriptor, 1_000_000).count(b"\n") == LINES_BURST
    clock[0] = 1.0
    for _ in range(LINES_PER_S):
        writer.msg("x")
    assert writer.n_dropped == 0
    os.close(read_descriptor)
    os.close(write_descriptor)
