"""Blocks the import of unused libraries, to save their memory in the daemon.

`block_imports` has to be called before anything imports them. structlog imports rich
for coloured tracebacks if it is installed, as it is in an environment shared with the
operators' command line; asyncio imports ssl; hashlib imports the OpenSSL
implementations of hashes that are also built in. The daemon writes JSON logs and uses
plain TCP, so it needs none of them. Each importer has a fallback for a failed import.
Remove ssl from the list when the daemon supports TLS.
"""

from __future__ import annotations

import sys
from typing import Final

BLOCKED_MODULES: Final = ("rich", "ssl", "_hashlib")


def block_imports() -> None:
    """Make imports of the blocked modules fail, unless they are already imported."""
    for name in BLOCKED_MODULES:
        sys.modules.setdefault(name, None)


def unblock_imports() -> None:
    """Allow the import of the blocked modules again, for a library that needs them.

    Modules that were imported without them keep their fallbacks.
    """
    for name in BLOCKED_MODULES:
        if sys.modules.get(name, sys) is None:
            del sys.modules[name]


__all__ = ["BLOCKED_MODULES", "unblock_imports", "block_imports"]
