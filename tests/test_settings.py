"""Settings and intent documents: all faults are reported in one run."""

from __future__ import annotations

from pathlib import Path

import pytest

from pepperstair_core.config import parse_settings_toml
from pepperstair_core.intent import parse_intent_toml

EXAMPLES = Path(__file__).parent.parent / "examples"

FAULTY_SETTINGS = """\
[vm]
name = "a b"
labels = { tier = 3, app = "a b" }
[callers]
address = "localhost:8000"
n_connections_max = 0
[operators]
address = "10.0.0.1:8001"
[peers]
address = 8002
seed_addresses = ["127.0.0.1:1", "nowhere"]
[metrics]
interval = 5
"""

FAULTY_INTENT = """\
customer = "lantern"
[[services]]
name = "ledger"
selector = "app in b"
[[routes]]
name = "award"
path_prefix = "ledger"
service = "vault"
timeout_ms = "soon"
"""


def test_settings_list_the_faults_of_every_table_at_once():
    """Guards against reporting the faults of a file one run at a time.

    This happens if the checks of addresses and of the token are skipped as soon as
    any key has a wrong type. Operators then correct one fault, start the daemon and
    get the next one.
    """
    faults = parse_settings_toml(FAULTY_SETTINGS).unwrap_err()
    assert sorted(str(fault) for fault in faults) == [
        "callers.address: expected an IP address and port, not 'localhost:8000'",
        "callers.n_connections_max: expected an integer of at least 1, not 0",
        "metrics.interval: expected one of the keys interval_ms, "
        "prometheus_address, statsd_address",
        "operators.token: expected a token, as the address is not loopback",
        "peers.address: expected a string, not 8002",
        "peers.seed_addresses[1]: expected an IP address and port, not 'nowhere'",
        "platform: expected a value, this key is required",
        "vm.availability_zone: expected a value, this key is required",
        "vm.labels.app: expected a label name and value",
        "vm.labels.tier: expected a string, not 3",
        "vm.name: expected a name, not 'a b'",
    ]


def test_intent_lists_the_faults_of_keys_and_of_the_document_at_once():
    """Guards against reporting a missing service only after the timeout is fixed."""
    faults = parse_intent_toml(FAULTY_INTENT).unwrap_err()
    assert sorted(fault.where for fault in faults) == [
        "routes[0].path_prefix",
        "routes[0].service",
        "routes[0].timeout_ms",
        "services[0].selector",
    ]


def test_label_override_that_is_not_a_string_is_a_fault():
    """Guards against a traceback when a label's value is a number."""
    text = 'customer = "a"\n[[label_overrides]]\nworkload = "b"\nlabels = { c = 1 }\n'
    faults = parse_intent_toml(text).unwrap_err()
    assert [str(fault) for fault in faults] == [
        "label_overrides[0].labels.c: expected a string, not 1"
    ]


@pytest.mark.parametrize("name", ["vm-1.toml", "vm-2.toml"])
def test_example_settings_are_valid(name):
    assert parse_settings_toml((EXAMPLES / name).read_text()).is_ok()


def test_example_intent_is_valid():
    assert parse_intent_toml((EXAMPLES / "lantern.toml").read_text()).is_ok()
