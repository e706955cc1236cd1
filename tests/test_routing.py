"""Compiled routes and endpoints."""

from __future__ import annotations

import pytest

from pepperstair_core.intent import Intent, LabelOverride, Route, Service
from pepperstair_core.labels import parse_selector
from pepperstair_core.members import Member, MemberState, Target, TargetState
from pepperstair_core.routing import (
    EndpointTable,
    compile_routes,
    label_overrides_by_workload,
)
from pepperstair_core.versions import Head, Snapshot, digest_of, encode_intent


def snapshot_of(customer: str, *routes: Route, overrides=()) -> Snapshot:
    """Return version 1 of a customer with one service and some routes."""
    service = Service("ledger", "app=ledger")
    intent = Intent(customer, (service,), routes, (), tuple(overrides))
    body = encode_intent(intent)
    return Snapshot(Head(customer, 1, digest_of(body), 0, "vm", "c"), body, intent)


def member_of(vm: str, state: MemberState, *targets: Target) -> Member:
    """Return a member with some targets."""
    return Member(vm, 1, 0, state, "z", "127.0.0.1:1", (), targets)


def target_of(name: str, state: TargetState = TargetState.SERVING) -> Target:
    """Return a target of the ledger app."""
    return Target(name, "127.0.0.1:2", (("app", "ledger"),), 12, 130, state)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("", "/ledger", "short"),
        ("", "/ledger/", "short"),
        ("", "/ledger/award", "long"),
        ("", "/ledger/award/1?x=/ledger", "long"),
        ("", "/ledger/awards", "short"),
        ("", "/ledgers", "root"),
        ("", "/ledger?to=/x", "short"),
        ("maps.example", "/ledger/award", "host"),
        ("other.example", "/ledger/award", "long"),
        ("maps.example", "/other", "root"),
    ],
)
def test_most_specific_route_is_found(host, path, expected):
    table = compile_routes(
        [
            snapshot_of(
                "lantern",
                Route("root", "/", "ledger"),
                Route("short", "/ledger", "ledger"),
                Route("long", "/ledger/award", "ledger"),
                Route("host", "/ledger", "ledger", host="maps.example"),
            )
        ],
        {},
    )
    assert table.match(host, path).route.name == expected


def test_no_route_without_a_matching_prefix():
    table = compile_routes([snapshot_of("a", Route("r", "/ledger", "ledger"))], {})
    assert table.match("", "/vault") is None
    assert table.match("", "*") is None


def test_only_the_routes_that_select_the_proxy_are_compiled():
    mine = Route("mine", "/a", "ledger", proxies="zone=north")
    other = Route("other", "/b", "ledger", proxies="zone=south")
    table = compile_routes([snapshot_of("a", mine, other)], {"zone": "north"})
    assert [compiled.route.name for compiled in table.routes] == ["mine"]


def test_two_customers_with_one_prefix_are_decided_alike_everywhere():
    """Two customers state the same prefix, and versions arrive in any order.

    If proxies disagreed, the same request would reach one customer's targets
    here and the other's there.
    """
    first, second = (
        snapshot_of(
            name,
            Route("r", "/x", "ledger"),
            overrides=[LabelOverride("t1", {"app": name})],
        )
        for name in ("a", "b")
    )
    for snapshots in ([first, second], [second, first]):
        assert compile_routes(snapshots, {}).match("", "/x").customer == "a"
        assert label_overrides_by_workload(snapshots)["t1"] == {"app": "b"}


def test_endpoints_leave_out_draining_targets_and_gone_members():
    members = [
        member_of("a", MemberState.ALIVE, target_of("t1")),
        member_of("b", MemberState.SUSPECT, target_of("t2")),
        member_of("c", MemberState.GONE, target_of("t3")),
        member_of("d", MemberState.ALIVE, target_of("t4", TargetState.DRAINING)),
    ]
    selector = parse_selector("app=ledger").unwrap()
    found = EndpointTable(members).endpoints(selector)
    assert [endpoint.target.name for endpoint in found] == ["t1", "t2"]


def test_label_overrides_move_a_target_between_services():
    overrides = [LabelOverride("t1", {"app": "vault"}), LabelOverride("b", {"app": ""})]
    table = EndpointTable(
        [
            member_of("a", MemberState.ALIVE, target_of("t1")),
            member_of("b", MemberState.ALIVE, target_of("t2")),
        ],
        label_overrides_by_workload([snapshot_of("lantern", overrides=overrides)]),
    )
    vault = table.endpoints(parse_selector("app=vault").unwrap())
    assert [endpoint.target.name for endpoint in vault] == ["t1"]
    assert table.endpoints(parse_selector("app=ledger").unwrap()) == ()


def test_endpoints_are_taken_over_until_their_member_changes():
    """A target is drained, and another one appears, in a fleet that stays.

    Taken over from the table of before, the drained one would go on being called.
    """
    selector = parse_selector("app=ledger").unwrap()
    members = [
        member_of("a", MemberState.ALIVE, target_of("t1")),
        member_of("b", MemberState.ALIVE, target_of("t2")),
    ]
    table = EndpointTable(members)
    before = table.endpoints(selector)
    table = EndpointTable(list(members), previous=table)
    assert table.endpoints(selector) is before
    members[1] = member_of(
        "b", MemberState.ALIVE, target_of("t2", TargetState.DRAINING)
    )
    members.append(member_of("c", MemberState.ALIVE, target_of("t3")))
    table = EndpointTable(members, previous=table)
    after = table.endpoints(selector)
    assert [endpoint.target.name for endpoint in after] == ["t1", "t3"]
    assert after[0] is before[0]


def test_endpoints_are_chosen_anew_under_other_overrides():
    selector = parse_selector("app=ledger").unwrap()
    members = [member_of("a", MemberState.ALIVE, target_of("t1"))]
    table = EndpointTable(members)
    assert len(table.endpoints(selector)) == 1
    moved = {"t1": {"app": "vault"}}
    assert EndpointTable(members, moved, previous=table).endpoints(selector) == ()
