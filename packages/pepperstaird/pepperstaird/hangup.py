"""Handling of SIGHUP while the daemon starts."""

from __future__ import annotations

import signal


def ignore_hangup() -> None:
    """Ignore SIGHUP until the daemon installs its own handler.

    SIGHUP announces changed settings, and its default action ends the process. A VM
    whose daemon was just killed may receive the signal while the next daemon imports
    its modules, which takes some tenths of a second; if the signal ended that process,
    the VM would be without a daemon for the same time again. Ignoring the signal loses
    no change, as the settings are read later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


__all__ = ["ignore_hangup"]
