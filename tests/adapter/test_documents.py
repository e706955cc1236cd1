"""Tests of reading the operators' document, which is rejected as a whole if faulty."""

from __future__ import annotations

import json

import pytest

from pepperstair_adapter.documents import make_document_reader, read_document
from tests.adapter.documents import document, rule


def test_document_becomes_intent_and_limits():
    award = rule("award", "/award/", "ledger", route_type="non_idempotent", priority=1)
    found = read_document(document(12, award, rule("logs", "/", "vault"))).unwrap()
    assert found.version == 12
    assert found.limits.header_timeout_ms == 3000
    first, second = found.intent.routes
    assert (first.service, first.is_idempotent, first.n_attempts_max) == (
        "ledger",
        False,
        2,
    )
    assert (first.host, first.path_prefix, first.timeout_ms, first.objective_ms) == (
        "maps.example",
        "/award/",
        800,
        300,
    )
    assert (first.priority, second.priority) == ("urgent", "normal")


def test_download_routes_are_idempotent():
    found = read_document(document(1, rule("m", "/m/", "vault", route_type="download")))
    assert found.unwrap().intent.routes[0].is_idempotent


def test_traffic_split_divides_a_route_between_services():
    parts = [{"service": "ledger", "weight": 90}, {"service": "vault", "weight": 10}]
    split = rule("s", "/s/", "", action={"traffic_split": parts})
    route = read_document(document(1, split)).unwrap().intent.routes[0]
    assert [(part.service, part.weight) for part in route.splits] == [
        ("ledger", 90),
        ("vault", 10),
    ]


def test_priority_follows_the_order_of_ranks_not_their_values():
    """An operator uses four ranks, of which the two least urgent share a priority."""
    rules = [rule(f"r{n}", f"/{n}/", "ledger", priority=n) for n in (0, 3, 5, 9)]
    routes = read_document(document(1, *rules)).unwrap().intent.routes
    assert [route.priority for route in routes] == [
        "urgent",
        "normal",
        "deferrable",
        "deferrable",
    ]


FAULTY = {
    "truncated JSON": document()[:-9],
    "no object": b"[]",
    "no UTF-8": b"\xff\xfe",
    "invalid version": document(version="x"),
    "version without prefix": json.dumps({"version": "12"}).encode(),
    "no limits": document(limits=None),
    "a limit that is a string": document(limits={"max_header_bytes": "16384"}),
    "no listeners": document(listeners={}),
    "a prefix without slashes": document(1, rule("a", "logs", "ledger")),
    "an unknown route type": document(
        1, rule("a", "/a/", "ledger", route_type="quick")
    ),
    "an unknown service": document(1, rule("a", "/a/", "archive")),
    "a timeout that is a boolean": document(
        1, rule("a", "/a/", "ledger", action={"timeout_ms": True})
    ),
    "no attempts": document(1, rule("a", "/a/", "ledger", action={"attempts": 0})),
    "a split without weight": document(
        1,
        rule("a", "/a/", "", action={"traffic_split": [{"service": "ledger"}]}),
    ),
    "a timeout out of range": document(
        1, rule("a", "/a/", "ledger", action={"timeout_ms": 10**400})
    ),
    "a version out of range": document(version="r" + "9" * 5000),
    "a deeply nested value": document()[:-1]
    + b',"x":'
    + b"[" * 200_000
    + b"]" * 200_000
    + b"}",
    "an empty split": document(1, rule("a", "/a/", "", action={"traffic_split": []})),
    "a name used twice": document(
        1, rule("a", "/a/", "ledger"), rule("a", "/b/", "ledger")
    ),
}


@pytest.mark.parametrize("fault", FAULTY)
def test_faulty_document_is_rejected_as_a_whole(fault):
    """Another program writes the document, or a write of it is truncated.

    If parts of it were used, requests would be sent to a service that does not exist.
    """
    read = read_document(FAULTY[fault])
    assert read.is_err()
    assert all(item.where for item in read.unwrap_err())


def test_route_cache_does_not_change_how_a_version_is_read():
    """Versions change a route, drop one, move one to another host and change ranks.

    A route reused from the previous version although it has changed would send requests
    to a destination that the operator has removed.
    """
    logs = rule("logs", "/logs/", "ledger")
    maps = rule("maps", "/maps/", "vault", priority=3)
    moved = rule("logs", "/logs/", "vault")
    reader = make_document_reader()
    versions = [
        document(7, logs, maps),
        document(8, moved, maps),
        document(9, maps),
        document(10, maps, rule("urgent", "/urgent/", "ledger", priority=0)),
        document(11, logs, maps)[:-9],
        document(12, logs, maps).replace(b"maps.example", b"other.example"),
    ]
    for data in versions:
        assert reader(data) == read_document(data)
