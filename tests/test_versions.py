"""Snapshots and deltas."""

from __future__ import annotations

from dataclasses import replace

import pytest

from pepperstair_core.intent import Intent, Route, Service
from pepperstair_core.versions import (
    Head,
    Snapshot,
    apply_delta,
    digest_of,
    encode_intent,
    make_delta,
    make_snapshot,
)


def snapshot_of(version: int, *routes: str) -> Snapshot:
    """Return a snapshot with one service and a route for each name."""
    intent = Intent(
        "lantern",
        (Service("ledger", "app=ledger"),),
        tuple(Route(name, f"/{name}", "ledger") for name in routes),
    )
    body = encode_intent(intent)
    head = Head("lantern", version, digest_of(body), 0, "vm-1", f"change-{version}")
    return make_snapshot(head, body).unwrap()


@pytest.mark.parametrize(
    ("before", "after"),
    [((), ("a",)), (("a", "b"), ("b", "a")), (("a", "b"), ("a",)), (("a",), ("a",))],
)
def test_delta_leads_to_the_same_bytes(before, after):
    base, target = snapshot_of(1, *before), snapshot_of(2, *after)
    assert apply_delta(base, make_delta(base, target)).unwrap() == target


def test_delta_on_another_base_is_refused():
    """A delta overtakes the one before it on another path through the fleet.

    Applied to the wrong base it would give a configuration that nobody wrote;
    requests would take routes that were never accepted.
    """
    base, target = snapshot_of(2, "a"), snapshot_of(3, "a", "b")
    assert apply_delta(snapshot_of(1, "z"), make_delta(base, target)).is_err()


def test_damaged_body_is_refused_whole():
    """A body is damaged on its way or in the object store.

    Any part of it that went in force would be a configuration nobody wrote.
    """
    whole = snapshot_of(1, "a")
    assert make_snapshot(whole.head, whole.body[:-1]).is_err()
    assert make_snapshot(replace(whole.head, digest="00"), whole.body).is_err()
