"""What targets state about themselves in the headers of their answers."""

from __future__ import annotations

import pytest

from pepperstair_http import (
    NO_STATEMENT,
    PRODUCT_HEADERS,
    HeaderNames,
    TargetStatement,
    read_statement,
)

NAMES = HeaderNames(rate_limit=b"x-limit", leaving=b"x-leaving")


@pytest.mark.parametrize(
    ("value", "limit_per_s"), [(b"31.4", 31.4), (b"0", 0.0), (b"7", 7.0), (b"5.", 5.0)]
)
def test_rate_limit_is_a_decimal_number(value, limit_per_s):
    statement = read_statement(((b"x-limit", value),), NAMES)
    assert statement == TargetStatement(rate_limit_per_s=limit_per_s)


@pytest.mark.parametrize(
    "value", [b"nan", b"inf", b"-1", b"1e9", b"1_0", b"", b"fast", b"9" * 400]
)
def test_invalid_rate_limit_is_no_limit(value):
    """Guards against a limit that no code can calculate with, such as infinity."""
    statement = read_statement(((b"x-limit", value),), NAMES)
    assert statement == TargetStatement(invalid_limit=value)


@pytest.mark.parametrize(
    ("value", "is_leaving"), [(b"1", True), (b"0", False), (b"", False)]
)
def test_leaving_is_stated_by_the_value_1(value, is_leaving):
    statement = read_statement(((b"x-leaving", value),), NAMES)
    assert statement.is_leaving is is_leaving


def test_headers_that_the_deployment_does_not_use_state_nothing():
    headers = ((b"", b"1"), (b"x-limit", b"3"), (b"x-leaving", b"1"))
    assert read_statement(headers, PRODUCT_HEADERS) is NO_STATEMENT
