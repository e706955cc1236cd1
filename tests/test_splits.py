"""Routes that share their requests out by weight."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from pepperstair_core.calls import AnswerSizes, CallerTimeouts
from pepperstair_core.intent import Intent, Route, Service, Split, iter_intent_faults
from pepperstair_core.routing import compile_routes, pick_destination
from pepperstair_core.versions import Head, Snapshot

SERVICES = (Service("ledger", "app=ledger"), Service("vault", "app=vault"))


def compiled(*splits: Split):
    """Return the compiled route with these splits."""
    route = Route("r", "/", splits=splits)
    intent = Intent("c", SERVICES, (route,))
    assert list(iter_intent_faults(intent)) == []
    head = Head("c", 1, "", 0, "vm", "")
    return compile_routes([Snapshot(head, b"", intent)], {}).match("", "/x")


def test_parts_get_their_shares():
    route = compiled(Split("ledger", 90), Split("vault", 10))
    rng = Random(7)
    found = Counter(pick_destination(route, rng).service.name for _ in range(4000))
    assert abs(found["vault"] / 4000 - 0.1) < 0.02
    assert (
        pick_destination(compiled(Split("ledger", 0), Split("vault", 1)), rng)
        is not None
    )
    only = {
        pick_destination(
            compiled(Split("ledger", 0), Split("vault", 1)), rng
        ).service.name
    }
    assert only == {"vault"}


@pytest.mark.parametrize(
    "route",
    [
        Route("r", "/"),
        Route("r", "/", "ledger", splits=(Split("vault", 1),)),
        Route("r", "/", splits=(Split("ledger", 0),)),
        Route("r", "/", splits=(Split("archive", 1),)),
    ],
    ids=["no service", "service and splits", "no weight", "unknown service"],
)
def test_faulty_splits_are_named(route):
    faults = list(iter_intent_faults(Intent("c", SERVICES, (route,))))
    assert faults and all(fault.where.startswith("routes[0]") for fault in faults)


def test_caller_that_comes_back_is_told_from_a_new_one():
    patience = CallerTimeouts()
    rng = Random(2)
    for _ in range(200):
        patience.waited_ms("r", 800 if rng.random() < 0.7 else 530)
    assert patience.waited_ms("r", 799) == 0
    assert 200 < patience.waited_ms("r", 530) < 300
    assert patience.waited_ms("r", 0) == 0


def test_size_of_answers_follows_what_is_seen():
    sizes = AnswerSizes()
    for _ in range(200):
        sizes.record("map", 90_000)
    sizes.record("map", 0)
    assert 80_000 < sizes.of("map") < 90_000
