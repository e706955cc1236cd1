"""Versions that are on hold, and the rules that follow from a rollout's phase."""

from __future__ import annotations

import math

import pytest

from pepperstair_core.errors import ErrorKind
from pepperstair_core.rollout import OrderEnd, Phase, Portion, VersionRecord
from pepperstair_core.rollout.holds import (
    CONFIRMATION_MARGIN_MS,
    ONLY_VERSION_MS,
    VersionHolds,
)
from pepperstair_core.rollout.version_rules import make_rule

BOTH = frozenset(["v1", "v2"])
HELD, SUPERSEDED = ErrorKind.VERSION_HELD, ErrorKind.VERSION_SUPERSEDED


def see(holds, versions, ordered=None, confirmed_ms=-math.inf, now_ms=0.0):
    """Let the holds see versions of one service and return those released."""
    return list(holds.see("s", frozenset(versions), ordered, confirmed_ms, now_ms))


def test_only_version_of_a_service_is_never_held():
    holds = VersionHolds()
    see(holds, ["v1"])
    assert holds.held("s", ["v1"], None) == frozenset()


def test_two_versions_seen_at_once_are_both_held_until_a_confirmation():
    """Guards against a starting daemon that takes the ordered version for the old."""
    holds = VersionHolds()
    see(holds, BOTH)
    assert holds.held("s", BOTH, None) == BOTH
    see(holds, BOTH, confirmed_ms=CONFIRMATION_MARGIN_MS)
    assert holds.held("s", BOTH, None) == BOTH
    see(holds, BOTH, confirmed_ms=CONFIRMATION_MARGIN_MS + 1)
    assert holds.held("s", BOTH, None) == frozenset()


def test_usual_version_is_served_without_a_confirmation():
    """Guards against a service without requests while the store is down."""
    holds = VersionHolds()
    see(holds, ["v1"])
    see(holds, ["v1"], now_ms=ONLY_VERSION_MS + 1)
    see(holds, BOTH, now_ms=ONLY_VERSION_MS + 2)
    assert holds.held("s", BOTH, None) == {"v2"}


def test_other_version_of_an_order_is_served_at_once():
    """Guards against a restarted daemon that refuses everything during a rollout."""
    holds = VersionHolds()
    see(holds, BOTH, ordered="v2")
    assert holds.held("s", BOTH, "v2") == frozenset()


def test_ordered_version_is_not_released_by_confirmations():
    """Guards against a rolled-back version that is released after its order."""
    holds = VersionHolds()
    see(holds, BOTH, ordered="v2", confirmed_ms=math.inf)
    assert not holds.is_released("s", "v2")
    holds.records.merge("s", [VersionRecord("v2", 5, OrderEnd.ROLLED_BACK)])
    see(holds, BOTH, confirmed_ms=math.inf)
    assert holds.held("s", BOTH, None) == {"v2"}
    holds.records.merge("s", [VersionRecord("v2", 9, OrderEnd.COMPLETED)])
    assert holds.held("s", BOTH, None) == frozenset()


@pytest.mark.parametrize(
    ("phase", "portion", "old", "new"),
    [
        (Phase.CANARY, Portion.CANARY, None, None),
        (Phase.CANARY, Portion.SUSPECT, None, None),
        (Phase.CANARY, Portion.NONE, None, HELD),
        (Phase.PROMOTING, Portion.STEP, None, None),
        (Phase.PROMOTING, Portion.ALL, SUPERSEDED, None),
        (Phase.PROMOTING, Portion.NONE, None, HELD),
        (Phase.COMPLETED, Portion.ALL, SUPERSEDED, None),
        (Phase.ROLLED_BACK, Portion.NONE, None, HELD),
    ],
)
def test_refusal_beside_a_target_follows_the_phase(phase, portion, old, new):
    rule = make_rule(frozenset(["v0"]), "v2", phase, portion)
    assert (rule.refusal("v1"), rule.refusal("v2")) == (old, new)
    assert rule.refusal("v0") in (HELD, SUPERSEDED)


def test_service_without_held_versions_and_without_an_order_has_no_rule():
    assert make_rule(frozenset()) is None
    assert make_rule(frozenset(["v2"])).refusal("v2") is HELD
