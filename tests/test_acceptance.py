"""A change is accepted once, and its answer tells the truth."""

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
OUT = Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, "refused"))


class FakePlatform:
    """Rows and objects in memory; `on_commit` decides about the next commits."""

    def __init__(self) -> None:
        self.rows: dict[str, str] = {}
        self.objects: dict[str, bytes] = {}
        self.is_out = False
        self.commits: list[str] = []
        self.late: list[tuple] = []

    async def read_rows(self, prefix: str, customer: str = "") -> Result:
        await asyncio.sleep(0)
        if self.is_out:
            return OUT
        found = sorted(self.rows.items())
        return Ok(tuple(Row(k, v) for k, v in found if k.startswith(prefix)))

    async def put_object(self, digest: str, data: bytes, customer: str = "") -> Result:
        await asyncio.sleep(0)
        if self.is_out:
            return OUT
        self.objects[digest] = data
        return Ok(True)

    async def commit(self, compare: tuple, put: tuple, customer: str = "") -> Result:
        """Commit as the next of `commits` says: whole, lost before or after."""
        await asyncio.sleep(0)
        what = self.commits.pop(0) if self.commits else "commit"
        if what == "late":
            self.late.append((compare, put))
            return LOST
        if what == "lost":
            return LOST
        is_done = self.apply(compare, put)
        return LOST if what == "answer lost" else Ok(is_done)

    def apply(self, compare: tuple, put: tuple) -> bool:
        """Do a transaction."""
        if any(self.rows.get(item.key) != item.value for item in compare):
            return False
        self.rows.update({row.key: row.value for row in put})
        return True

    def version(self) -> int:
        """Return the newest version of lantern."""
        text = self.rows.get(head_key("lantern"))
        return head_from_row(Row("", text)).version if text else 0


def request(change_id: str, path: str = "/a", **more: object) -> ChangeRequest:
    """Return a change of lantern's only route."""
    route = Route("award", path, "ledger")
    intent = Intent("lantern", (Service("ledger", "app=ledger"),), (route,))
    fields = {"from_version": None, "is_asked_again": False, **more}
    return ChangeRequest(
        intent, change_id, fields["from_version"], "vm-1", 0, fields["is_asked_again"]
    )


def accept(platform: FakePlatform, change: ChangeRequest) -> Result[Accepted, Failure]:
    """Ask one daemon to accept a change."""
    return asyncio.run(accept_change(platform, change))


def test_one_of_many_racing_operators_wins():
    """Operators start from the same version and change the same routes at once.

    Were two told `accepted`, one of them would never see its change.
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


def test_answer_lost_after_the_commit_is_found():
    """The platform commits, and its answer is lost on the way back.

    The daemon looks the change up, so the operator is told what happened.
    """
    platform = FakePlatform()
    platform.commits = ["answer lost"]
    assert accept(platform, request("c")).unwrap().snapshot.head.version == 1
    again = accept(platform, request("c")).unwrap()
    assert again.is_repeat and platform.version() == 1


def test_commits_that_arrive_late_take_no_effect_after_a_certain_answer():
    """Two commits are held up in the network past the timeout and arrive later.

    The operator was told twice that nothing was accepted, and has perhaps
    decided otherwise since: neither commit may take effect.
    """
    platform = FakePlatform()
    for _ in range(2):
        platform.commits = ["late"]
        failure = accept(platform, request("c")).unwrap_err()
        assert failure.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert not any(platform.apply(*late) for late in platform.late)
    assert platform.version() == 0


def test_abandoned_change_may_be_tried_again_with_its_id():
    """The operator repeats the command after it was told `not accepted`.

    The late commits of both attempts and the one that succeeds are one change.
    """
    platform = FakePlatform()
    platform.commits = ["late"]
    accept(platform, request("c"))
    assert accept(platform, request("c")).unwrap().snapshot.head.version == 1
    assert not platform.apply(*platform.late[0])
    assert accept(platform, request("c")).unwrap().is_repeat
    assert platform.version() == 1


@pytest.mark.parametrize("fate", ["lost", "late", "answer lost"])
def test_outcome_is_unknown_only_until_it_is_asked_again(fate):
    """The platform stops answering in the middle of a commit.

    Nobody can tell yet what happened; once it is back, the same change id at
    any daemon gives the outcome, and nothing is committed twice.
    """
    platform = FakePlatform()
    platform.commits = [fate, "lost"]
    read_rows, n_reads = platform.read_rows, 0

    async def fail_after_two(prefix: str, customer: str = "") -> Result:
        nonlocal n_reads
        n_reads += 1
        return OUT if n_reads > 2 else await read_rows(prefix, customer)

    platform.read_rows = fail_after_two
    failure = accept(platform, request("c")).unwrap_err()
    assert failure.kind is ErrorKind.CHANGE_OUTCOME_UNKNOWN
    platform.read_rows = read_rows
    again = accept(platform, request("c", is_asked_again=True))
    assert again.unwrap().snapshot.head.version == 1
    for late in platform.late:
        platform.apply(*late)
    assert platform.version() == 1


def test_outage_says_not_accepted_unless_an_earlier_attempt_may_have_been():
    """The platform is out; the second operator has asked for its change before.

    `Not accepted` would be a lie if the earlier attempt took effect.
    """
    platform = FakePlatform()
    platform.is_out = True
    first = accept(platform, request("c")).unwrap_err()
    again = accept(platform, request("c", is_asked_again=True)).unwrap_err()
    assert first.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert again.kind is ErrorKind.CHANGE_OUTCOME_UNKNOWN


def test_lost_race_against_itself_is_no_conflict():
    """An attempt is repeated while the first one's commit is on its way, and the
    platform fails when the daemon looks who won.

    `Conflict` would make the operator redo a change that was accepted.
    """
    platform = FakePlatform()
    platform.commits = ["late", "lost"]
    accept(platform, request("c"))
    commit, late = platform.commit, platform.late[0]

    async def after_the_late_one(compare: tuple, put: tuple, customer: str) -> Result:
        platform.apply(*late)
        done = await commit(compare, put, customer)
        platform.is_out = True
        return done

    platform.commit = after_the_late_one
    failure = accept(platform, request("c")).unwrap_err()
    assert failure.kind is ErrorKind.CHANGE_OUTCOME_UNKNOWN


def test_change_id_of_another_document_is_refused():
    platform = FakePlatform()
    accept(platform, request("c"))
    assert accept(platform, request("c", "/b")).unwrap_err().kind is ErrorKind.CONFLICT


def test_every_fate_of_commits_keeps_one_line_of_versions():
    """Each of three changes meets every mix of fates, and is asked for again.

    However it goes, a change takes effect once, and versions have no gap.
    """
    fates = ("commit", "lost", "answer lost", "late")
    for first in fates:
        for second in fates:
            platform = FakePlatform()
            for number in range(3):
                platform.commits = [first, second]
                change = request(f"c{number}", f"/{number}")
                accept(platform, change)
                settled = _ask_until_settled(lambda p=platform, c=change: accept(p, c))
                assert settled.snapshot.head.version == number + 1
                for late in platform.late:
                    platform.apply(*late)
            assert platform.version() == 3


def _ask_until_settled(
    ask: Callable[[], Result[Accepted, Failure]] | Awaitable,
) -> Accepted:
    for _ in range(5):
        answer = ask()
        if answer.is_ok():
            return answer.unwrap()
    raise AssertionError("the outcome stayed unknown")
