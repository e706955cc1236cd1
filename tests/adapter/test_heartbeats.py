"""Tests of reading heartbeats of the VM's instance and of other senders."""

from __future__ import annotations

import json

import pytest
from msgspec.structs import replace

from pepperstair_adapter.heartbeats import read_heartbeat, read_start_ms
from pepperstair_adapter.settings import AdapterSettings, Bounds
from pepperstair_core.config import RolloutsSettings
from pepperstair_core.members import TargetState

SETTINGS = AdapterSettings(
    readiness_address="127.0.0.1:1",
    heartbeat_address="127.0.0.1:2",
    target_address="127.0.0.1:8080",
    service="ledger",
    bounds=Bounds(0.2, 64, 10_000, 6000),
)
GOOD = {
    "service": "ledger",
    "address": "127.0.0.1:8080",
    "zone": "pos-a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1_782_411_004_000,
}


def read(**changes):
    """Read a heartbeat with some fields changed; None omits a field."""
    table = {**GOOD, **changes}
    sent = {key: value for key, value in table.items() if value is not None}
    return read_heartbeat("i-1", json.dumps(sent).encode(), SETTINGS)


def test_heartbeat_becomes_an_announcement():
    announcement = read().unwrap()
    target = announcement.target
    assert (target.name, target.n_slots) == ("i-1", 12)
    assert target.state is TargetState.SERVING
    labels = {"service": "ledger", "start": str(GOOD["born"])}
    assert dict(target.labels) == labels
    assert (announcement.start_ms, announcement.sequence) == (GOOD["born"], 4)


def test_starting_instance_is_cold_and_departing_instance_is_draining():
    assert read(cold_remaining_ms=900).unwrap().target.state is TargetState.COLD
    leaving = read(state="draining", cold_remaining_ms=900).unwrap()
    assert leaving.target.state is TargetState.DRAINING


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "vault"},
        {"address": "127.0.0.1:8081"},
        {"state": "sleeping"},
        {"slots": "12"},
        {"slots": 0},
        {"slots": True},
        {"sequence": None},
        {"sequence": -1},
        {"sequence": 1.5},
        {"cold_remaining_ms": None},
        {"born": "yesterday"},
        {"born": 1.5},
        {"born": 10**20},
        {"slots": 10**20},
        {"zone": 7},
    ],
)
def test_heartbeat_with_any_invalid_field_is_rejected(changes):
    """Another program sends heartbeats, by mistake or maliciously.

    If they were accepted, requests would be sent to an address where no process, or
    another one, listens.
    """
    assert read(**changes).is_err()


@pytest.mark.parametrize(
    "body", [b"", b"\xff", b"[]", b"7", b'{"service":', b"[" * 60_000]
)
def test_malformed_heartbeat_body_is_rejected(body):
    assert read_heartbeat("i-1", body, SETTINGS).is_err()


def test_version_is_a_label_only_where_versions_are_rolled_out():
    rollouts = RolloutsSettings(exposure_percent=10.0)
    bounds = replace(SETTINGS.bounds, rollouts=rollouts)
    settings = replace(SETTINGS, bounds=bounds)
    read = read_heartbeat("i-1", json.dumps(GOOD).encode(), settings)
    assert read.unwrap().target.label("version") == "v1"


@pytest.mark.parametrize(
    ("body", "start_ms"),
    [
        (b'{"born": 17}', 17),
        (b"", 0),
        (b"\xff", 0),
        (b"[]", 0),
        (b'{"born": "17"}', 0),
        (b'{"born": -1}', 0),
    ],
)
def test_deregistration_states_which_start_has_ended(body, start_ms):
    assert read_start_ms(body) == start_ms
