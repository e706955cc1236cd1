"""The plug-in for tests that are known to fail."""

from __future__ import annotations

import pytest

from tests.known_red import read_known_red

pytest_plugins = ["pytester"]

CONFTEST = """
from tests.known_red import KnownRedPlugin

def pytest_configure(config):
    config.pluginmanager.register(KnownRedPlugin(config.rootpath / "KNOWN-RED.txt"))
"""
TESTS = """
def test_good(): pass
def test_bad(): assert False
"""


def run(pytester: pytest.Pytester, *listed: str) -> pytest.RunResult:
    """Run a passing and a failing test with the given tests listed."""
    lines = [f"test_it.py::{name} | cause | make test | issue 1" for name in listed]
    (pytester.path / "KNOWN-RED.txt").write_text("# a comment\n" + "\n".join(lines))
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(test_it=TESTS)
    without = ("-p", "no:cacheprovider", "-p", "no:hypothesispytest")
    return pytester.runpytest_inprocess(*without)


def test_listed_failure_is_printed_and_tolerated(pytester):
    result = run(pytester, "test_bad")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["KNOWN RED test_it.py::test_bad: cause"])


def test_unlisted_failure_fails_the_run(pytester):
    assert run(pytester).ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize(
    ("listed", "line"),
    [
        (("test_bad", "test_good"), "*test_good passes: remove it from*"),
        (("test_bad", "test_gone"), "*test_gone does not exist: remove it from*"),
        (("test_bad", "a", "b", "c"), "*lists 4 tests, at most 3 allowed"),
    ],
)
def test_outdated_list_fails_the_run(pytester, listed, line):
    """Guards against entries of tests that were fixed or renamed.

    The list would hide the next real failure of a test with that name.
    """
    result = run(pytester, *listed)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines([f"KNOWN-RED FAULT {line}"])


def test_line_with_missing_fields_is_rejected():
    with pytest.raises(ValueError):
        read_known_red("test_it.py::test_bad | cause")
