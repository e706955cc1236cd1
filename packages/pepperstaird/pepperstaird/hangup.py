"""What SIGHUP does to a daemon that is only starting."""

from __future__ import annotations

import signal


def ignore_hangup() -> None:
    """Ignore SIGHUP until the daemon has its own way to take it.

    The signal says that the settings have changed, and ends a process that does not
    handle it. A VM whose daemon has just been killed gets one while the next daemon
    is importing its modules, for some tenths of a second, and would stay without a
    daemon for that time once more. Nothing is lost by ignoring it: the settings are
    read after this.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


__all__ = ["ignore_hangup"]
