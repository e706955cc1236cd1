"""Tests of valid and malformed target announcements."""

from __future__ import annotations

import pytest

from pepperstair_targets import TargetRegistry, handle_announcement

GOOD = b'{"address": "127.0.0.1:9101"}'


def announce(body: bytes, name: str = "ledger-1"):
    """Handle an announcement with an empty registry."""
    return handle_announcement(TargetRegistry(6000), {}, name, body, 0)


def test_announcement_gives_a_lease():
    assert announce(GOOD).unwrap() == 6000


@pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b"{", b"[" * 60_000])
def test_malformed_announcement_is_rejected(body):
    """Guards against a malformed announcement that raises inside the daemon."""
    assert announce(body).is_err()
