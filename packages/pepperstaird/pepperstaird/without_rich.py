"""Keeps rich out of the daemon; imported before anything that imports structlog.

structlog imports rich for coloured tracebacks wherever it is installed, as it is
where the operators' command line shares the environment. The daemon writes JSON
only, and the import would cost several of the 32 MB that it may use.
"""

from __future__ import annotations

import sys

sys.modules.setdefault("rich", None)
