"""A pytest plug-in for known failures, which KNOWN-RED.txt lists.

A listed test that fails is printed and does not fail the run. The run fails if an
unlisted test fails, if a listed test passes or does not exist, or if the list is
longer than allowed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import pytest

N_LISTED_MAX: Final = 3
_N_FIELDS: Final = 4


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One entry of the list."""

    test: str
    cause: str
    command: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """Parse the list, or raise ValueError for a line with missing fields."""
    lines = (line.strip() for line in text.splitlines())
    return [_parse_line(line) for line in lines if line and not line.startswith("#")]


def iter_list_faults(
    listed: Iterable[KnownRed], collected: set[str], passed: set[str]
) -> Iterator[str]:
    """Yield a message if the list is too long, and for each outdated entry."""
    listed = list(listed)
    if len(listed) > N_LISTED_MAX:
        yield f"KNOWN-RED.txt lists {len(listed)} tests, at most {N_LISTED_MAX} allowed"
    files = {test.partition("::")[0] for test in collected}
    for entry in listed:
        if entry.test in passed:
            yield f"{entry.test} passes: remove it from KNOWN-RED.txt"
        is_here = entry.test.partition("::")[0] in files
        if is_here and entry.test not in collected:
            yield f"{entry.test} does not exist: remove it from KNOWN-RED.txt"


class KnownRedPlugin:
    """Tolerates failures of listed tests, and fails the run if the list is outdated."""

    def __init__(self, path: Path) -> None:
        text = path.read_text() if path.exists() else ""
        self._listed = {entry.test: entry for entry in read_known_red(text)}
        self._collected: set[str] = set()
        self._failed: set[str] = set()
        self._passed: set[str] = set()
        self._faults: list[str] = []

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        self._collected = {item.nodeid for item in session.items}

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.failed:
            self._failed.add(report.nodeid)
        elif report.when == "call" and report.passed:
            self._passed.add(report.nodeid)

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        passed = self._passed - self._failed
        listed = self._listed.values()
        self._faults = list(iter_list_faults(listed, self._collected, passed))
        if self._faults:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED
        elif self._failed and self._failed <= self._listed.keys():
            session.exitstatus = pytest.ExitCode.OK

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        for test in sorted(self._failed & self._listed.keys()):
            terminalreporter.write_line(f"KNOWN RED {test}: {self._listed[test].cause}")
        for fault in self._faults:
            terminalreporter.write_line(f"KNOWN-RED FAULT {fault}")


def _parse_line(line: str) -> KnownRed:
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != _N_FIELDS or not all(fields):
        raise ValueError(
            f"KNOWN-RED.txt: expected test | cause | command | issue, not {line!r}"
        )
    return KnownRed(*fields)


__all__ = ["KnownRed", "KnownRedPlugin", "iter_list_faults", "read_known_red"]
