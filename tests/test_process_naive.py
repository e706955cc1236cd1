"""The naive daemon, the baseline of the benchmarks, still works."""

from __future__ import annotations

from benchmarks.fleet import NAIVE_DAEMON, running_fleet
from tests.process_fleet import (
    award_document,
    call,
    put_in_force,
    served_by,
    start_daemons,
    start_target,
)


def test_naive_daemon_proxies_a_call():
    with running_fleet(NAIVE_DAEMON) as fleet:
        fleet.start_platform()
        daemons = start_daemons(fleet, 2)
        start_target(fleet, daemons[1], "ledger")
        put_in_force(fleet, award_document("ledger"), daemons[0])
        assert served_by(call(daemons[0], "award-1")) == "ledger"
