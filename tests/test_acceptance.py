"""A change is accepted at most once, and its answer reports the real outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from result import Err, Ok, Result

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.intent import Intent, Route, Service
from pepperstair_platform import Accepted, ChangeRequest, Row, accept_change
from pepperstair_platform.rows import head_from_row, head_key

LOST = Err(Failure(ErrorKind.CHANGE_OUTCOME_UNKNOWN, "no answer in time"))
UNAVAILABLE = Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, "refused"))


class FakePlatform:
    """Stores rows and objects in memory; `commits` sets the next commits' outcomes."""

    def __init__(self) -> None:
        self.rows: dict[str, str] = {}
        self.objects: dict[str, bytes] = {}
        self.is_unavailable = False
        self.commits: list[str] = []
        self.late_commits: list[tuple] = []

    async def read_rows(self, prefix: str, customer: str = "") -> Result:
        await asyncio.sleep(0)
        if self.is_unavailable:
            return UNAVAILABLE
        found = sorted(self.rows.items())
        return Ok(tuple(Row(k, v) for k, v in found if k.startswith(prefix)))

    async def put_object(self, digest: str, data: bytes, customer: str = "") -> Result:
        await asyncio.sleep(0)
        if self.is_unavailable:
            return UNAVAILABLE
        self.objects[digest] = data
        return Ok(True)

    async def commit(self, compare: tuple, put: tuple, customer: str = "") -> Result:
        """Commit with the next outcome of `commits`, by default `commit`.

        The request (`lost`) or its answer (`answer lost`) may be lost, or the request
        is held back until a test applies it (`late`).
        """
        await asyncio.sleep(0)
        outcome = self.commits.pop(0) if self.commits else "commit"
        if outcome == "late":
            self.late_commits.append((compare, put))
            return LOST
        if outcome == "lost":
            return LOST
        is_done = self.apply(compare, put)
        return LOST if outcome == "answer lost" else Ok(is_done)

    def apply(self, compare: tuple, put: tuple) -> bool:
        """Apply a transaction, and return whether all comparisons held."""
        if any(self.rows.get(item.key) != item.value for item in compare):
            return False
        self.rows.update({row.key: row.value for row in put})
        return True

    def version(self) -> int:
        """Return the newest version of customer `lantern`, or 0."""
        text = self.rows.get(head_key("lantern"))
        return head_from_row(Row("", text)).version if text else 0


def request(change_id: str, path: str = "/a", **more: object) -> ChangeRequest:
    """Return a change of the path of `lantern`'s only route."""
    route = Route("award", path, "ledger")
    intent = Intent("lantern", (Service("ledger", "app=ledger"),), (route,))
    fields = {"from_version": None, "is_asked_again": False, **more}
    return ChangeRequest(
        intent, change_id, fields["from_version"], "vm-1", 0, fields["is_asked_again"]
    )


def accept(platform: FakePlatform, change: ChangeRequest) -> Result[Accepted, Failure]:
    """Run `accept_change` to its end."""
    return asyncio.run(accept_change(platform, change))


def test_one_of_several_concurrent_changes_is_accepted():
    """Operators concurrently change the same routes from the same version.

    If two received `accepted`, one of the changes would be lost.
    """
    platform = FakePlatform()
    accept(platform, request("first"))

    async def race() -> list[Result[Accepted, Failure]]:
        changes = [request(f"c{n}", f"/{n}", from_version=1) for n in range(8)]
        return await asyncio.gather(*[accept_change(platform, c) for c in changes])

    answers = asyncio.run(race())
    won = [answer for answer in answers if answer.is_ok()]
    lost = {answer.unwrap_err().text for answer in answers if answer.is_err()}
    assert len(won) == 1 and platform.version() == 2
    assert all("start from version 2" in text for text in lost)


def test_outcome_is_found_after_a_lost_answer():
    """The platform commits, but its answer is lost.

    The daemon reads the change's row, so the operator receives the outcome.
    """
    platform = FakePlatform()
    platform.commits = ["answer lost"]
    assert accept(platform, request("c")).unwrap().snapshot.head.version == 1
    again = accept(platform, request("c")).unwrap()
    assert again.is_repeat and platform.version() == 1


def test_late_commits_have_no_effect_after_a_definite_failure():
    """The network delays two commits beyond the timeout.

    The operator was answered twice that nothing was accepted, and may since have
    decided to make another change. Neither commit may take effect.
    """
    platform = FakePlatform()
    for _ in range(2):
        platform.commits = ["late"]
        failure = accept(platform, request("c")).unwrap_err()
        assert failure.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert not any(platform.apply(*late) for late in platform.late_commits)
    assert platform.version() == 0


def test_abandoned_change_can_be_retried_with_its_id():
    """The operator repeats a change after it failed as `not accepted`.

    The late commit of the first attempt and the successful commit of the second are
    one change.
    """
    platform = FakePlatform()
    platform.commits = ["late"]
    accept(platform, request("c"))
    assert accept(platform, request("c")).unwrap().snapshot.head.version == 1
    assert not platform.apply(*platform.late_commits[0])
    assert accept(platform, request("c")).unwrap().is_repeat
    assert platform.version() == 1


@pytest.mark.parametrize("outcome", ["lost", "late", "answer lost"])
def test_unknown_outcome_is_resolved_by_a_repeated_request(outcome):
    """The platform stops answering during a commit.

    The outcome cannot be determined yet. After the platform has recovered, the same
    change id at any daemon returns the outcome, and nothing is committed twice.
    """
    platform = FakePlatform()
    platform.commits = [outcome, "lost"]
    read_rows, n_reads = platform.read_rows, 0

    async def fail_after_two(prefix: str, customer: str = "") -> Result:
        nonlocal n_reads
        n_reads += 1
        return UNAVAILABLE if n_reads > 2 else await read_rows(prefix, customer)

    platform.read_rows = fail_after_two
    failure = accept(platform, request("c")).unwrap_err()
    assert failure.kind is ErrorKind.CHANGE_OUTCOME_UNKNOWN
    platform.read_rows = read_rows
    again = accept(platform, request("c", is_asked_again=True))
    assert again.unwrap().snapshot.head.version == 1
    for late in platform.late_commits:
        platform.apply(*late)
    assert platform.version() == 1


def test_outage_is_not_accepted_unless_an_earlier_attempt_may_have_been():
    """The platform is unavailable; the second request repeats an earlier attempt.

    `Not accepted` would be wrong if the earlier attempt took effect.
    """
    platform = FakePlatform()
    platform.is_unavailable = True
    first = accept(platform, request("c")).unwrap_err()
    again = accept(platform, request("c", is_asked_again=True)).unwrap_err()
    assert first.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert again.kind is ErrorKind.CHANGE_OUTCOME_UNKNOWN


def test_lost_race_against_an_earlier_attempt_is_no_conflict():
    """A change is repeated while the commit of the first attempt is in transit.

    The platform fails when the daemon reads which commit was first. `Conflict` would
    make the operator repeat a change that was accepted.
    """
    platform = FakePlatform()
    platform.commits = ["late", "lost"]
    accept(platform, request("c"))
    commit, late = platform.commit, platform.late_commits[0]

    async def after_the_late_one(compare: tuple, put: tuple, customer: str) -> Result:
        platform.apply(*late)
        done = await commit(compare, put, customer)
        platform.is_unavailable = True
        return done

    platform.commit = after_the_late_one
    failure = accept(platform, request("c")).unwrap_err()
    assert failure.kind is ErrorKind.CHANGE_OUTCOME_UNKNOWN


def test_change_id_of_another_document_is_refused():
    platform = FakePlatform()
    accept(platform, request("c"))
    assert accept(platform, request("c", "/b")).unwrap_err().kind is ErrorKind.CONFLICT


def test_versions_have_no_gaps_under_any_commit_outcomes():
    """Each of three changes is repeated under all pairs of commit outcomes.

    Each change must take effect exactly once, and versions must have no gaps.
    """
    outcomes = ("commit", "lost", "answer lost", "late")
    for first in outcomes:
        for second in outcomes:
            platform = FakePlatform()
            for number in range(3):
                platform.commits = [first, second]
                change = request(f"c{number}", f"/{number}")
                accept(platform, change)
                settled = _repeat_until_accepted(
                    lambda p=platform, c=change: accept(p, c)
                )
                assert settled.snapshot.head.version == number + 1
                for late in platform.late_commits:
                    platform.apply(*late)
            assert platform.version() == 3


def _repeat_until_accepted(
    attempt: Callable[[], Result[Accepted, Failure]] | Awaitable,
) -> Accepted:
    for _ in range(5):
        answer = attempt()
        if answer.is_ok():
            return answer.unwrap()
    raise AssertionError("the outcome is still unknown after 5 attempts")
