"""SIGHUP during the start of a daemon."""

from __future__ import annotations

import signal

import pytest

from pepperstair_adapter import __main__ as adapter
from pepperstaird import __main__ as product
from pepperstaird import light_imports


class _ImportsReached(Exception):
    """Raised when the start reaches its long imports."""


@pytest.mark.parametrize("start", ["adapter", "product"])
def test_hangup_during_imports_does_not_end_the_daemon(monkeypatch, start):
    """The settings change while a daemon restarts after it was killed.

    No handler is installed yet, and the default action of SIGHUP ends the process, so
    callers of the VM would wait for a third daemon.
    """
    handlers = []

    def record_handler() -> None:
        handlers.append(signal.getsignal(signal.SIGHUP))
        raise _ImportsReached

    monkeypatch.setattr(light_imports, "block_imports", record_handler)
    monkeypatch.setattr(
        "sys.argv", ["pepperstaird", "--settings", "examples/vm-1.toml"]
    )
    previous_handler = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        with pytest.raises(_ImportsReached):
            (adapter if start == "adapter" else product).main()
    finally:
        signal.signal(signal.SIGHUP, previous_handler)
    assert handlers == [signal.SIG_IGN]
