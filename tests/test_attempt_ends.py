"""What the end of an attempt says of its target."""

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
from tests.test_call_failures import never, on_loop


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
def test_failures_are_told_apart(kind, is_full_timeout, expected):
    assert classify_failure(Failure(kind), is_full_timeout) is expected


def test_answers_are_told_apart():
    assert classify_answer(200, True) is EndKind.GOOD
    assert classify_answer(404, True) is EndKind.GOOD
    assert classify_answer(200, False) is EndKind.ERROR
    assert classify_answer(500, True) is EndKind.ERROR
    assert classify_answer(503, True) is EndKind.REFUSED


def test_only_what_reached_a_target_counts_as_arrived():
    assert not may_have_reached_target(Failure(ErrorKind.OVERLOADED))
    assert not may_have_reached_target(Failure(ErrorKind.TARGET_UNREACHABLE))
    assert may_have_reached_target(Failure(ErrorKind.TARGET_REFUSED))
    assert may_have_reached_target(Failure(ErrorKind.TARGET_FAILED))


@on_loop
async def test_hanging_target_is_ejected_by_callers_that_are_a_little_less_patient():
    """A target hangs; callers state a millisecond less than the route allows.

    Taken for impatient ones, they would never get it ejected.
    """
    async with Mesh(timeout_ms=100) as mesh:
        hanging = await mesh.add("a", never)
        await mesh.add("b")
        patience = ((b"pepperstair-timeout-ms", b"95"),)
        for _ in range(30):
            await mesh.call(headers=patience)
        assert len(hanging.heads) <= 6
