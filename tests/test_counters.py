"""Counters of sent frames."""

from __future__ import annotations

from pepperstair_core.wire import Heartbeat, MembersDigest
from pepperstair_peers import FrameCounters


def test_frames_are_counted_by_type():
    counters = FrameCounters()
    counters.add(Heartbeat(1), 4)
    counters.add(Heartbeat(2), 5)
    counters.add(MembersDigest(b""), 9)
    named = dict(counters.iter_named("control"))
    assert named["n_control_sent_frames_heartbeat"] == 2
    assert named["n_control_sent_bytes_heartbeat"] == 9
    assert named["n_control_sent_bytes_members_digest"] == 9
    assert counters.n_bytes == 18
