"""Registers the plug-in for known failures and the fixture of real processes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from benchmarks.fleet import NAIVE_DAEMON, PEPPERSTAIRD, Fleet, running_fleet
from tests.known_red import KnownRedPlugin

DAEMONS = {"pepperstaird": PEPPERSTAIRD, "naive": NAIVE_DAEMON}


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--daemon",
        choices=tuple(DAEMONS),
        default="pepperstaird",
        help="daemon under test; the naive one shows which failures the tests detect",
    )


def pytest_configure(config: pytest.Config) -> None:
    path = config.rootpath / "KNOWN-RED.txt"
    config.pluginmanager.register(KnownRedPlugin(path))


@pytest.fixture
def fleet(request: pytest.FixtureRequest) -> Iterator[Fleet]:
    """Provide a fleet with a platform stand-in only, and stop it after the test."""
    with running_fleet(DAEMONS[request.config.getoption("--daemon")]) as fleet:
        fleet.start_platform()
        yield fleet
