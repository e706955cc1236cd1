"""Tests of the kinds of end by which attempts are classified."""

from __future__ import annotations

import pytest

from pepperstair_callers.attempt_ends import (
    classify_answer,
    classify_failure,
    may_have_reached_target,
)
from pepperstair_core.calls import EndKind
from pepperstair_core.errors import ErrorKind, Failure
from tests.call_mesh import Mesh
from tests.test_call_failures import never_answer, on_loop


@pytest.mark.parametrize(
    ("kind", "is_full_timeout", "expected"),
    [
        (ErrorKind.OVERLOADED, True, EndKind.REFUSED),
        (ErrorKind.TARGET_REFUSED, True, EndKind.REFUSED),
        (ErrorKind.PEER_UNREACHABLE, False, EndKind.UNREACHABLE),
        (ErrorKind.TARGET_FAILED, False, EndKind.ERROR),
        (ErrorKind.TIMEOUT, True, EndKind.ERROR),
        (ErrorKind.TIMEOUT, False, EndKind.ABANDONED),
        (ErrorKind.CANCELLED, True, EndKind.ABANDONED),
    ],
)
def test_failures_are_classified(kind, is_full_timeout, expected):
    assert classify_failure(Failure(kind), is_full_timeout) is expected


def test_answers_are_classified():
    assert classify_answer(200, True) is EndKind.GOOD
    assert classify_answer(404, True) is EndKind.GOOD
    assert classify_answer(200, False) is EndKind.ERROR
    assert classify_answer(500, True) is EndKind.ERROR
    assert classify_answer(503, True) is EndKind.REFUSED


def test_only_delivered_calls_may_have_reached_a_target():
    assert not may_have_reached_target(Failure(ErrorKind.OVERLOADED))
    assert not may_have_reached_target(Failure(ErrorKind.TARGET_UNREACHABLE))
    assert may_have_reached_target(Failure(ErrorKind.TARGET_REFUSED))
    assert may_have_reached_target(Failure(ErrorKind.TARGET_FAILED))


@on_loop
async def test_hanging_target_is_ejected_by_callers_with_a_slightly_shorter_timeout():
    """A target hangs, and callers state a timeout just below that of the route.

    If these timeouts counted as short ones, the target would never be ejected.
    """
    async with Mesh(timeout_ms=100) as mesh:
        hanging = await mesh.add("a", never_answer)
        await mesh.add("b")
        headers = ((b"pepperstair-timeout-ms", b"95"),)
        for _ in range(30):
            await mesh.call(headers=headers)
        assert len(hanging.heads) <= 6
