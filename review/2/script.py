"""A departure that was acknowledged while the store was down is forgotten."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand.departure import Times, run_case

TIMES = Times(
    down_at_s=2.0,
    heartbeat_sent_s=2.1,
    deregistered_s=2.2,
    heartbeat_arrives_s=5.6,
    ended_s=13.0,
)

if __name__ == "__main__":
    sys.exit(asyncio.run(run_case(Path(__file__).resolve().parent, TIMES)))
