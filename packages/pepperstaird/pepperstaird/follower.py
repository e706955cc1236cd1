"""Follows a configuration document that operators keep in a table elsewhere."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any, Final

import structlog
from result import Result

from pepperstair_core.decisions import Decision, DecisionKind, DecisionLog
from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.events import Event
from pepperstair_core.following import (
    DocumentReader,
    FollowedDocument,
    FollowedDocumentState,
    OfferResult,
)
from pepperstair_core.labels import Labels
from pepperstair_core.routing import (
    RouteTable,
    compile_routes,
    label_overrides_by_workload,
)
from pepperstair_core.shared_reading import ReadSchedule
from pepperstair_core.versions import Head, Snapshot
from pepperstair_peers import ControlPlane
from pepperstair_platform import WatchedRows, WatchedTable

from .clock import boot_ms, wall_ms
from .document_exchange import DocumentExchange

log = structlog.get_logger(__name__)

# A watch that was lost in silence is renewed after this at the latest. The
# waits are spread, so that of a dozen daemons one renews its watch about every
# second and tells the others.
_WAIT_MAX_MS: Final = 10_000
_WAIT_MIN_SHARE: Final = 0.6
# The first watch after a reading may be much shorter: daemons that were killed
# together read together. In step, all of them would hang together on a store that
# turned silent just then, and none would learn of a new version for the whole wait.
# Of six, one renews its watch within 2.3 s in the mean.
_FIRST_WAIT_MIN_SHARE: Final = 0.1
# After a failure: first soon, then longer, so that a store that comes back is
# not met by all daemons at once; with jitter.
_BACKOFF_MIN_S: Final = 0.1
_BACKOFF_MAX_S: Final = 1.0
# Pause after each answer: of versions that come in quick succession only the
# newest counts, and each read of each daemon costs the store.
_SETTLE_S: Final = 0.4
# On a slow link the pause is twice what the answer took of it, so that versions in
# quick succession leave two thirds of the link to calls; neighbours tell of them
# meanwhile, packed. Bounded, as a neighbour may be cut off.
_SETTLE_LINK_SHARES: Final = 2.0
_SETTLE_MAX_S: Final = 1.5
# Where the document takes the VM's link longer than this, the daemon holds no watch:
# it looks now and then, and otherwise takes the packed copies of its neighbours. A
# watch would bring the whole document with each version, in the way of all calls.
_WATCHED_MAX_S: Final = 0.2
_LOOK_STEP_S: Final = 0.5
_EXPIRED: Final = ErrorKind.WATCH_EXPIRED
_BAD: Final = (OfferResult.REJECTED, OfferResult.REJECTED_BEFORE)


class ConfigurationFollower:
    """Keeps the newest document in force, from the table or from neighbours.

    `key` names the row of the table that holds the document. `on_document` is
    called after each version that was put in force, which `document` then is.
    `carry_s` tells for how long the VM's link carries so many bytes of a document,
    `is_source` whether others may depend on this daemon's watch, or it on its own.
    With a `schedule` the fleet shares its reads; `place` is then this daemon's place
    in the order of readers. Without one, each daemon watches the table.
    """

    def __init__(
        self,
        table: WatchedTable,
        key: str,
        read: DocumentReader,
        proxy_labels: Labels,
        control: ControlPlane,
        decisions: DecisionLog,
        rng: random.Random,
        on_document: Callable[[], None] = lambda: None,
        carry_s: Callable[[int], float] = lambda n_bytes: 0.0,
        is_source: Callable[[], bool] = lambda: True,
        schedule: ReadSchedule | None = None,
        place: Callable[[], int] = lambda: 0,
    ) -> None:
        self._carry_s = carry_s
        self._is_source = is_source
        self.schedule = schedule
        self._place = place
        self._on_document = on_document
        self._table = table
        self._key = key
        self._following = FollowedDocumentState(read)
        self._proxy_labels = proxy_labels
        self._control = control
        self._decisions = decisions
        self._rng = rng
        self._snapshot: Snapshot | None = None
        self._watching: asyncio.Task[None] | None = None
        self._is_table_lost = False
        self._learnt_from = ""
        self._exchange = DocumentExchange(
            control, self._following, self._offer, self._is_watching, schedule
        )
        self.n_ignored = 0
        self.n_rejected = 0
        self.route_table = RouteTable()
        self.overrides: Mapping[str, Labels] = {}
        self.on_changed: Callable[[Snapshot], None] = lambda snapshot: None
        self.on_converged: Callable[[str, int], None] = lambda customer, ms: None

    @property
    def document(self) -> FollowedDocument | None:
        """Return the document in force."""
        return self._following.document

    @property
    def is_floor_known(self) -> bool:
        """Return whether any version is in force."""
        return self.document is not None

    @property
    def reached_by(self) -> str:
        """Return who told the version in force: the platform or a neighbour."""
        return self._learnt_from

    def start(self) -> None:
        """Begin to follow the table and to listen to the neighbours."""
        self._exchange.start()
        self._watching = asyncio.get_running_loop().create_task(self._watch())

    def close(self) -> None:
        """Stop following."""
        self._exchange.close()
        if self._watching is not None:
            self._watching.cancel()

    def members_changed(self) -> None:
        """Do nothing: versions go to the neighbours, whoever they are."""

    def catch_up(self) -> None:
        """Read the table anew at once.

        After a pause of this process the answer to its watch may be lost, and
        the routes of a minute ago would stay in force until the next one.
        """
        if self._watching is not None:
            self._watching.cancel()
        self._watching = asyncio.get_running_loop().create_task(self._watch(True))

    def versions(self) -> dict[str, int]:
        """Return the version in force by customer."""
        if self._snapshot is None:
            return {}
        return {self._snapshot.head.customer: self._snapshot.head.version}

    def get(self, customer: str) -> Snapshot | None:
        """Return the snapshot in force of a customer."""
        if self._snapshot is None or self._snapshot.head.customer != customer:
            return None
        return self._snapshot

    def age_ms(self) -> int:
        """Return how long ago the version in force was the newest, -1 if unknown."""
        return self._exchange.age_ms()

    def counters(self) -> dict[str, int]:
        """Return the counts that `status` and the metrics show."""
        return {
            "n_versions_ignored": self.n_ignored,
            "n_versions_rejected": self.n_rejected,
        }

    def rejected(self) -> dict[str, Any]:
        """Return why the last document that was rejected was."""
        faults = [str(fault) for fault in self._following.faults]
        return {"document": {"cause": "; ".join(faults)}} if faults else {}

    async def _watch(self, is_due: bool = False) -> None:
        """Read and watch the table for ever; at once if that `is_due`."""
        exchange = self._exchange
        exchange.position = None
        is_first = True
        backoff_s = _BACKOFF_MIN_S
        while True:
            if not is_due:
                await self._until_due()
            is_due = False
            position = exchange.position
            read = await self._next(position, is_first)
            if read.is_ok():
                self._note_table(None)
                self._take_rows(read.unwrap())
                is_first = position is None
                exchange.confirm(read.unwrap().position, boot_ms())
                backoff_s = _BACKOFF_MIN_S
                if read.unwrap().rows:
                    await asyncio.sleep(self._settle_s(read.unwrap()))
                continue
            failure = read.unwrap_err()
            exchange.position = None
            if self.schedule is not None and failure.kind is not _EXPIRED:
                self.schedule.record_read_failure(boot_ms())
            if failure.kind is _EXPIRED:
                continue
            self._note_table(failure)
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(self._backoff_max_s(), 2 * backoff_s)

    def _backoff_max_s(self) -> float:
        """Return the longest pause between reads while the table can't be read."""
        if self.schedule is None or not self.document:
            return _BACKOFF_MAX_S
        return _BACKOFF_MAX_S * self.schedule.backoff_factor(self._place())

    async def _until_due(self) -> None:
        """Return when this daemon is to read, as the fleet shares its reads."""
        if self.schedule is None:
            return
        while self._control.neighbours or not self.schedule.is_confirmed:
            now_ms = boot_ms()
            left_ms = self.schedule.due_ms(self._place(), now_ms) - now_ms
            if left_ms <= 0.0:
                return
            await asyncio.sleep(left_ms / 1000)

    def _is_watching(self) -> bool:
        """Return whether the own watch is about to bring new versions."""
        if self.document is None or not self._holds_watch():
            return False
        if self.schedule is None:
            return True
        return self.schedule.is_watcher(self._place(), boot_ms())

    async def _next(
        self, position: int | None, is_first: bool
    ) -> Result[WatchedRows, Failure]:
        if position is None:
            return await self._table.read()
        if self.schedule is not None:
            return await self._next_shared(position)
        least = _FIRST_WAIT_MIN_SHARE if is_first else _WAIT_MIN_SHARE
        wait_ms = int(_WAIT_MAX_MS * self._rng.uniform(least, 1.0))
        if not self._holds_watch():
            wait_ms = await self._rest_unless_source(wait_ms)
        known = max(position, self._exchange.position or 0)
        return await self._table.wait(known, wait_ms)

    async def _next_shared(self, position: int) -> Result[WatchedRows, Failure]:
        """Watch the table if that is this daemon's part, else look at it once."""
        place = self._place()
        is_alone = not self._control.neighbours
        wait_ms = 0
        now_ms = boot_ms()
        if is_alone or self.schedule.is_watcher(place, now_ms):
            wait_ms = self.schedule.watch_ms(place, now_ms)
        return await self._table.wait(position, wait_ms)

    def _holds_watch(self) -> bool:
        """Return whether the table is watched all the time.

        Daemons on fast links are, and one of each availability zone; between them
        and all the others, who look at different moments, a version is found at once.
        """
        if self.document is None or self._is_source():
            return True
        return self._carry_s(len(self.document.data)) <= _WATCHED_MAX_S

    async def _rest_unless_source(self, rest_ms: int) -> int:
        """Leave the table alone for a while, and return how long to watch it then."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + rest_ms / 1000
        while loop.time() < ends_s:
            await asyncio.sleep(min(_LOOK_STEP_S, rest_ms / 1000))
            if self._holds_watch():
                return rest_ms
        return 0

    def _settle_s(self, rows: WatchedRows) -> float:
        """Return how long to leave the table alone after an answer."""
        n_bytes = sum(len(row.value or b"") for row in rows.rows)
        taken_s = _SETTLE_LINK_SHARES * self._carry_s(n_bytes)
        return max(_SETTLE_S, min(_SETTLE_MAX_S, taken_s))

    def _note_table(self, failure: Failure | None) -> None:
        """Log once when the table is lost and once when it is back."""
        is_lost = failure is not None
        if is_lost == self._is_table_lost:
            return
        self._is_table_lost = is_lost
        if is_lost:
            log.warning(Event.PLATFORM_UNAVAILABLE, reason=failure.text)
        else:
            log.info(Event.PLATFORM_RECOVERED, version=self._following.version)

    def _take_rows(self, rows: WatchedRows) -> None:
        # A removed row takes nothing out of force: the operators' routes would
        # all be gone at once, and callers told that there is none. An answer may
        # hold several versions, of which only the last good one still counts.
        found = [row.value for row in rows.rows if row.key == self._key]
        values = [value for value in reversed(found) if value is not None]
        for index, value in enumerate(values):
            is_good = self._offer(value, "platform") not in _BAD
            if index == 0:
                self._exchange.is_newest_known = is_good
            if is_good:
                return

    def _offer(self, data: bytes, learnt_from: str) -> OfferResult:
        offer = self._following.offer(data)
        if offer is OfferResult.IN_FORCE:
            self._put_in_force(learnt_from)
        elif offer is OfferResult.REJECTED:
            self._report_rejected(learnt_from)
        else:
            self.n_ignored += 1
        return offer

    def _put_in_force(self, learnt_from: str) -> None:
        document = self._following.document
        was_known = bool(self._learnt_from)
        self._learnt_from = learnt_from
        customer = document.intent.customer
        head = Head(customer, document.version, "", wall_ms(), learnt_from, "")
        self._snapshot = Snapshot(head, document.data, document.intent)
        self.overrides = label_overrides_by_workload((self._snapshot,))
        self.route_table = compile_routes((self._snapshot,), self._proxy_labels)
        log.info(
            Event.VERSION_IN_FORCE,
            customer=customer,
            version=document.version,
            learnt_from=learnt_from,
            n_routes=len(document.intent.routes),
        )
        if not was_known:
            log.info(Event.READY, reached_by=learnt_from)
        self._on_document()
        self.on_changed(self._snapshot)
        self._exchange.put_in_force()

    def _report_rejected(self, learnt_from: str) -> None:
        self.n_rejected += 1
        cause = "; ".join(str(fault) for fault in self._following.faults[:3])
        version = self._following.version
        log.error(
            Event.VERSION_REJECTED,
            version=version,
            learnt_from=learnt_from,
            cause=cause,
        )
        decision = Decision(wall_ms(), DecisionKind.REJECTED, learnt_from, cause)
        self._decisions.add(decision)


__all__ = ["ConfigurationFollower"]
