"""The settings file, changed while the daemon runs."""

from __future__ import annotations

import asyncio

from pepperstair_adapter import reloading
from pepperstair_adapter.reloading import SettingsFile
from pepperstair_adapter.settings import parse_all_settings
from pepperstair_core.calls import BudgetTerms, FleetRetryBudget
from tests.adapter.documents import document
from tests.adapter.mesh import on_platform, until
from tests.adapter.test_settings import filled

MORE_RETRIES = "retry_budget_ratio = 0.5\nbudget_min_retries = 90\n"


def settings_file(tmp_path) -> SettingsFile:
    """Return a file with the settings of a first start."""
    path = tmp_path / "settings.toml"
    path.write_text(filled())
    return SettingsFile(path, parse_all_settings(filled()).unwrap())


def test_changed_bounds_are_taken_and_changed_addresses_wait(tmp_path):
    """The platform allows more retries, and another address from the next start on."""
    file = settings_file(tmp_path)
    applied = []
    file.apply = applied.append
    text = filled(MORE_RETRIES, ip="10.1.0.39")
    (tmp_path / "settings.toml").write_text(text)
    file.reload()
    assert applied == [parse_all_settings(text).unwrap()]
    assert file.settings.adapter.bounds.n_retries_min == 90


def test_file_that_is_wrong_or_gone_leaves_the_last_settings(tmp_path):
    """The file is cut short, or away, at the moment of the signal."""
    file = settings_file(tmp_path)
    known = file.settings
    path = tmp_path / "settings.toml"
    path.write_text(filled()[:200])
    file.reload()
    assert file.settings is known
    path.unlink()
    file.reload()
    assert file.settings is known


def test_change_without_a_signal_is_noticed(tmp_path, monkeypatch):
    """The platform replaces the file and says nothing."""
    monkeypatch.setattr(reloading, "_CHECK_INTERVAL_S", 0.005)
    file = settings_file(tmp_path)

    async def scenario() -> None:
        following = asyncio.create_task(file.follow())
        new = tmp_path / "new.toml"
        new.write_text(filled(MORE_RETRIES))
        new.replace(tmp_path / "settings.toml")
        async with asyncio.timeout(10):
            while file.settings.adapter.bounds.n_retries_min != 90:
                await asyncio.sleep(0.005)
        following.cancel()

    asyncio.run(scenario())


def test_budget_follows_changed_terms():
    """The platform allows fewer retries; what was used before still counts."""
    terms = BudgetTerms(0.0, 8, 10_000)
    budget = FleetRetryBudget(lambda: terms, lambda: 0.0, lambda: 1)
    assert all(budget.take("urgent") for _ in range(4))
    terms = BudgetTerms(0.0, 4, 10_000)
    assert not budget.take("urgent")


@on_platform
async def test_running_daemon_takes_changed_settings_without_a_signal(mesh):
    """The settings of a VM change; nobody tells its daemon."""
    mesh.store.put("op", "config", document(7))
    vm = await mesh.add("vm-1", "ledger")
    await mesh.ready()
    path = mesh.folder / "vm-1.toml"
    path.write_text(
        path.read_text().replace("stop_notice_ms = 2600", "stop_notice_ms = 100")
    )

    async def is_reloaded() -> bool:
        return "reloaded" in (mesh.folder / "vm-1.log").read_text()

    await until(is_reloaded, "the changed settings were read")
    assert await vm.call() == (200, b"vm-1")
