"""Daemon processes that are killed and restarted, one by one and in groups."""

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


def test_crash_of_half_of_the_fleet_keeps_service_and_versions(fleet):
    """Half of the daemons crash at once and restart while a change is made.

    The others must continue to serve calls, and every restarted daemon must hold the
    change and everything that was in force before.
    """
    daemons = start_daemons(fleet, 6)
    start_target(fleet, daemons[0], "ledger")
    put_in_force(fleet, award_document("ledger"), daemons[0])
    killed = daemons[1::2]
    for daemon in killed:
        daemon.process.kill()
    for daemon in killed:
        daemon.process.wait()
    assert served_by(call(daemons[2], "while-half-is-gone")) == "ledger"
    applied = apply_intent(daemons[2], CUSTOMER, award_document("ledger", 1500))
    assert applied.status == 200
    restarted = [fleet.restart_daemon(daemon) for daemon in killed]
    wait_in_force(fleet.daemons, applied.version)
    wait_until(lambda: all(map(is_ready, restarted)), "every daemon ready again")
    assert served_by(call(restarted[0], "after-the-return")) == "ledger"


def test_versions_never_decrease_on_any_daemon(fleet):
    """Changes follow each other quickly while daemons crash and restart.

    If the version on a proxy decreased, even for an instant, calls would be routed
    to where the operator had stopped routing them.
    """
    daemons = start_daemons(fleet, 4)
    put_in_force(fleet, award_document("ledger"), daemons[0])
    versions_by_vm: dict[str, list[int]] = {daemon.vm: [] for daemon in daemons}
    for change in range(12):
        accepting_daemon = fleet.daemons[change % 3]
        document = award_document("ledger", 1000 + change)
        assert apply_intent(accepting_daemon, CUSTOMER, document).status == 200
        if change % 4 == 3:
            accepting_daemon.kill()
            fleet.restart_daemon(accepting_daemon)
            wait_until(
                lambda vm=accepting_daemon.vm: is_ready(_by_vm(fleet, vm)),
                "ready again",
            )
        for daemon in fleet.daemons:
            held = version_of(daemon)
            if is_ready(daemon):
                versions_by_vm[daemon.vm].append(held)
    wait_in_force(fleet.daemons, 13)
    for versions in versions_by_vm.values():
        assert versions == sorted(versions)


def _by_vm(fleet, vm):
    return next(daemon for daemon in fleet.daemons if daemon.vm == vm)
