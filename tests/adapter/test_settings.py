"""Tests of the settings file that the platform renders from the template."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from pepperstair_adapter.settings import parse_all_settings

TEMPLATE = Path(__file__).parent.parent.parent / "deploy" / "daemon.toml"
FIELDS = {
    "node": "sidecar-a-1",
    "zone": "pos-a",
    "region": "pos",
    "service": "ledger",
    "ip": "10.1.0.38",
    "listen.outbound": "10.1.0.38:8147",
    "listen.ready": "10.1.0.38:8141",
    "listen.control_plane": "10.1.0.38:8144",
    "port_range.0": "7380",
    "port_range.1": "7395",
    "platform.address": "10.200.1.7:8142",
    "app_addr": "10.1.0.38:8145",
    "heartbeat_ms": "1500",
    "limits.link_mbps": "1000.0",
    "bootstrap": "false",
}
BOUNDS = "retry_budget_ratio = 0.3\nbudget_min_retries = 9\nnew_bound = true\n"


def render_settings(bounds: str = BOUNDS, **changes: str) -> str:
    """Return the template as the platform would render it."""
    fields = {**FIELDS, **changes}
    text = re.sub(
        r"\{\{#bounds\}\}.*?\{\{/bounds\}\}", bounds, TEMPLATE.read_text(), flags=re.S
    )
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda match: fields[match[1]], text)


def test_template_gives_settings_of_product_and_adapter():
    settings = parse_all_settings(render_settings()).unwrap()
    assert settings.product.vm.name == "sidecar-a-1"
    assert settings.product.members.target_lease_ms == 4 * 1500
    assert settings.adapter.target_address == "10.1.0.38:8145"
    bounds = settings.adapter.bounds
    assert (bounds.retry_ratio, bounds.n_retries_min) == (0.3, 9)
    # A missing bound has the platform's default.
    assert bounds.retry_window_ms == 10_000


def test_notice_and_drain_end_before_the_process_is_killed():
    settings = parse_all_settings(render_settings()).unwrap()
    calls = settings.product.calls
    grace_ms = settings.adapter.bounds.grace_ms
    assert calls.stop_notice_ms + calls.drain_timeout_ms <= grace_ms - 500


@pytest.mark.parametrize("grace_s", [6, 10, 30])
def test_drain_timeout_uses_the_grace_period_of_the_platform(grace_s):
    """Guards against a daemon that answers a call while its target still runs it."""
    settings = parse_all_settings(render_settings(f"grace_s = {grace_s}\n")).unwrap()
    calls = settings.product.calls
    stop_ms = calls.stop_notice_ms + calls.drain_timeout_ms
    # Calls that run into the last sixth of the grace period may be aborted.
    assert grace_s * 1000 * 5 / 6 <= stop_ms <= grace_s * 1000 - 500


@pytest.mark.parametrize(
    ("text", "where"),
    [
        (render_settings()[:-40] + "=", "document"),
        (render_settings().replace("[adapter]", "[other]"), "other"),
        (render_settings(app_addr="nowhere"), "adapter.target_address"),
        (render_settings(zone='"'), "document"),
        (render_settings().replace("10.1.0.38:8147", "nowhere"), "callers.address"),
    ],
)
def test_faulty_setting_is_reported_with_its_path(text, where):
    faults = parse_all_settings(text).unwrap_err()
    assert any(fault.where == where for fault in faults)


def test_slow_link_allows_longer_silence_of_streams():
    fast = parse_all_settings(render_settings()).unwrap().product.calls
    slow = parse_all_settings(render_settings(**{"limits.link_mbps": "5.0"})).unwrap()
    assert fast.stream_silence_ms == 504
    assert slow.product.calls.stream_silence_ms == 1300


def test_bounds_on_keys_quotas_and_rollouts_are_settings_of_the_product():
    bounds = (
        "config_apply_ms=2500\nrevoke_fail_closed=true\nrevoke_ms=5000\n"
        "quota_window_s=5\nquota_overage=0.1\nquota_slack=20\n"
        "expose_share=0.1\nexpose_slack=50\nrollback_ms=5000\n"
    )
    product = parse_all_settings(render_settings(bounds)).unwrap().product
    assert product.accounts.proof_age_max_ms == 4000
    assert product.accounts.unknown_key_age_max_ms == 2500
    assert product.quotas.window_ms == 5000
    assert product.quotas.n_slack == 20
    assert product.rollouts.exposure_percent == 10.0
    assert product.rollouts.n_exposed_extra == 50
    assert product.rollouts.is_enabled


def test_deployment_without_these_bounds_keeps_them_disabled():
    product = parse_all_settings(render_settings(BOUNDS)).unwrap().product
    assert product.accounts.proof_age_max_ms == 0
    assert not product.rollouts.is_enabled
