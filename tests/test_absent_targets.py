"""Targets that the daemon at their address does not know."""

from __future__ import annotations

from msgspec.structs import replace

from pepperstair_core.calls import AbsentTargets
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
    assert absent.add(KEY, MEMBER)
    assert not absent.add(KEY, MEMBER)
    suspected = replace(MEMBER, state=MemberState.SUSPECT)
    assert absent.excluded(lambda vm: suspected) == {KEY}
    assert absent.excluded(lambda vm: MEMBER) == {KEY}
    announced = replace(MEMBER, sequence=2)
    assert absent.excluded(lambda vm: announced) == frozenset()


def test_restarted_daemon_or_lost_member_ends_the_absence():
    absent = AbsentTargets()
    absent.add(KEY, MEMBER)
    restarted = replace(MEMBER, incarnation=6, sequence=0)
    assert absent.excluded(lambda vm: restarted) == frozenset()
    absent.add(KEY, MEMBER)
    assert absent.excluded(lambda vm: None) == frozenset()


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
