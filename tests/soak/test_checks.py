"""Each check of the soak must detect the violations that it is meant to detect."""

from __future__ import annotations

from dataclasses import replace

from tests.soak.checks import (
    N_LATE_POISON_RUNS_MAX,
    Violation,
    answer_body,
    iter_violations,
)
from tests.soak.history import (
    Answer,
    Arrival,
    Call,
    Departure,
    Disturbance,
    History,
    Route,
    StatedLimit,
    Version,
)

SENT_S = 100.0


class HistoryExample:
    """A history with one successful request, which a test changes."""

    def __init__(self, *, is_idempotent: bool = True) -> None:
        self.history = History(
            services={"vm-1": "vault"}, slots={"i-1": 4}, faults_ended_s=SENT_S - 50.0
        )
        self.version(1, "ledger", 0.0)
        self.is_idempotent = is_idempotent
        self.call("r1")
        self.arrive("r1")
        self.answer("r1")

    def version(self, number: int, service: str, at_s: float) -> None:
        """Record a version that routes to a service."""
        routes = {"/logs/": Route("/logs/", service, True, 1.0, 2)}
        self.history.versions.append(Version(number, routes, at_s))

    def call(self, request_id: str, sent_s: float = SENT_S) -> None:
        """Record a sent request."""
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

    def arrive(self, request_id: str, at_s: float = SENT_S, **overrides) -> None:
        """Record the arrival of a request at an instance."""
        fields = {
            "service": "ledger",
            "path": "/logs/1/10",
            "n_running": 1,
            **overrides,
        }
        arrival = Arrival(
            request_id,
            "i-1",
            fields["service"],
            "vm-1",
            fields["path"],
            "digest",
            "vault",
            at_s,
            fields["n_running"],
        )
        self.history.arrivals[request_id].append(arrival)

    def answer(
        self,
        request_id: str,
        status: int = 200,
        at_s: float = SENT_S + 0.1,
        **overrides,
    ) -> None:
        """Record the answer to a request, by default the one of the instance."""
        fields = {
            "body": answer_body(request_id, 10),
            "signature": f"signed-{request_id}",
            **overrides,
        }
        self.history.answers[request_id] = Answer(status=status, at_s=at_s, **fields)

    def add_answered(self, request_id: str, sent_s: float) -> None:
        """Record a request that the instance answered at once."""
        self.call(request_id, sent_s)
        self.arrive(request_id, sent_s)
        self.answer(request_id, at_s=sent_s + 0.01)

    def violated_guarantees(self) -> list[str]:
        """Return the names of the violated guarantees."""
        return [violation.guarantee for violation in iter_violations(self.history)]


def test_history_without_failures_violates_no_guarantee():
    assert HistoryExample().violated_guarantees() == []


def test_answer_of_another_request_is_detected():
    """Guards against a caller that receives the answer to another request."""
    example = HistoryExample()
    example.answer("r1", body=answer_body("r2", 10))
    assert example.violated_guarantees() == ["answer to own request"]


def test_truncated_answer_is_detected():
    """Guards against a body that looks complete although its connection ended early."""
    example = HistoryExample()
    example.answer("r1", body=answer_body("r1", 9))
    assert example.violated_guarantees() == ["complete answer"]


def test_unsent_or_altered_request_is_detected():
    example = HistoryExample()
    example.arrive("r9")
    assert example.violated_guarantees() == ["sent by a caller"]
    example = HistoryExample()
    example.history.arrivals.clear()
    example.arrive("r1", path="/logs/2/10")
    assert example.violated_guarantees() == ["unchanged"]


def test_second_run_of_a_non_idempotent_request_is_detected():
    """Guards against a daemon that resends such a request although it may have run."""
    example = HistoryExample(is_idempotent=False)
    example.arrive("r1")
    assert example.violated_guarantees() == ["at most once"]


def test_refusal_of_a_request_that_ran_is_detected():
    """Guards against a double booking by a caller that was refused as not run."""
    example = HistoryExample(is_idempotent=False)
    example.answer("r1", 503)
    assert "not run" in example.violated_guarantees()


def test_more_attempts_than_the_route_allows_are_detected():
    example = HistoryExample()
    example.arrive("r1")
    example.arrive("r1")
    assert example.violated_guarantees() == ["attempts"]


def test_request_after_the_acknowledged_departure_is_detected():
    """Guards against requests to a departing instance, which fail when it ends."""
    example = HistoryExample()
    example.history.departures["i-1"] = Departure("i-1", "vm-1", SENT_S - 2.5)
    assert example.violated_guarantees() == ["drain"]
    example.history.departures["i-1"] = Departure("i-1", "vm-1", SENT_S - 1.5)
    assert example.violated_guarantees() == []


def test_outdated_and_unknown_routes_are_detected():
    example = HistoryExample()
    example.version(2, "vault", SENT_S - 2.5)
    assert example.violated_guarantees() == ["in force"]
    example = HistoryExample()
    example.history.arrivals.clear()
    example.arrive("r1", service="archive")
    assert example.violated_guarantees() == ["route"]


def test_return_to_an_older_version_is_detected():
    """Guards against a daemon that routes by version 2 and a second later by 1."""
    example = HistoryExample()
    example.version(2, "vault", SENT_S - 1.9)
    example.call("r0", SENT_S - 1.0)
    example.arrive("r0", SENT_S - 1.0, service="vault")
    example.answer("r0", at_s=SENT_S - 0.9)
    assert example.violated_guarantees() == ["no version regression"]


def test_lost_route_is_detected():
    example = HistoryExample()
    example.history.arrivals.clear()
    example.answer("r1", 404)
    assert "denied" in example.violated_guarantees()


def test_requests_without_an_answer_are_detected():
    """Guards against a daemon that holds requests past their deadline."""
    example = HistoryExample()
    for number in range(4):
        example.call(f"late-{number}", SENT_S - 30.0)
        example.answer(f"late-{number}", 504, SENT_S)
    assert "answered in time" in example.violated_guarantees()


def test_request_lost_by_a_stop_is_detected_unless_a_daemon_was_killed():
    """Guards against a stopping daemon that closes a connection in use."""
    example = HistoryExample()
    planned = Disturbance("vm-1", "stop", SENT_S - 1.0, SENT_S + 5.0, True)
    example.history.disturbances.append(planned)
    example.answer("r1", 0, body=b"", signature="")
    assert "no loss by planned work" in example.violated_guarantees()
    killed = Disturbance("vm-2", "kill", SENT_S - 1.0, SENT_S)
    example.history.disturbances.append(killed)
    assert "no loss by planned work" not in example.violated_guarantees()


def test_fleet_that_does_not_recover_is_detected():
    example = HistoryExample()
    example.answer("r1", 503)
    violations = list(iter_violations(example.history))
    assert violations == [Violation("recovers", "0 of 1 served after recovery")]


def test_late_runs_of_a_poison_request_are_detected():
    """Guards against runs of a poison request long after the third crash."""
    for n_late in (N_LATE_POISON_RUNS_MAX, N_LATE_POISON_RUNS_MAX + 1):
        example = HistoryExample()
        example.history.poison_crashes_s += [
            SENT_S - 60.0,
            SENT_S - 50.0,
            SENT_S - 40.0,
        ]
        for index in range(n_late):
            request_id = f"p{index}"
            example.call(request_id)
            call = example.history.calls[request_id]
            example.history.calls[request_id] = replace(call, is_poison=True)
            example.arrive(request_id)
            example.answer(request_id, 502)
        is_violated = n_late > N_LATE_POISON_RUNS_MAX
        assert example.violated_guarantees() == (["poison"] if is_violated else [])


def test_request_that_ran_despite_a_closing_answer_is_detected():
    """Guards against runs of requests that follow an answer that closes the connection.

    A daemon stops and closes the connection before a booking that was pipelined. Its
    caller takes it for unread and sends it again, so it must not have run.
    """
    for is_idempotent in (False, True):
        example = HistoryExample(is_idempotent=is_idempotent)
        example.call("r2")
        example.arrive("r2")
        example.answer("r2", 0, is_abandoned=True, is_unread=True)
        assert example.violated_guarantees() == ([] if is_idempotent else ["unread"])


def test_requests_over_a_stated_limit_are_detected():
    """Guards against a soak in which daemons may ignore the limits of instances."""
    example = HistoryExample()
    example.history.stated_limits.append(
        StatedLimit("i-1", 2.0, SENT_S - 1.0, SENT_S + 60.0)
    )
    for index in range(17):
        example.add_answered(f"a{index}", SENT_S + 4.0 + index / 10)
    assert example.violated_guarantees() == []
    example.add_answered("one-more", SENT_S + 5.9)
    assert example.violated_guarantees() == ["rate limit"]
    example.history.disturbances.append(
        Disturbance("vm-1", "kill", SENT_S + 1.0, SENT_S + 1.5)
    )
    assert example.violated_guarantees() == []


def test_request_after_a_stated_leaving_is_detected():
    """Guards against a soak in which only announced departures count."""
    example = HistoryExample()
    example.history.stated_leaving_s["i-1"] = SENT_S - 1.0
    example.add_answered("soon", SENT_S + 1.9)
    assert example.violated_guarantees() == []
    example.add_answered("late", SENT_S + 3.0)
    assert example.violated_guarantees() == ["stated leaving"]
    example.history.disturbances.append(
        Disturbance("vm-1", "kill", SENT_S + 1.0, SENT_S + 1.5)
    )
    assert example.violated_guarantees() == []
