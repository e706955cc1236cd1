"""Ports for processes under test."""

from __future__ import annotations

import contextlib

from benchmarks.ports import Ports

N_PORTS = 250


def test_test_processes_side_by_side_draw_different_ports():
    """Guards against daemons that fail to start on a port of another test process."""
    with contextlib.closing(Ports()) as one, contextlib.closing(Ports()) as other:
        drawn = [ports.take() for _ in range(N_PORTS) for ports in (one, other)]
    assert len(set(drawn)) == 2 * N_PORTS
