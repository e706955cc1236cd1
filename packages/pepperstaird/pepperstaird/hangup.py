"""Handling of SIGHUP while the daemon starts."""

from __future__ import annotations

import signal


def ignore_hangup() -> None:
    """Ignore SIGHUP until the daemon installs its own handler.

    SIGHUP announces changed settings, and its default action ends the process. A VM
    whose daemon was just killed may receive the signal while the next daemon imports
    its modules, which takes some tenths of a second; ending that process would leave
    the VM without a daemon for that time again. Ignoring the signal loses no change,
    as the settings are read later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


__all__ = ["ignore_hangup"]
