"""Real daemons that are killed and started again, one by one and in herds."""

from __future__ import annotations

from benchmarks.fleet import wait_until
from benchmarks.intents import apply_intent
from tests.process_fleet import (
    CUSTOMER,
    award_document,
    call,
    is_ready,
    put_in_force,
    served_by,
    start_daemons,
    start_target,
    version_of,
    wait_in_force,
)


def test_half_of_the_fleet_dies(fleet):
    """Half of the daemons die at once and come back while a change is made.

    The survivors must go on serving, and every daemon that returns must hold the
    change and all that was in force before.
    """
    daemons = start_daemons(fleet, 6)
    start_target(fleet, daemons[0], "ledger")
    put_in_force(fleet, award_document("ledger"), daemons[0])
    herd = daemons[1::2]
    for daemon in herd:
        daemon.process.kill()
    for daemon in herd:
        daemon.process.wait()
    assert served_by(call(daemons[2], "while-half-is-gone")) == "ledger"
    applied = apply_intent(daemons[2], CUSTOMER, award_document("ledger", 1500))
    assert applied.status == 200
    returned = [fleet.restart_daemon(daemon) for daemon in herd]
    wait_in_force(fleet.daemons, applied.version)
    wait_until(lambda: all(map(is_ready, returned)), "every daemon ready again")
    assert served_by(call(returned[0], "after-the-return")) == "ledger"


def test_versions_never_fall_on_any_daemon(fleet):
    """Changes follow each other quickly while daemons die and return.

    A version that falls on a proxy, even for an instant, sends callers where the
    operator had stopped sending them.
    """
    daemons = start_daemons(fleet, 4)
    put_in_force(fleet, award_document("ledger"), daemons[0])
    seen: dict[str, list[int]] = {daemon.vm: [] for daemon in daemons}
    for change in range(12):
        at = fleet.daemons[change % 3]
        document = award_document("ledger", 1000 + change)
        assert apply_intent(at, CUSTOMER, document).status == 200
        if change % 4 == 3:
            at.kill()
            fleet.restart_daemon(at)
            wait_until(lambda vm=at.vm: is_ready(_by_vm(fleet, vm)), "ready again")
        for daemon in fleet.daemons:
            held = version_of(daemon)
            if is_ready(daemon):
                seen[daemon.vm].append(held)
    wait_in_force(fleet.daemons, 13)
    for versions in seen.values():
        assert versions == sorted(versions)


def _by_vm(fleet, vm):
    return next(daemon for daemon in fleet.daemons if daemon.vm == vm)
