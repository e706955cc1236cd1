"""Tests of reading the operators' document, which is rejected as a whole if faulty."""

from __future__ import annotations

import json

import pytest

from pepperstair_adapter.documents import (
    make_document_reader,
    read_document,
    read_number,
)
from pepperstair_core.intent import Account
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


def tenant(name: str, *keys: str, **more) -> dict:
    """Return a tenant of the document."""
    return {"name": name, "api_keys": list(keys), **more}


def test_tenants_become_accounts():
    atlas = tenant("atlas", "k-1", "k-2", priority=0, rate_per_s=640, burst=80)
    open_rule = rule("open", "/open/", "ledger", allow_anonymous=True)
    intent = (
        read_document(
            document(1, rule("a", "/a/", "ledger"), open_rule, tenants=[atlas])
        )
        .unwrap()
        .intent
    )
    assert intent.accounts == (Account("atlas", ("k-1", "k-2"), "urgent", 640.0, 80),)
    assert [route.allows_anonymous for route in intent.routes] == [False, True]


def test_ranks_of_rules_and_tenants_are_ordered_together():
    tenants = [tenant("a", "1", priority=1), tenant("b", "2", priority=5)]
    intent = read_document(
        document(1, rule("r", "/r/", "ledger", priority=3), tenants=tenants)
    ).unwrap()
    assert intent.intent.routes[0].priority == "normal"
    assert [each.priority for each in intent.intent.accounts] == [
        "urgent",
        "deferrable",
    ]


def test_changed_rank_of_a_tenant_changes_the_priority_of_cached_routes():
    """Guards against routes that keep the priority which the ranks before gave them."""
    reader = make_document_reader()
    reader(document(1, rule("r", "/r/", "ledger", priority=3), tenants=[]))
    data = document(
        2,
        rule("r", "/r/", "ledger", priority=3),
        tenants=[tenant("a", "1", priority=1)],
    )
    assert reader(data).unwrap().intent.routes[0].priority == "normal"


def test_tenant_without_priority_and_quota_uses_those_of_the_route():
    tenants = [tenant("a", "1"), tenant("b", "2", priority=None, rate_per_s=None)]
    accounts = read_document(document(1, tenants=tenants)).unwrap().intent.accounts
    assert [(each.priority, each.has_quota) for each in accounts] == [("", False)] * 2


@pytest.mark.parametrize(
    ("more", "uses_accounts"),
    [({}, False), ({"tenants": []}, True), ({"tenants": [tenant("a")]}, True)],
)
def test_accounts_are_used_where_the_document_has_tenants(more, uses_accounts):
    intent = read_document(document(1, **more)).unwrap().intent
    assert intent.uses_accounts is uses_accounts


SECRET = "k3y-of-atlas"
FAULTY_TENANTS = {
    "a key of two tenants": [tenant("atlas", SECRET), tenant("boreal", SECRET)],
    "a name used twice": [tenant("atlas", SECRET), tenant("atlas", "other")],
    "keys that are a string": [{"name": "atlas", "api_keys": SECRET}],
    "a tenant that is a string": [SECRET],
    "tenants in a table": {SECRET: [SECRET]},
    "no tenants": None,
    "an endless key": [tenant("atlas", SECRET * 100)],
    "too many keys": [tenant("atlas", *(SECRET + str(n) for n in range(17)))],
    "an empty key": [tenant("atlas", SECRET, "")],
    "a name with a line break": [tenant("atlas\r\nx-admin: 1", SECRET)],
    "an empty name": [tenant("", SECRET)],
    "a negative rate": [tenant("atlas", SECRET, rate_per_s=-1)],
    "a burst that is a fraction": [tenant("atlas", SECRET, burst=1.5)],
    "an endless rate": [tenant("atlas", SECRET, rate_per_s=float("inf"))],
    "a priority that is a string": [tenant("atlas", SECRET, priority=SECRET)],
}


@pytest.mark.parametrize("fault", FAULTY_TENANTS)
def test_faulty_tenants_invalidate_the_version_without_showing_a_key(fault):
    """Guards against keys in the log and in the answers of operators' commands."""
    read = read_document(document(1, tenants=FAULTY_TENANTS[fault]))
    assert read.is_err()
    assert SECRET not in "; ".join(map(str, read.unwrap_err()))


def test_number_of_a_faulty_version_is_read():
    assert read_number(document(12)[:-9]) == 12
    assert read_number(b'{"limits": {}, "version": "r12"}') is None
    assert read_number(b"[]") is None


def test_truncated_document_shows_no_key():
    data = document(1, tenants=[tenant("atlas", SECRET)])
    for n_bytes in range(len(data)):
        assert SECRET not in str(read_document(data[:n_bytes]).unwrap_err())


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
