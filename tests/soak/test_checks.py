"""The checks of the soak: each must see what it is there for."""

from __future__ import annotations

from dataclasses import replace

from tests.soak.checks import N_POISONED_LATE_MAX, Broken, answer_body, iter_broken
from tests.soak.history import (
    Answer,
    Arrival,
    Call,
    Disturbance,
    History,
    Leaving,
    Route,
    Version,
)

SENT_S = 100.0


class Seen:
    """A history with one request that went well, for a test to change."""

    def __init__(self, *, is_idempotent: bool = True) -> None:
        self.history = History(
            services={"vm-1": "vault"}, slots={"i-1": 4}, healed_s=SENT_S - 50.0
        )
        self.version(1, "ledger", 0.0)
        self.is_idempotent = is_idempotent
        self.call("r1")
        self.arrive("r1")
        self.answer("r1")

    def version(self, number: int, service: str, at_s: float) -> None:
        """Write a version that routes to a service."""
        routes = {"/logs/": Route("/logs/", service, True, 1.0, 2)}
        self.history.versions.append(Version(number, routes, at_s))

    def call(self, request_id: str, sent_s: float = SENT_S) -> None:
        """Send a request."""
        self.history.calls[request_id] = Call(
            request_id,
            "vm-1",
            1,
            "/logs/1/10",
            "/logs/",
            "digest",
            self.is_idempotent,
            1.0,
            sent_s,
        )

    def arrive(self, request_id: str, at_s: float = SENT_S, **more) -> None:
        """Let it run on an instance."""
        told = {"service": "ledger", "path": "/logs/1/10", "n_running": 1, **more}
        arrival = Arrival(
            request_id,
            "i-1",
            told["service"],
            "vm-1",
            told["path"],
            "digest",
            "vault",
            at_s,
            told["n_running"],
        )
        self.history.arrivals[request_id].append(arrival)

    def answer(
        self, request_id: str, status: int = 200, at_s: float = SENT_S + 0.1, **more
    ) -> None:
        """Answer it; the instance's own answer where nothing else is said."""
        told = {
            "body": answer_body(request_id, 10),
            "signature": f"signed-{request_id}",
            **more,
        }
        self.history.answers[request_id] = Answer(status=status, at_s=at_s, **told)

    def promises(self) -> list[str]:
        """Return the promises that are broken."""
        return [broken.promise for broken in iter_broken(self.history)]


def test_history_in_which_all_went_well_breaks_nothing():
    assert Seen().promises() == []


def test_answer_of_another_request_is_seen():
    """A caller gets the answer that was meant for somebody else."""
    seen = Seen()
    seen.answer("r1", body=answer_body("r2", 10))
    assert seen.promises() == ["own answer"]


def test_answer_that_was_cut_is_seen():
    """A connection ends early and the part that came looks like all of it."""
    seen = Seen()
    seen.answer("r1", body=answer_body("r1", 9))
    assert seen.promises() == ["whole answer"]


def test_request_that_nobody_sent_or_that_was_changed_is_seen():
    seen = Seen()
    seen.arrive("r9")
    assert seen.promises() == ["asked for"]
    seen = Seen()
    seen.history.arrivals.clear()
    seen.arrive("r1", path="/logs/2/10")
    assert seen.promises() == ["unchanged"]


def test_second_run_of_a_booking_is_seen():
    """A daemon sends a booking again although it may have run."""
    seen = Seen(is_idempotent=False)
    seen.arrive("r1")
    assert seen.promises() == ["at most once"]


def test_refusal_of_what_ran_is_seen():
    """A caller is told that nothing ran, books again and pays twice."""
    seen = Seen(is_idempotent=False)
    seen.answer("r1", 503)
    assert "not run" in seen.promises()


def test_more_instances_than_the_route_allows_are_seen():
    seen = Seen()
    seen.arrive("r1")
    seen.arrive("r1")
    assert seen.promises() == ["attempts"]


def test_request_after_the_acknowledged_leaving_is_seen():
    """An instance that leaves gets work that it will cut."""
    seen = Seen()
    seen.history.leavings["i-1"] = Leaving("i-1", "vm-1", SENT_S - 2.5)
    assert seen.promises() == ["drain"]
    seen.history.leavings["i-1"] = Leaving("i-1", "vm-1", SENT_S - 1.5)
    assert seen.promises() == []


def test_outdated_and_unknown_routes_are_seen():
    seen = Seen()
    seen.version(2, "vault", SENT_S - 2.5)
    assert seen.promises() == ["in force"]
    seen = Seen()
    seen.history.arrivals.clear()
    seen.arrive("r1", service="archive")
    assert seen.promises() == ["route"]


def test_version_that_goes_back_is_seen():
    """A daemon has routed by a version, and a second later by the one before."""
    seen = Seen()
    seen.version(2, "vault", SENT_S - 1.9)
    seen.call("r0", SENT_S - 1.0)
    seen.arrive("r0", SENT_S - 1.0, service="vault")
    seen.answer("r0", at_s=SENT_S - 0.9)
    assert seen.promises() == ["never back"]


def test_lost_route_is_seen():
    seen = Seen()
    seen.history.arrivals.clear()
    seen.answer("r1", 404)
    assert "denied" in seen.promises()


def test_requests_without_an_answer_are_seen():
    """A daemon holds requests past their time."""
    seen = Seen()
    for number in range(4):
        seen.call(f"late-{number}", SENT_S - 30.0)
        seen.answer(f"late-{number}", 504, SENT_S)
    assert "answered in time" in seen.promises()


def test_cut_by_a_stop_is_seen_and_one_beside_a_kill_is_not():
    """A daemon is told to stop and closes a connection with a request on it."""
    seen = Seen()
    planned = Disturbance("vm-1", "stop", SENT_S - 1.0, SENT_S + 5.0, True)
    seen.history.disturbances.append(planned)
    seen.answer("r1", 0, body=b"", signature="")
    assert "stops cut nothing" in seen.promises()
    killed = Disturbance("vm-2", "kill", SENT_S - 1.0, SENT_S)
    seen.history.disturbances.append(killed)
    assert "stops cut nothing" not in seen.promises()


def test_fleet_that_does_not_recover_is_seen():
    seen = Seen()
    seen.answer("r1", 503)
    broken = list(iter_broken(seen.history))
    assert broken == [Broken("recovers", "0 of 1 served afterwards")]


def test_poison_that_runs_on_is_seen():
    """Guards against a check that misses runs long after the third crash."""
    for n_late in (N_POISONED_LATE_MAX, N_POISONED_LATE_MAX + 1):
        seen = Seen()
        seen.history.poisoned_s += [SENT_S - 60.0, SENT_S - 50.0, SENT_S - 40.0]
        for index in range(n_late):
            request_id = f"p{index}"
            seen.call(request_id)
            call = seen.history.calls[request_id]
            seen.history.calls[request_id] = replace(call, is_poison=True)
            seen.arrive(request_id)
            seen.answer(request_id, 502)
        is_broken = n_late > N_POISONED_LATE_MAX
        assert seen.promises() == (["poison"] if is_broken else [])


def test_request_that_ran_behind_a_closing_answer_is_seen():
    """A daemon stops, and a booking stood behind the answer that closed its connection.

    Its caller holds it for unread and sends it again: it must not have run.
    """
    for is_idempotent in (False, True):
        seen = Seen(is_idempotent=is_idempotent)
        seen.call("r2")
        seen.arrive("r2")
        seen.answer("r2", 0, is_abandoned=True, is_unread=True)
        assert seen.promises() == ([] if is_idempotent else ["unread"])
