"""Targets that the daemon at their address does not know."""

from __future__ import annotations

from msgspec.structs import replace

from pepperstair_core.calls.absent_targets import (
    ABSENCE_BASE_MS,
    ABSENCE_MAX_MS,
    AbsentTargets,
)
from pepperstair_core.members import Member, MemberState, Target, TargetState
from tests.call_mesh import Mesh
from tests.test_call_failures import on_loop

TARGET = Target("t", "127.0.0.1:1", (), 4, 9, TargetState.SERVING)
MEMBER = Member(
    "vm", 5, 1, MemberState.ALIVE, "z", "127.0.0.1:2", (), targets=(TARGET,)
)
KEY = ("vm", "t")


def test_absent_target_is_left_out_until_the_record_of_its_vm_changes():
    """Guards against calls to a lost VM whose address another VM has taken over."""
    absent = AbsentTargets()
    assert absent.add(KEY, MEMBER, 0.0, 1.0)
    assert not absent.add(KEY, MEMBER, 0.0, 1.0)
    suspected = replace(MEMBER, state=MemberState.SUSPECT)
    assert absent.excluded(lambda vm: suspected, 2.0) == {KEY}
    assert absent.excluded(lambda vm: MEMBER, 2.0) == {KEY}
    announced = replace(MEMBER, sequence=2)
    assert absent.excluded(lambda vm: announced, 2.0) == frozenset()


def test_restarted_daemon_or_lost_member_ends_the_absence():
    absent = AbsentTargets()
    absent.add(KEY, MEMBER, 0.0, 1.0)
    restarted = replace(MEMBER, incarnation=6, sequence=0)
    assert absent.excluded(lambda vm: restarted, 2.0) == frozenset()
    absent.add(KEY, MEMBER, 0.0, 1.0)
    assert absent.excluded(lambda vm: None, 2.0) == frozenset()


def test_absence_ends_by_time_if_the_record_never_changes():
    """Guards against a target that is left out for good after one refusal."""
    absent = AbsentTargets()
    absent.add(KEY, MEMBER, 0.0, 1.0)
    end_ms = 1.0 + ABSENCE_BASE_MS
    assert absent.next_end_ms(1.0) == end_ms
    assert absent.excluded(lambda vm: MEMBER, end_ms - 0.1) == {KEY}
    assert absent.excluded(lambda vm: MEMBER, end_ms) == frozenset()


def test_refusals_after_the_end_of_an_absence_lengthen_it_up_to_a_limit():
    """Guards against a refused call each second for an address taken over for good."""
    absent = AbsentTargets()
    now_ms, periods_ms = 0.0, []
    for _ in range(8):
        assert absent.add(KEY, MEMBER, now_ms, now_ms)
        end_ms = absent.next_end_ms(now_ms)
        assert not absent.add(KEY, MEMBER, now_ms, end_ms)
        periods_ms.append(end_ms - now_ms)
        now_ms = end_ms
    assert periods_ms[:3] == [ABSENCE_BASE_MS, 2 * ABSENCE_BASE_MS, 4 * ABSENCE_BASE_MS]
    assert max(periods_ms) == periods_ms[-1] == ABSENCE_MAX_MS


@on_loop
async def test_refusal_without_a_target_is_reported_and_is_no_attempt():
    """The route allows two targets, and two of three are absent."""
    async with Mesh(n_attempts_max=2) as mesh:
        for name in ("a", "b", "c"):
            await mesh.add(name)
        for name in ("a", "b"):
            mesh.nodes[name].registry.deregister(mesh.nodes[name].target.name)
        answers = [await mesh.call() for _ in range(12)]
        assert [answer.status for answer in answers] == [200] * 12
        assert {endpoint.vm for endpoint in mesh.absent} <= {"a", "b"}
        assert mesh.absent
