"""The list of known failures, and fleets of real processes for tests."""

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
        help="daemon that the process tests start; the naive one shows what they find",
    )


def pytest_configure(config: pytest.Config) -> None:
    path = config.rootpath / "KNOWN-RED.txt"
    config.pluginmanager.register(KnownRedPlugin(path))


@pytest.fixture
def fleet(request: pytest.FixtureRequest) -> Iterator[Fleet]:
    """An empty fleet with a platform stand-in, stopped after the test."""
    with running_fleet(DAEMONS[request.config.getoption("--daemon")]) as fleet:
        fleet.start_platform()
        yield fleet
