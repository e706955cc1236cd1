"""Keeps unused libraries out of the daemon; called before anything imports them.

structlog imports rich for coloured tracebacks wherever it is installed, as it is
where the operators' command line shares the environment; asyncio imports ssl, and
hashlib the OpenSSL form of hashes that it also has built in. The daemon writes JSON
and speaks plain TCP, and needs none of their memory. Each importer does without them
when the import fails; ssl leaves this list when the daemon speaks TLS.
"""

from __future__ import annotations

import sys
from typing import Final

ABSENT_MODULES: Final = ("rich", "ssl", "_hashlib")


def leave_out() -> None:
    """Make the imports of these modules fail, unless they are there already."""
    for name in ABSENT_MODULES:
        sys.modules.setdefault(name, None)


def bring_back() -> None:
    """Let these modules be imported again, for a library that needs them.

    What has done without them so far goes on doing so.
    """
    for name in ABSENT_MODULES:
        if sys.modules.get(name, sys) is None:
            del sys.modules[name]


__all__ = ["ABSENT_MODULES", "bring_back", "leave_out"]
