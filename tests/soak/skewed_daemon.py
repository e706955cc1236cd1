"""Starts the daemon with a time of day that is skewed, as by a wrong system clock.

The first argument is a file that holds the seconds to add. The monotonic clocks are
not changed.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

from pepperstair_adapter.__main__ import main

_FILE = Path(sys.argv[1])
_true_time = time.time
_true_time_ns = time.time_ns


def _skew_s() -> float:
    try:
        return float(_FILE.read_text())
    except (OSError, ValueError):
        # The file is being rewritten or does not exist yet; the skew is zero then.
        return 0.0


time.time = lambda: _true_time() + _skew_s()
time.time_ns = lambda: _true_time_ns() + int(_skew_s() * 1e9)

if __name__ == "__main__":
    sys.exit(main())
