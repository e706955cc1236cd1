"""Real daemons that restart during an outage of the platform."""

from __future__ import annotations

from benchmarks.fleet import wait_until
from benchmarks.intents import apply_intent
from tests.process_fleet import (
    CUSTOMER,
    award_document,
    call,
    put_in_force,
    served_by,
    start_daemons,
    start_target,
    wait_in_force,
)


def test_restart_during_a_platform_outage(fleet):
    """A daemon is killed and restarted during an outage of the platform.

    It may refuse calls until its neighbours have sent the versions in force. If it
    served by an older version, calls would reach a service that was replaced; if it
    never served, every restart during a long outage would disable an instance.
    """
    daemons = start_daemons(fleet, 3)
    start_target(fleet, daemons[1], "ledger")
    start_target(fleet, daemons[2], "vault")
    put_in_force(fleet, award_document("ledger"), daemons[0])
    put_in_force(fleet, award_document("vault"), daemons[1])
    fleet.set_platform_faults(mode="outage")
    daemons[0].kill()
    restarted = fleet.restart_daemon(daemons[0])
    answers: list[str] = []

    def is_serving() -> bool:
        answers.append(served_by(call(restarted, f"call-{len(answers)}")))
        return answers[-1] == "vault"

    wait_until(is_serving, "an answer of vault through the restarted daemon")
    assert set(answers) <= {"", "vault"}


def test_restart_with_a_lagging_neighbour(fleet):
    """A daemon restarts in an outage while one neighbour lacks the last version.

    The lagging neighbour was paused when the version was distributed, and resumes
    while the daemon queries its neighbours. Trusting its answer would put the older
    version in force.
    """
    daemons = start_daemons(fleet, 3)
    start_target(fleet, daemons[2], "ledger")
    start_target(fleet, daemons[2], "vault")
    put_in_force(fleet, award_document("ledger"), daemons[0])
    daemons[1].pause()
    applied = apply_intent(daemons[0], CUSTOMER, award_document("vault"))
    assert applied.version == 2
    wait_in_force([daemons[0], daemons[2]], 2)
    fleet.set_platform_faults(mode="outage")
    daemons[0].kill()
    daemons[1].resume()
    restarted = fleet.restart_daemon(daemons[0])
    answers: list[str] = []

    def is_serving() -> bool:
        answers.append(served_by(call(restarted, f"call-{len(answers)}")))
        return answers[-1] == "vault"

    wait_until(is_serving, "an answer of vault through the restarted daemon")
    assert set(answers) <= {"", "vault"}
    wait_in_force(fleet.daemons, 2)
