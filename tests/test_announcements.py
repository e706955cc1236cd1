"""What targets say of themselves, which may be anything."""

from __future__ import annotations

import pytest

from pepperstair_targets import TargetRegistry, handle_announcement

GOOD = b'{"address": "127.0.0.1:9101"}'


def announce(body: bytes, name: str = "ledger-1"):
    """Take an announcement at an empty registry."""
    return handle_announcement(TargetRegistry(6000), {}, name, body, 0)


def test_announcement_gives_a_lease():
    assert announce(GOOD).unwrap() == 6000


@pytest.mark.parametrize("body", [b"", b"\xff", b"[]", b"{", b"[" * 60_000])
def test_bytes_that_can_not_be_read_announce_no_target(body):
    """Guards against an announcement that fails inside the daemon."""
    assert announce(body).is_err()
