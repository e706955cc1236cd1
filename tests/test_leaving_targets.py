"""Targets that have stated in an answer that they are leaving."""

from __future__ import annotations

from msgspec.structs import replace

from pepperstair_core.calls.leaving_targets import (
    N_REMEMBERED_MAX,
    REMEMBERED_MS,
    LeavingTargets,
)
from pepperstair_core.members import Member, MemberState

KEY = ("vm-1", "ledger-1")
MEMBER = Member("vm-1", 5, 2, MemberState.ALIVE, "z", "127.0.0.1:1", ())


def excluded(leaving: LeavingTargets, member: Member | None, now_ms: float = 0):
    """Return the excluded targets if `member` is the newest record of its VM."""
    return leaving.excluded(lambda vm: member, now_ms)


def test_leaving_target_is_excluded_at_once():
    leaving = LeavingTargets()
    assert leaving.add(KEY, MEMBER, 0)
    assert not leaving.add(KEY, MEMBER, 1)
    assert excluded(leaving, MEMBER) == {KEY}


def test_leaving_target_stays_excluded_when_its_daemon_has_restarted():
    """Guards against a restarted daemon that announces the target again."""
    leaving = LeavingTargets()
    leaving.add(KEY, MEMBER, 0)
    restarted = replace(MEMBER, incarnation=9, sequence=1)
    assert excluded(leaving, restarted) == {KEY}
    # An answer through the restarted daemon states it again.
    assert not leaving.add(KEY, restarted, 1)
    assert excluded(leaving, replace(restarted, sequence=7)) == {KEY}


def test_target_that_starts_again_is_not_excluded():
    """Guards against a target that never gets calls again under its name."""
    leaving = LeavingTargets()
    leaving.add(KEY, MEMBER, 0)
    announced_again = replace(MEMBER, sequence=4)
    assert excluded(leaving, announced_again) == frozenset()
    assert leaving.add(KEY, announced_again, 1)
    assert excluded(leaving, announced_again) == {KEY}


def test_leaving_target_is_forgotten_after_a_while():
    leaving = LeavingTargets()
    leaving.add(KEY, MEMBER, 0)
    assert excluded(leaving, MEMBER, REMEMBERED_MS - 1) == {KEY}
    assert excluded(leaving, MEMBER, REMEMBERED_MS) == frozenset()


def test_number_of_remembered_targets_is_bounded():
    leaving = LeavingTargets()
    for index in range(N_REMEMBERED_MAX + 5):
        leaving.add(("vm-1", str(index)), MEMBER, 0)
    assert len(excluded(leaving, MEMBER)) == N_REMEMBERED_MAX
