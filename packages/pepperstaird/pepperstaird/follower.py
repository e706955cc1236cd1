"""Follows a configuration document that operators keep in an external table."""

from __future__ import annotations

import asyncio
import math
import random
import secrets
from collections.abc import Callable, Mapping
from typing import Any, Final

import structlog
from result import Result

from pepperstair_core.accounts import AccountTable, compile_accounts
from pepperstair_core.config import AccountsSettings
from pepperstair_core.decisions import DecisionKind, DecisionLog
from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.events import Event
from pepperstair_core.following import (
    DocumentReader,
    FollowedDocument,
    FollowedDocumentState,
    OfferResult,
)
from pepperstair_core.freshness import (
    ASK_SHARE,
    READ_SHARE,
    READ_SPREAD_SHARE,
    ReadProver,
    ReadStart,
    RowShown,
    VersionBasis,
)
from pepperstair_core.labels import Labels
from pepperstair_core.platform_clock import PlatformClock
from pepperstair_core.routing import (
    RouteTable,
    compile_routes,
    label_overrides_by_workload,
)
from pepperstair_core.shared_reading import ReadSchedule
from pepperstair_core.versions import Head, Snapshot
from pepperstair_peers import ControlPlane
from pepperstair_platform import WatchedRow, WatchedRows, WatchedTable

from .clock import boot_ms, wall_ms
from .document_exchange import DocumentExchange
from .proof_exchange import ProofExchange

log = structlog.get_logger(__name__)

# Maximum duration of a watch, after which a watch whose answer was lost silently is
# renewed. The durations are randomized, so that of a dozen daemons one renews its watch
# about every second and notifies the others.
_WATCH_MAX_MS: Final = 10_000
_WATCH_MIN_SHARE: Final = 0.6
# Minimum duration of the first watch after a read, as a share of `_WATCH_MAX_MS`. It is
# much shorter than that of later watches because daemons that were killed together also
# read together. If a store stopped answering just after these reads, watches of equal
# length would all hang, and no daemon would receive a new version for the whole watch.
# With this share, one of six daemons renews its watch within 2.3 s on average.
_FIRST_WATCH_MIN_SHARE: Final = 0.1
# Exponential backoff with jitter after a failure, so that not all daemons query a
# recovering store at once.
_BACKOFF_MIN_S: Final = 0.1
_BACKOFF_MAX_S: Final = 1.0
# Minimum pause after each answer. Only the newest of several versions in quick
# succession matters, and each read by each daemon adds load to the store.
_PAUSE_MIN_S: Final = 0.4
# On a slow link the pause is `_PAUSE_TRANSFER_FACTOR` times the transfer time of the
# answer, so that versions in quick succession leave two thirds of the link to calls.
# During the pause, neighbours send the versions in compressed form. The pause is
# bounded by `_PAUSE_MAX_S`, because the neighbours may be partitioned from this daemon.
_PAUSE_TRANSFER_FACTOR: Final = 2.0
_PAUSE_MAX_S: Final = 1.5
# If the transfer of the document takes longer than this on the VM's link, the daemon
# does not watch continuously: it polls occasionally and otherwise relies on the
# compressed copies of its neighbours. A watch would transfer the whole document with
# each version and delay all calls. With a schedule, such a daemon abandons a read once
# a neighbour has announced the version that the read may be transferring.
_WATCHED_TRANSFER_MAX_S: Final = 0.2
_WATCH_CHECK_INTERVAL_S: Final = 0.5
# Time between two checks of the age of the proof that the version in force is the
# newest, and between two checks whether a proof is needed at all.
_PROOF_CHECK_S: Final = 0.25
_PROOF_IDLE_S: Final = 1.0
# Minimum time between two reads for a proof. A random part of the same length is added.
_PROOF_READ_INTERVAL_S: Final = 1.0
_EXPIRED: Final = ErrorKind.WATCH_EXPIRED
# Source of versions and confirmations that this daemon has read itself.
_PLATFORM: Final = "platform"
# Subject of this module's decisions.
_SUBJECT: Final = "configuration"
_REJECTIONS: Final = (OfferResult.REJECTED, OfferResult.REJECTED_BEFORE)


OtherRowsCallback = Callable[[tuple[WatchedRow, ...], int | None], None]


class ConfigurationFollower:
    """Keeps the newest document in force, from the table or from neighbours.

    `key` names the row of the table that holds the document. `on_document` is called
    after each version that was put in force; `document` is then that version.
    `transfer_s` returns the seconds that the VM's link takes to transfer a number of
    bytes of a document as the platform sends it, and `upload_s` those to send a number
    of bytes to a neighbour. `must_watch` returns whether this daemon has to watch the
    table regardless of its link speed, because the daemon itself or other daemons may
    depend on that watch for new versions. With a `schedule` the fleet shares its reads;
    `reader_rank` then returns this daemon's rank in the order of readers. Without one,
    each daemon watches the table. `account_limits` returns the limits on proofs that
    the client accounts in force are the newest. `read_number` returns the number of a
    faulty version, None if it can't be read. `clock` relates the platform's clock to
    the VM's.
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
        transfer_s: Callable[[int], float] = lambda n_bytes: 0.0,
        must_watch: Callable[[], bool] = lambda: True,
        schedule: ReadSchedule | None = None,
        reader_rank: Callable[[], int] = lambda: 0,
        account_limits: Callable[[], AccountsSettings] = AccountsSettings,
        read_number: Callable[[bytes], int | None] = lambda data: None,
        clock: PlatformClock | None = None,
        upload_s: Callable[[int], float] = lambda n_bytes: 0.0,
    ) -> None:
        self._clock = clock or PlatformClock()
        self._read_number = read_number
        self._account_limits = account_limits
        self._transfer_s = transfer_s
        self._must_watch = must_watch
        self.schedule = schedule
        self._reader_rank = reader_rank
        self._on_document = on_document
        self._table = table
        self._key = key
        self._following = FollowedDocumentState(read)
        self._proxy_labels = proxy_labels
        self._control = control
        self._decisions = decisions
        self._rng = rng
        self._snapshot: Snapshot | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._reading: asyncio.Task[Result[WatchedRows, Failure]] | None = None
        self._is_table_unavailable = False
        self._learnt_from = ""
        self._in_force_since_ms = 0
        self._proof_task: asyncio.Task[None] | None = None
        self._proof_read_share = READ_SHARE + rng.random() * READ_SPREAD_SHARE
        self._prover = ReadProver()
        self._was_polled = False
        self._is_proof_outdated = False
        self.proofs = ProofExchange(
            control, lambda: self._following.version, self._proof_limit_ms
        )
        self._exchange = DocumentExchange(
            control,
            self._following,
            self._offer,
            read_number,
            self._is_watching,
            schedule,
            self.proofs,
            self._clock,
            self._abandon_slow_read,
            upload_s,
        )
        self.n_ignored = 0
        self.n_rejected = 0
        self.route_table = RouteTable()
        self.accounts = AccountTable(secret=secrets.token_bytes())
        self.overrides: Mapping[str, Labels] = {}
        self.on_changed: Callable[[Snapshot], None] = lambda snapshot: None
        self.on_converged: Callable[[str, int], None] = lambda customer, ms: None
        # Called with the rows of each answer other than the document's, and with the
        # position of the answer if it holds the whole table, else None.
        self.on_other_rows: OtherRowsCallback | None = None

    @property
    def document(self) -> FollowedDocument | None:
        """Return the document in force, None if there is none."""
        return self._following.document

    @property
    def is_floor_known(self) -> bool:
        """Return whether any version is in force."""
        return self.document is not None

    @property
    def reached_by(self) -> str:
        """Return the origin of the version in force: the platform or a neighbour."""
        return self._learnt_from

    def start(self) -> None:
        """Start following the table and processing frames of the neighbours."""
        self._exchange.start()
        loop = asyncio.get_running_loop()
        self._watch_task = loop.create_task(self._watch())
        self._proof_task = loop.create_task(self._keep_proof())

    def close(self) -> None:
        """Stop following."""
        self._exchange.close()
        if self._watch_task is not None:
            self._watch_task.cancel()
        if self._proof_task is not None:
            self._proof_task.cancel()

    def members_changed(self) -> None:
        """Do nothing: versions are sent to the current neighbours in any case."""

    def catch_up(self) -> None:
        """Read the table again without delay.

        After a pause of this process the answer to its watch may be lost. Without a new
        read, routes that are a minute old would stay in force until the next answer.
        """
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._watch_task = asyncio.get_running_loop().create_task(self._watch(True))

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
        """Return how long ago this version was known to be newest, -1 if unknown."""
        return self._exchange.age_ms()

    def basis(self) -> VersionBasis | None:
        """Return what is known of the version in force, None if there is none."""
        if self.document is None:
            return None
        return VersionBasis(
            version=self._following.version,
            learnt_from=self._learnt_from,
            in_force_ms=boot_ms() - self._in_force_since_ms,
            confirmed_by=self._exchange.confirmed_by or _PLATFORM,
            confirmed_age_ms=self._confirmed_age_ms(),
            announced_version=self._exchange.announced_version,
            bound_ms=0.0 if self.schedule is None else self.schedule.bound_ms,
        )

    def _confirmed_age_ms(self) -> int:
        """Return the age of the last confirmation, -1 if there is none."""
        if self.schedule is None or not self.schedule.is_confirmed:
            return -1
        return int(boot_ms() - self.schedule.confirmed_ms)

    def proof_age_ms(self) -> float:
        """Return the age of the proof that this version is the newest, inf if none.

        Where the age of proofs has no limit, the age of the last confirmation is
        returned, for which neighbours need not be asked.
        """
        if self._account_limits().proof_age_max_ms:
            return self.proofs.age_ms()
        age_ms = self.age_ms()
        return math.inf if age_ms < 0 else age_ms

    def counters(self) -> dict[str, int]:
        """Return the counts that `status` and the metrics show."""
        return {
            "n_versions_ignored": self.n_ignored,
            "n_versions_rejected": self.n_rejected,
            "n_proofs_asked": self.proofs.n_asked,
        }

    def rejected(self) -> dict[str, Any]:
        """Return the cause of the last rejection, an empty dict if there was none."""
        faults = [str(fault) for fault in self._following.faults]
        return {"document": {"cause": "; ".join(faults)}} if faults else {}

    async def _watch(self, is_due: bool = False) -> None:
        """Read and watch the table until cancelled; start without delay if `is_due`."""
        exchange = self._exchange
        is_first = True
        backoff_s = _BACKOFF_MIN_S
        while True:
            if not is_due:
                await self._until_due()
            is_due = False
            position = exchange.position
            if position is not None and self._proof_limit_ms():
                position = self._prover.position
            start = self._start_read(position)
            confirmed_age_ms = self._confirmed_age_ms()
            read = await self._read_unless_announced(position, is_first)
            if read is None:
                continue
            self._record_read(start, confirmed_age_ms, read)
            if read.is_ok():
                self._record_success()
                self._apply_answer(start, read.unwrap())
                is_first = position is None
                backoff_s = _BACKOFF_MIN_S
                if read.unwrap().rows:
                    await asyncio.sleep(self._pause_after_answer_s(read.unwrap()))
                continue
            failure = read.unwrap_err()
            if failure.kind is _EXPIRED:
                exchange.position = None
                continue
            if self.schedule is not None:
                self.schedule.record_read_failure(boot_ms())
            self._log_table_state(failure)
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(self._backoff_max_s(), 2 * backoff_s)

    async def _read_unless_announced(
        self, position: int | None, is_first: bool
    ) -> Result[WatchedRows, Failure] | None:
        """Read or watch the table; return None if the read was abandoned."""
        loop = asyncio.get_running_loop()
        reading = loop.create_task(self._read_or_watch(position, is_first))
        self._reading = reading
        try:
            return await reading
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            return None
        finally:
            # Another read may have begun if this one was cancelled after a pause.
            if self._reading is reading:
                self._reading = None

    def _abandon_slow_read(self) -> None:
        """Abandon a read that would delay the copy of the announced version.

        The document, as the platform sends it, and the compressed copy of a neighbour
        would share the slow link, and both would arrive late.
        """
        if self._reading is not None and self._leaves_versions_to_neighbours():
            self._reading.cancel()

    def _leaves_versions_to_neighbours(self) -> bool:
        """Return whether this daemon waits for copies of announced versions."""
        if self.schedule is None or not self._control.neighbours:
            return False
        awaiting_since_ms = self._exchange.awaiting_since_ms
        if awaiting_since_ms is None or not self._has_slow_link():
            return False
        return boot_ms() - awaiting_since_ms < self.schedule.copy_wait_ms

    def _has_slow_link(self) -> bool:
        """Return whether the document takes long on the VM's link."""
        if self.document is None:
            return self.schedule.read_ms > 1000 * _WATCHED_TRANSFER_MAX_S
        return self._transfer_s(len(self.document.data)) > _WATCHED_TRANSFER_MAX_S

    def _record_success(self) -> None:
        self._log_table_state(None)
        if self.schedule is not None:
            self.schedule.record_read_success()

    def _record_read(
        self,
        start: ReadStart,
        confirmed_age_ms: int,
        read: Result[WatchedRows, Failure],
    ) -> None:
        """Log a read of the table; keep it for `explain` if it failed or had rows."""
        if read.is_err():
            outcome = read.unwrap_err().kind.value
        else:
            outcome = "rows" if read.unwrap().rows else "unchanged"
        figures = {
            "rank": self._reader_rank(),
            "duration_ms": boot_ms() - start.at_ms,
            "confirmed_age_ms": confirmed_age_ms,
            "version": start.version,
        }
        is_whole = start.position is None
        log.info(Event.TABLE_READ, is_whole=is_whole, outcome=outcome, **figures)
        if outcome != "unchanged":
            kind = "whole read" if is_whole else "read of changes"
            self._decisions.record(
                DecisionKind.READ,
                _SUBJECT,
                f"{kind}: {outcome}",
                tuple(figures.items()),
            )

    async def _keep_proof(self) -> None:
        """Ask neighbours for proofs, and read the table if they have no newer one.

        The questions continue during a read, which may have to wait for the store.
        """
        loop = asyncio.get_running_loop()
        reading: asyncio.Task[None] | None = None
        next_read_s = 0.0
        try:
            while True:
                if not self._proof_limit_ms():
                    await asyncio.sleep(_PROOF_IDLE_S)
                    continue
                await asyncio.sleep(_PROOF_CHECK_S * self._rng.uniform(0.5, 1.0))
                self.proofs.refresh()
                self._log_proof_state()
                is_reading = reading is not None and not reading.done()
                is_due = not is_reading and loop.time() >= next_read_s
                if is_due and self.proofs.is_older_than(self._proof_read_share):
                    interval_s = _PROOF_READ_INTERVAL_S * self._rng.uniform(1.0, 2.0)
                    next_read_s = loop.time() + interval_s
                    reading = loop.create_task(self._read_for_proof())
        finally:
            if reading is not None:
                reading.cancel()

    def _log_proof_state(self) -> None:
        """Log when requests with keys begin to be refused and are served again."""
        is_outdated = self.proofs.is_older_than(1.0)
        if is_outdated == self._is_proof_outdated:
            return
        self._is_proof_outdated = is_outdated
        version = self._following.version
        if is_outdated:
            log.warning(Event.PROOF_OUTDATED, version=version)
        else:
            log.info(Event.PROOF_RENEWED, version=version)

    async def _read_for_proof(self) -> None:
        position = self._prover.position
        start = self._start_read(position)
        if position is None:
            read = await self._table.read()
        else:
            read = await self._table.wait(position, 0)
        if read.is_ok():
            self._apply_answer(start, read.unwrap())

    def _proof_limit_ms(self) -> int:
        """Return the maximum age of a proof, 0 if no proof is needed."""
        if not self.accounts.is_in_use:
            return 0
        return self._account_limits().proof_age_max_ms

    def _start_read(self, position: int | None) -> ReadStart:
        return self._prover.start(boot_ms(), self._following.version, position)

    def _apply_answer(self, start: ReadStart, rows: WatchedRows) -> None:
        """Apply the rows of an answer, and record what it proves."""
        exchange = self._exchange
        # Neighbours rely on a confirmation only after all rows before it.
        self._pass_other_rows(rows, start.position is None)
        proof = self._prover.finish(
            start,
            rows.position,
            self._apply_rows(rows),
            self._following.version,
            self._read_number(self._following.rejected_data),
            exchange.is_superseded,
        )
        if proof is not None:
            self.proofs.record(proof)
        # An answer that is behind what this daemon already knows confirms nothing.
        if rows.position >= (exchange.position or 0):
            as_of_ms = self._dated_ms(start, rows)
            exchange.confirm(rows.position, as_of_ms, rows.platform_ms or 0)

    def _dated_ms(self, start: ReadStart, rows: WatchedRows) -> float:
        """Return the moment of which an answer tells, or one before it.

        The answer may arrive long after that, for example over a slow link.
        """
        if rows.platform_ms is None:
            return start.at_ms
        dated_ms = self._clock.earliest_ms(rows.platform_ms, boot_ms())
        return start.at_ms if dated_ms is None else max(start.at_ms, dated_ms)

    def _backoff_max_s(self) -> float:
        """Return the longest pause between reads while the table can't be read."""
        if self.schedule is None or not self.document:
            return _BACKOFF_MAX_S
        return _BACKOFF_MAX_S * self.schedule.backoff_factor(self._reader_rank())

    async def _until_due(self) -> None:
        """Wait until this daemon is due to read, if the fleet shares its reads."""
        if self.schedule is None:
            return
        while self._control.neighbours or not self.schedule.is_confirmed:
            now_ms = boot_ms()
            due_ms = self.schedule.due_ms(self._reader_rank(), now_ms)
            if self._leaves_versions_to_neighbours():
                copy_due_ms = self._exchange.awaiting_since_ms
                due_ms = max(due_ms, copy_due_ms + self.schedule.copy_wait_ms)
            remaining_ms = due_ms - now_ms
            if remaining_ms <= 0.0:
                return
            # The copy may arrive, or more readers may be lost, before the read is due.
            await asyncio.sleep(min(remaining_ms, self.schedule.pull_retry_ms) / 1000)

    def _is_watching(self) -> bool:
        """Return whether this daemon's watch is expected to deliver new versions."""
        if self.document is None or not self._watches_continuously():
            return False
        if self.schedule is None:
            return True
        return self.schedule.is_watcher(self._reader_rank(), boot_ms())

    async def _read_or_watch(
        self, position: int | None, is_first: bool
    ) -> Result[WatchedRows, Failure]:
        if position is None:
            return await self._table.read()
        if self.schedule is not None:
            return await self._read_or_watch_shared(position)
        min_share = _FIRST_WATCH_MIN_SHARE if is_first else _WATCH_MIN_SHARE
        wait_ms = int(_WATCH_MAX_MS * self._rng.uniform(min_share, 1.0))
        if not self._watches_continuously():
            wait_ms = await self._pause_unless_watching(wait_ms)
        if not self._proof_limit_ms():
            position = max(position, self._exchange.position or 0)
        return await self._table.wait(position, wait_ms)

    async def _read_or_watch_shared(
        self, position: int
    ) -> Result[WatchedRows, Failure]:
        """Watch the table if this daemon is a watcher or alone, else poll it once."""
        reader_rank = self._reader_rank()
        is_alone = not self._control.neighbours
        wait_ms = 0
        now_ms = boot_ms()
        if is_alone or self.schedule.is_watcher(reader_rank, now_ms):
            wait_ms = self.schedule.watch_ms(reader_rank, now_ms)
        # A watch proves the state at its start, so a read that ends at once follows a
        # long watch.
        self._was_polled = not self._was_polled and self.proofs.is_older_than(ASK_SHARE)
        if self._was_polled:
            wait_ms = 0
        return await self._table.wait(position, wait_ms)

    def _watches_continuously(self) -> bool:
        """Return whether this daemon watches the table continuously.

        Daemons on fast links watch continuously, and so does one daemon of each
        availability zone. All other daemons poll, each at a different moment. Together
        they detect a new version immediately.
        """
        if self.document is None or self._must_watch():
            return True
        return self._transfer_s(len(self.document.data)) <= _WATCHED_TRANSFER_MAX_S

    async def _pause_unless_watching(self, pause_ms: int) -> int:
        """Pause, and return the duration of the watch that follows in ms, 0 for a poll.

        The pause ends early if this daemon has to watch continuously by then; only in
        this case a watch follows.
        """
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + pause_ms / 1000
        while loop.time() < ends_s:
            await asyncio.sleep(min(_WATCH_CHECK_INTERVAL_S, pause_ms / 1000))
            if self._watches_continuously():
                return pause_ms
        return 0

    def _pause_after_answer_s(self, rows: WatchedRows) -> float:
        """Return the pause before the next read after an answer, in seconds."""
        n_bytes = sum(len(row.value or b"") for row in rows.rows)
        transfer_pause_s = _PAUSE_TRANSFER_FACTOR * self._transfer_s(n_bytes)
        pause_s = max(_PAUSE_MIN_S, min(_PAUSE_MAX_S, transfer_pause_s))
        if self.schedule is None:
            return pause_s
        # Others rely on a watcher's confirmations also while it pauses.
        return min(pause_s, self.schedule.max_age_ms / 1000)

    def _log_table_state(self, failure: Failure | None) -> None:
        """Log the start and the end of an outage of the table, once each."""
        is_unavailable = failure is not None
        if is_unavailable == self._is_table_unavailable:
            return
        self._is_table_unavailable = is_unavailable
        if is_unavailable:
            log.warning(Event.PLATFORM_UNAVAILABLE, reason=failure.text)
        else:
            log.info(Event.PLATFORM_RECOVERED, version=self._following.version)

    def _pass_other_rows(self, rows: WatchedRows, is_complete: bool) -> None:
        if self.on_other_rows is None:
            return
        others = tuple(row for row in rows.rows if row.key != self._key)
        if others or is_complete:
            self.on_other_rows(others, rows.position if is_complete else None)

    def _apply_rows(self, rows: WatchedRows) -> RowShown:
        """Put the newest version of an answer in force; return what it shows."""
        # A removed row leaves the version in force: otherwise all routes of the
        # operators would disappear at once, and callers would be answered with the
        # error `no_route`. An answer may hold several versions, of which only the
        # last valid one matters.
        row_values = [row.value for row in rows.rows if row.key == self._key]
        values = [value for value in reversed(row_values) if value is not None]
        for index, value in enumerate(values):
            is_accepted = self._offer(value, _PLATFORM) not in _REJECTIONS
            if index == 0:
                self._exchange.is_newest_known = is_accepted
            if is_accepted:
                break
        return self._shown_by(row_values)

    def _shown_by(self, row_values: list[bytes | None]) -> RowShown:
        """Return what the document's row shows after its versions were applied."""
        if not row_values:
            return RowShown.NOTHING
        if row_values[-1] is None:
            return RowShown.OTHER
        if not self._exchange.is_newest_known:
            return RowShown.REJECTED
        is_in_force = row_values[-1] == self.document.data
        return RowShown.IN_FORCE if is_in_force else RowShown.OTHER

    def _offer(self, data: bytes, learnt_from: str) -> OfferResult:
        result = self._following.offer(data)
        if result is OfferResult.IN_FORCE:
            self._put_in_force(learnt_from)
        elif result is OfferResult.REJECTED:
            self._report_rejected(learnt_from)
        else:
            self.n_ignored += 1
        return result

    def _put_in_force(self, learnt_from: str) -> None:
        document = self._following.document
        was_known = bool(self._learnt_from)
        self._learnt_from = learnt_from
        self._in_force_since_ms = boot_ms()
        customer = document.intent.customer
        head = Head(customer, document.version, "", wall_ms(), learnt_from, "")
        self._snapshot = Snapshot(head, document.data, document.intent)
        self.overrides = label_overrides_by_workload((self._snapshot,))
        self.route_table = compile_routes((self._snapshot,), self._proxy_labels)
        self.accounts = compile_accounts((self._snapshot,), self.accounts)
        log.info(
            Event.VERSION_IN_FORCE,
            customer=customer,
            version=document.version,
            learnt_from=learnt_from,
            n_routes=len(document.intent.routes),
        )
        self._decisions.record(
            DecisionKind.IN_FORCE,
            _SUBJECT,
            f"learnt from {learnt_from}",
            (("version", document.version),),
        )
        if not was_known:
            log.info(Event.READY, reached_by=learnt_from)
        self._on_document()
        self.on_changed(self._snapshot)
        self._exchange.publish_version()

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
        self._decisions.record(DecisionKind.REJECTED, learnt_from, cause)


__all__ = ["ConfigurationFollower"]
