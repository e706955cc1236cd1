"""The estimate of how many more requests fail on the new version."""

from __future__ import annotations

from pepperstair_core.rollout.excess import Excess

ROUTES = ("read", "write", "list")


def excess_of(*outcomes, old_rate=0.01):
    """Return the estimate for tuples of route, VM, requests and failures."""
    excess = Excess()
    for route, vm, n_run, n_bad in outcomes:
        excess.add(route, vm, n_run, n_bad, old_rate)
    return excess


def test_version_as_good_as_a_failing_old_one_is_cleared():
    outcomes = [("read", vm, 50, 15) for vm in ("vm-1", "vm-2", "vm-3")]
    assert not excess_of(*outcomes, old_rate=0.3).is_high()


def test_more_failures_than_those_of_a_failing_old_version_are_high():
    """Guards against an old version that hides the failures of the new one."""
    outcomes = [("read", vm, 50, 25) for vm in ("vm-1", "vm-2", "vm-3")]
    assert excess_of(*outcomes, old_rate=0.3).is_high()


def test_failures_on_one_route_are_high():
    """Guards against other routes that hide the failures of one."""
    bad = [("list", "vm-1", 14, 5), ("list", "vm-2", 8, 1)]
    good = [
        (route, vm, 40, 0) for route in ("read", "write") for vm in ("vm-1", "vm-2")
    ]
    assert excess_of(*bad, *good).is_high()


def test_one_faulty_target_does_not_count():
    """Guards against the rollback of a good version for one faulty target."""
    bad = [(route, "vm-1", 20, 10) for route in ROUTES]
    good = [(route, "vm-2", 20, 0) for route in ROUTES]
    usual = [("read", "vm-3", 20, 1)]
    excess = excess_of(*bad, *good, *usual)
    assert not excess.is_high()
    assert not excess.is_raised()
    assert all(excess.has_faulty_target(route) for route in ROUTES)


def test_one_faulty_target_does_not_count_with_one_route():
    """Guards against the rollback of a good version of a service with one route."""
    excess = excess_of(("read", "vm-1", 40, 20), ("read", "vm-2", 40, 1))
    assert not excess.is_high()


def test_few_requests_beside_a_failing_old_version_are_undecided():
    excess = excess_of(("read", "vm-1", 20, 8), old_rate=0.3)
    assert excess.is_undecided()
    assert not excess.is_high()


def test_requests_without_failures_beside_a_sound_old_version_are_decided():
    assert not excess_of(("read", "vm-1", 20, 0)).is_undecided()


def test_copy_is_independent():
    excess = excess_of(("read", "vm-1", 40, 20), ("read", "vm-2", 40, 20))
    copy = excess.copy()
    for vm in ("vm-1", "vm-2"):
        copy.add("read", vm, 1_000, 10, 0.01)
    assert excess.is_high()
    assert not copy.is_high()
