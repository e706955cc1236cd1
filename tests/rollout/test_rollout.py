"""The phases of a rollout."""

from __future__ import annotations

from msgspec.structs import replace

from pepperstair_core.rollout import Phase, Portion

from .records import (
    COMPLETION_MS,
    FLEET,
    ORDER,
    PROMOTION_MS,
    counts,
    evidence,
    make_rollout,
)


def promoting():
    """Return a rollout whose promotion was agreed on."""
    rollout = make_rollout()
    rollout.merge_phase(Phase.PROMOTING)
    rollout.proposal(float(PROMOTION_MS), FLEET)
    return rollout


def add_bad_evidence(rollout):
    """Merge evidence that a new version fails on two VMs and the old one doesn't."""
    rollout.merge(evidence("vm-1", counts(200)))
    rollout.merge(evidence("vm-2", counts(20, 10, is_new=True)))
    rollout.merge(evidence("vm-3", counts(20, 10, is_new=True)))


def propose_over_time(rollout, fleet=FLEET, until_ms=2_000):
    """Return the last proposal when asked every 250 ms from the start."""
    proposals = [
        rollout.proposal(float(ms), fleet) for ms in range(0, until_ms + 1, 250)
    ]
    return proposals[-1]


def test_promotion_begins_with_the_reserve():
    rollout = make_rollout()
    assert rollout.proposal(PROMOTION_MS - 1.0, FLEET) is None
    assert rollout.proposal(float(PROMOTION_MS), FLEET) is Phase.PROMOTING


def test_reserve_is_bounded_by_the_duration():
    long = make_rollout(order=replace(ORDER, duration_ms=60_000))
    assert long.proposal(47_999.0, FLEET) is None
    assert long.proposal(48_000.0, FLEET) is Phase.PROMOTING
    short = make_rollout(order=replace(ORDER, duration_ms=3_000))
    assert short.proposal(1_799.0, FLEET) is None
    assert short.proposal(1_800.0, FLEET) is Phase.PROMOTING


def test_age_of_the_order_counts_at_a_restarted_daemon():
    """Guards against a restart that starts the order's time again."""
    rollout = make_rollout(age_ms=PROMOTION_MS, now_ms=50.0)
    assert rollout.proposal(50.0, FLEET) is Phase.PROMOTING
    assert rollout.state(1_050.0).age_ms == PROMOTION_MS + 1_000


def test_version_with_too_few_slots_waits_until_the_deadline():
    few = replace(FLEET, n_new_slots=5)
    rollout = make_rollout()
    assert rollout.proposal(float(PROMOTION_MS), few) is None
    assert rollout.proposal(11_999.0, few) is None
    assert rollout.proposal(12_000.0, few) is Phase.ROLLED_BACK


def test_version_without_targets_is_not_promoted():
    none = replace(FLEET, n_old_slots=0, n_new_slots=0)
    assert make_rollout().proposal(float(PROMOTION_MS), none) is None


def test_bad_version_is_rolled_back_and_suspended_before_the_write():
    rollout = make_rollout()
    add_bad_evidence(rollout)
    assert propose_over_time(rollout) is Phase.ROLLED_BACK
    assert rollout.phase is Phase.CANARY
    assert rollout.is_suspended


def test_bad_version_is_rolled_back_during_promotion():
    rollout = promoting()
    add_bad_evidence(rollout)
    assert rollout.proposal(PROMOTION_MS + 10.0, FLEET) is Phase.ROLLED_BACK


def test_completion_waits_for_every_vm_with_old_targets():
    """Guards against stopping old targets that still run requests."""
    rollout = promoting()
    fleet = replace(FLEET, vms_with_old=frozenset({"vm-0", "vm-1"}))
    at_ms = float(COMPLETION_MS)
    assert rollout.proposal(at_ms, fleet) is None
    rollout.set_old_running(0)
    rollout.merge(evidence("vm-1", n_old_running=1, sequence=1))
    assert rollout.proposal(at_ms, fleet) is None
    rollout.merge(evidence("vm-1", n_old_running=0, sequence=2))
    assert rollout.proposal(at_ms, fleet) is Phase.COMPLETED


def test_members_that_are_gone_need_not_report():
    none = replace(FLEET, vms_with_old=frozenset())
    assert promoting().proposal(float(COMPLETION_MS), none) is Phase.COMPLETED


def test_completion_leaves_time_for_the_test_under_full_load():
    """Guards against completing a version that is bad only under load."""
    none = replace(FLEET, vms_with_old=frozenset())
    assert promoting().proposal(COMPLETION_MS - 1.0, none) is None


def test_old_version_gets_requests_until_shortly_before_completion():
    """Guards against a promotion that leaves no old version to compare with."""
    rollout = promoting()
    rollout.proposal(10_999.0, FLEET)
    assert rollout.portion is Portion.STEP
    rollout.proposal(11_000.0, FLEET)
    assert rollout.portion is Portion.ALL


def test_old_version_is_not_replaced_right_after_a_late_promotion():
    """Guards against replacement before there is evidence of the promotion."""
    rollout = make_rollout()
    rollout.merge_phase(Phase.PROMOTING)
    rollout.proposal(10_900.0, FLEET)
    rollout.proposal(11_499.0, FLEET)
    assert rollout.portion is Portion.STEP
    rollout.proposal(11_500.0, FLEET)
    assert rollout.portion is Portion.ALL


def test_version_in_doubt_does_not_replace_the_old_one():
    """Guards against exposure beyond the bound while evidence is on its way."""
    rollout = promoting()
    rollout.merge(evidence("vm-1", counts(200)))
    rollout.merge(evidence("vm-2", counts(20, 2, is_new=True)))
    rollout.merge(evidence("vm-3", counts(20, 3, is_new=True)))
    for ms in (10_000.0, 11_000.0, 11_500.0):
        rollout.proposal(ms, FLEET)
        assert rollout.portion is Portion.STEP
    assert rollout.proposal(11_700.0, FLEET) is Phase.ROLLED_BACK


def test_version_that_is_not_cleared_is_rolled_back_soon_after_many_bad_answers():
    """Guards against requests to a bad version later than its rollback allows."""
    rollout = make_rollout()
    rollout.merge(evidence("vm-1", counts(400, 120)))
    rollout.merge(evidence("vm-2", counts(62, 27, is_new=True)))
    rollout.merge(evidence("vm-3", counts(63, 26, is_new=True)))
    proposals = {ms: rollout.proposal(float(ms), FLEET) for ms in range(0, 3_750, 250)}
    assert proposals.pop(3_500) is Phase.ROLLED_BACK
    assert not any(proposals.values())


def test_late_promotion_is_tested_too():
    """Guards against completing a version before evidence of its full load."""
    none = replace(FLEET, vms_with_old=frozenset())
    rollout = make_rollout()
    rollout.merge_phase(Phase.PROMOTING)
    assert rollout.proposal(10_500.0, none) is None
    assert rollout.proposal(11_499.0, none) is None
    assert rollout.proposal(11_500.0, none) is Phase.COMPLETED


def test_promotion_does_not_begin_too_late_to_be_tested():
    assert make_rollout().proposal(10_651.0, FLEET) is None
    assert make_rollout().proposal(10_650.0, FLEET) is Phase.PROMOTING


def test_final_phase_stays():
    for final in (Phase.COMPLETED, Phase.ROLLED_BACK):
        rollout = promoting()
        assert rollout.merge_phase(final)
        assert not any(rollout.merge_phase(phase) for phase in Phase)
        assert rollout.phase is final
        add_bad_evidence(rollout)
        assert rollout.proposal(12_000.0, FLEET) is None


def test_completed_version_is_not_suspended_by_an_own_verdict():
    """Guards against a daemon that refuses the only version that still runs."""
    rollout = promoting()
    add_bad_evidence(rollout)
    rollout.proposal(PROMOTION_MS + 10.0, FLEET)
    assert rollout.is_suspended
    rollout.merge_phase(Phase.COMPLETED)
    assert not rollout.is_suspended


def test_cold_and_bad_answers_have_no_service_time():
    rollout = make_rollout()
    rollout.record("read", True, False, 900.0, is_cold=True)
    rollout.record("read", True, True, 1.0, is_cold=False)
    rollout.record("read", True, True, 1.0, is_cold=True)
    (of_route,) = rollout.own_evidence().counts
    assert (of_route.n_run, of_route.n_bad, of_route.n_timed) == (3, 2, 0)


def test_explanation_has_counts_scores_and_time_left():
    rollout = make_rollout()
    add_bad_evidence(rollout)
    propose_over_time(rollout)
    explained = rollout.explain(2_000.0)
    assert explained["phase"] == "canary"
    assert explained["left_ms"] == 10_000
    new = {"route": "read", "side": "new", "n_run": 40, "n_bad": 20, "n_timed": 0}
    assert new in explained["counts"]
    assert {each["route"] for each in explained["scores"]} == {None, "read"}
