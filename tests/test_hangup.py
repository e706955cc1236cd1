"""SIGHUP that comes while a daemon starts."""

from __future__ import annotations

import signal

import pytest

from pepperstair_adapter import __main__ as adapter
from pepperstaird import __main__ as product
from pepperstaird import light_imports


class _Reached(Exception):
    """The start has come to its long imports."""


@pytest.mark.parametrize("start", ["adapter", "product"])
def test_hangup_while_the_modules_are_imported_ends_no_daemon(monkeypatch, start):
    """A daemon is killed, and the settings change while the next one starts.

    Nobody handles the signal yet, and its default is to end the process; callers of
    the VM would wait for a third daemon.
    """
    handled = []

    def note() -> None:
        handled.append(signal.getsignal(signal.SIGHUP))
        raise _Reached

    monkeypatch.setattr(light_imports, "leave_out", note)
    monkeypatch.setattr(
        "sys.argv", ["pepperstaird", "--settings", "examples/vm-1.toml"]
    )
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        with pytest.raises(_Reached):
            (adapter if start == "adapter" else product).main()
    finally:
        signal.signal(signal.SIGHUP, before)
    assert handled == [signal.SIG_IGN]
