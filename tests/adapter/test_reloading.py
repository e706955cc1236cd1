"""Tests of reloading the settings file while the daemon runs."""

from __future__ import annotations

import asyncio

from pepperstair_adapter import reloading
from pepperstair_adapter.reloading import SettingsFile
from pepperstair_adapter.settings import parse_all_settings
from pepperstair_core.calls import BudgetTerms, FleetRetryBudget
from tests.adapter.documents import document
from tests.adapter.mesh import wait_until, with_mesh
from tests.adapter.test_settings import render_settings

MORE_RETRIES = "retry_budget_ratio = 0.5\nbudget_min_retries = 90\n"


def settings_file(tmp_path) -> SettingsFile:
    """Return a `SettingsFile` with the settings of the first start."""
    path = tmp_path / "settings.toml"
    path.write_text(render_settings())
    return SettingsFile(path, parse_all_settings(render_settings()).unwrap())


def test_reload_applies_changed_bounds_together_with_a_changed_address(tmp_path):
    """The platform allows more retries; a new address has to wait for a restart."""
    file = settings_file(tmp_path)
    applied = []
    file.apply = applied.append
    text = render_settings(MORE_RETRIES, ip="10.1.0.39")
    (tmp_path / "settings.toml").write_text(text)
    file.reload()
    assert applied == [parse_all_settings(text).unwrap()]
    assert file.settings.adapter.bounds.n_retries_min == 90


def test_invalid_or_missing_file_leaves_the_last_settings_in_force(tmp_path):
    """The file is truncated or missing at the moment of the signal."""
    file = settings_file(tmp_path)
    last_settings = file.settings
    path = tmp_path / "settings.toml"
    path.write_text(render_settings()[:200])
    file.reload()
    assert file.settings is last_settings
    path.unlink()
    file.reload()
    assert file.settings is last_settings


def test_change_without_a_signal_is_detected(tmp_path, monkeypatch):
    """The platform replaces the file without sending a signal."""
    monkeypatch.setattr(reloading, "_CHECK_INTERVAL_S", 0.005)
    file = settings_file(tmp_path)

    async def scenario() -> None:
        watch_task = asyncio.create_task(file.follow())
        new = tmp_path / "new.toml"
        new.write_text(render_settings(MORE_RETRIES))
        new.replace(tmp_path / "settings.toml")
        async with asyncio.timeout(10):
            while file.settings.adapter.bounds.n_retries_min != 90:
                await asyncio.sleep(0.005)
        watch_task.cancel()

    asyncio.run(scenario())


def test_budget_follows_changed_terms():
    """The platform allows fewer retries; those already used still count."""
    terms = BudgetTerms(0.0, 8, 10_000)
    budget = FleetRetryBudget(lambda: terms, lambda: 0.0, lambda: 1)
    assert all(budget.take("urgent") for _ in range(4))
    terms = BudgetTerms(0.0, 4, 10_000)
    assert not budget.take("urgent")


@with_mesh
async def test_running_daemon_reloads_changed_settings_without_a_signal(mesh):
    """The settings of a VM change without a signal to its daemon."""
    mesh.store.put("op", "config", document(7))
    vm = await mesh.add("vm-1", "ledger")
    await mesh.wait_until_ready()
    path = mesh.folder / "vm-1.toml"
    path.write_text(
        path.read_text().replace("stop_notice_ms = 2600", "stop_notice_ms = 100")
    )

    async def is_reloaded() -> bool:
        return "reloaded" in (mesh.folder / "vm-1.log").read_text()

    await wait_until(is_reloaded, "the changed settings are reloaded")
    assert await vm.call() == (200, b"vm-1")
