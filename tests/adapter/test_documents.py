"""The operator's document: read whole, or not at all."""

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


def test_large_answers_may_be_repeated():
    found = read_document(document(1, rule("m", "/m/", "vault", route_type="download")))
    assert found.unwrap().intent.routes[0].is_idempotent


def test_split_shares_a_route_between_services():
    parts = [{"service": "ledger", "weight": 90}, {"service": "vault", "weight": 10}]
    split = rule("s", "/s/", "", action={"traffic_split": parts})
    route = read_document(document(1, split)).unwrap().intent.routes[0]
    assert [(part.service, part.weight) for part in route.splits] == [
        ("ledger", 90),
        ("vault", 10),
    ]


def test_order_of_ranks_counts_and_not_their_figures():
    """An operator uses four ranks; the two least urgent share a priority."""
    rules = [rule(f"r{n}", f"/{n}/", "ledger", priority=n) for n in (0, 3, 5, 9)]
    routes = read_document(document(1, *rules)).unwrap().intent.routes
    assert [route.priority for route in routes] == [
        "urgent",
        "normal",
        "deferrable",
        "deferrable",
    ]


FAULTY = {
    "no JSON": document()[:-9],
    "no table": b"[]",
    "no UTF-8": b"\xff\xfe",
    "no version": document(version="x"),
    "another version": json.dumps({"version": "12"}).encode(),
    "no limits": document(limits=None),
    "a limit that is text": document(limits={"max_header_bytes": "16384"}),
    "no listeners": document(listeners={}),
    "a prefix without slashes": document(1, rule("a", "logs", "ledger")),
    "an unknown type": document(1, rule("a", "/a/", "ledger", route_type="quick")),
    "an unknown service": document(1, rule("a", "/a/", "archive")),
    "a timeout that is true": document(
        1, rule("a", "/a/", "ledger", action={"timeout_ms": True})
    ),
    "no attempts": document(1, rule("a", "/a/", "ledger", action={"attempts": 0})),
    "a split without weight": document(
        1,
        rule("a", "/a/", "", action={"traffic_split": [{"service": "ledger"}]}),
    ),
    "a timeout beyond any number": document(
        1, rule("a", "/a/", "ledger", action={"timeout_ms": 10**400})
    ),
    "a version beyond any number": document(version="r" + "9" * 5000),
    "a table nested without end": document()[:-1]
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
def test_faulty_document_is_refused_as_a_whole(fault):
    """Another writer, or a cut one, leaves a document that is not right.

    Read in part, it would send requests to a service that is not there.
    """
    read = read_document(FAULTY[fault])
    assert read.is_err()
    assert all(item.where for item in read.unwrap_err())


def test_next_version_reads_as_if_it_were_the_first():
    """Versions change a route, drop one, move one to another host, and the ranks.

    A route that was taken over from the version before, though it has changed, would
    send requests where the operator no longer wants them.
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
