"""Tests of snapshots and deltas."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from pepperstair_core.intent import (
    Intent,
    LabelOverride,
    Objectives,
    Policy,
    Route,
    Service,
)
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
    """Return a snapshot with one service and one route per name."""
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
    """A delta overtakes the previous one on another path through the fleet.

    Applied to the wrong base it would give a configuration that nobody wrote, and
    requests would use routes that were never accepted.
    """
    base, target = snapshot_of(2, "a"), snapshot_of(3, "a", "b")
    assert apply_delta(snapshot_of(1, "z"), make_delta(base, target)).is_err()


def test_corrupt_body_is_refused_as_a_whole():
    """A body is corrupted in transit or in the object store.

    If any part of it went in force, that would be a configuration nobody wrote.
    """
    intact = snapshot_of(1, "a")
    assert make_snapshot(intact.head, intact.body[:-1]).is_err()
    assert make_snapshot(replace(intact.head, digest="00"), intact.body).is_err()


NAMES = st.lists(st.sampled_from("abcdef"), unique=True, min_size=1)
DOCUMENTS = st.builds(
    lambda services, routes, path, slots, workloads, objective: Intent(
        "lantern",
        tuple(Service(name, f"app={name}") for name in services),
        tuple(Route(name, path, services[0]) for name in routes),
        (Policy("p", "", n_queued_max=slots),) if slots else (),
        tuple(LabelOverride(name, {"tier": path[1:]}) for name in workloads),
        Objectives(convergence_ms=objective),
    ),
    NAMES,
    NAMES,
    st.sampled_from(("/x", "/y")),
    st.integers(0, 2),
    NAMES,
    st.sampled_from((5000, 9000)),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(DOCUMENTS, DOCUMENTS)
def test_applied_delta_equals_the_full_snapshot(before, after):
    bodies = encode_intent(before), encode_intent(after)
    base, target = (
        make_snapshot(
            Head("lantern", version, digest_of(body), 0, "vm-1", "c"), body
        ).unwrap()
        for version, body in enumerate(bodies, 1)
    )
    assert apply_delta(base, make_delta(base, target)).unwrap() == target


def test_delta_that_would_break_the_document_is_refused():
    """A delta of a faulty daemon removes a service that routes still reference.

    Its digest is correct, so only the validation of the whole result detects the fault.
    If it were applied, routes would reference a missing service.
    """
    base = snapshot_of(1, "a")
    body = encode_intent(replace(base.intent, services=()))
    head = replace(base.head, version=2, digest=digest_of(body))
    delta = make_delta(base, Snapshot(head, body, base.intent))
    assert "service" in str(apply_delta(base, delta).unwrap_err()[0])
