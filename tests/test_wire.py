"""Frames between daemons."""

from __future__ import annotations

import msgpack
import pytest

from pepperstair_core.errors import ErrorKind, RunStatus
from pepperstair_core.members import Member, MemberState, Target, TargetState
from pepperstair_core.wire import (
    AnswerHead,
    BodyPart,
    CallFailed,
    CallHead,
    FrameDecoder,
    FrameError,
    Heartbeat,
    MemberUpdate,
    encode_frame,
)

TARGET = Target(
    "ledger-1", "127.0.0.1:1", (("app", "ledger"),), 12, 130, TargetState.SERVING
)
FRAMES = [
    Heartbeat(7, (("ledger-1", 3, 4),)),
    CallFailed(1, ErrorKind.OVERLOADED, RunStatus.NO, "full", 250),
    BodyPart(9, b"loot"),
    CallHead(
        2,
        "call-1",
        "lantern",
        "ledger-1",
        "GET",
        "/logs/1",
        ((b"host", b"maps"),),
        "urgent",
        True,
        800,
        False,
        "logs",
        300,
        b"f",
    ),
    MemberUpdate(
        (Member("a", 1, 2, MemberState.ALIVE, "z", "127.0.0.1:2", (), (TARGET,)),)
    ),
]


def test_frames_are_decoded_from_any_split():
    data = b"".join(encode_frame(frame) for frame in FRAMES)
    for size in (1, 7, len(data)):
        decoder = FrameDecoder(4096)
        chunks = [data[start : start + size] for start in range(0, len(data), size)]
        assert [frame for chunk in chunks for frame in decoder.feed(chunk)] == FRAMES


def test_frame_encoding_is_compatible_with_older_daemons():
    """Guards against lost streams between daemons during a rolling upgrade."""
    arrays = [msgpack.unpackb(encode_frame(frame)) for frame in FRAMES]
    target = ["ledger-1", "127.0.0.1:1", [["app", "ledger"]], 12, 130, "serving"]
    call = [2, "call-1", "lantern", "ledger-1", "GET", "/logs/1", [[b"host", b"maps"]]]
    call += ["urgent", True, 800, False, "logs", 300, b"f"]
    member = ["a", 1, 2, 0, "z", "127.0.0.1:2", [], [target], "", 0.0]
    assert arrays == [
        [3, 7, [["ledger-1", 3, 4]]],
        [45, 1, "overloaded", "no", "full", 250, 0, 0],
        [41, 9, b"loot"],
        [40, *call],
        [20, [member]],
    ]


@pytest.mark.parametrize(
    "array",
    [
        7,
        [],
        ["x"],
        [999, 1],
        [3],
        [3, "one", []],
        [3, 1, [["a", 1]]],
        [3, 1, [["a", 1, True]]],
        [46, True],
        [44, 1, 200, [[b"name"]]],
        [44, 1, 200, [[b"name", "text"]]],
        [44, 1, 200, [b"ab"]],
        [45, 1, "no kind", "no", "", 0],
        [45, 1, 7, "no", "", 0],
        [20, [["a", 1, 2, 0]]],
        [20, ["ab"]],
    ],
)
def test_malformed_frame_is_rejected(array):
    with pytest.raises(FrameError):
        list(FrameDecoder(4096).feed(msgpack.packb(array)))


def test_frame_of_exactly_the_size_limit_is_accepted():
    frame = BodyPart(1, bytes(4090))
    assert len(encode_frame(frame)) == 4096
    assert list(FrameDecoder(4096).feed(encode_frame(frame))) == [frame]


@pytest.mark.parametrize("n_bytes", [4091, 100_000])
def test_frame_over_the_size_limit_is_rejected(n_bytes):
    """A peer of another version, or an unknown client, sends one huge frame.

    Accepting it would let the daemon's memory grow without bound. The size limit ends
    the stream after at most the bytes of one frame.
    """
    data = encode_frame(BodyPart(1, bytes(n_bytes)))
    decoder = FrameDecoder(4096)
    with pytest.raises(FrameError):
        for start in range(0, len(data), 1000):
            list(decoder.feed(data[start : start + 1000]))


def test_frame_without_its_newest_fields_is_accepted():
    """Guards against closing the streams of older daemons during an upgrade."""
    response_of_older_daemon = msgpack.packb([44, 1, 200, []])
    assert list(FrameDecoder(4096).feed(response_of_older_daemon)) == [
        AnswerHead(1, 200, (), 0, 0)
    ]
    with pytest.raises(FrameError):
        list(FrameDecoder(4096).feed(msgpack.packb([44, 1, 200, [], 0, 0, 7])))
