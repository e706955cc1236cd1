"""Distribution of crash records to the neighbours and to the platform."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import Final

import structlog

from pepperstair_core.calls import CrashRecord, Quarantine, TrustLevel
from pepperstair_core.calls.crash_ids import (
    crash_time_ms,
    is_crash_seen_by,
    make_crash_id,
)
from pepperstair_core.calls.quarantine import N_CRASHES_MAX
from pepperstair_core.decisions import DecisionKind, DecisionLog
from pepperstair_core.events import Event
from pepperstair_core.wire import CrashRecords
from pepperstair_peers import ControlPlane, Identity

from .quarantine_rows import QuarantineRows

log = structlog.get_logger(__name__)

_N_RECORDS_PER_FRAME_MAX: Final = 64
# Time during which crash records are collected to be sent together. A crash can make
# all requests that were running suspect. When one of them is answered later, it is
# cleared of suspicion, which yields one more record.
_BATCH_DELAY_S: Final = 0.05


class CrashReports:
    """Distributes crash records through the fleet, from neighbour to neighbour.

    Each daemon forwards records that are new to it. It sends all open records to a new
    neighbour; a record is open if its request may have caused any of its crashes. A
    quarantined request is persisted on the platform too, as the record would be lost if
    all daemons were killed.
    """

    def __init__(
        self,
        identity: Identity,
        control: ControlPlane,
        quarantine: Quarantine,
        rows: QuarantineRows,
        decisions: DecisionLog,
        now_ms: Callable[[], float],
    ) -> None:
        self._identity = identity
        self._control = control
        self._quarantine = quarantine
        self._rows = rows
        self._decisions = decisions
        self._now_ms = now_ms
        self._started_ms = now_ms()
        self._crash_numbers = itertools.count(1)
        # The records that wait to be sent: maps the fingerprint of each to the
        # neighbour from which it was received, or to an empty string if it comes from
        # this daemon or from several neighbours.
        self._pending: dict[bytes, str] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Register callbacks with the control plane and read the platform's rows."""
        self._control.frame_handlers[CrashRecords] = self._handle_frame
        self._control.neighbour_up_callbacks.append(self._send_open_records)
        self._rows.start(self._restore)

    def close(self) -> None:
        """Stop sending records, and reading and writing rows."""
        if self._timer is not None:
            self._timer.cancel()
        self._rows.close()

    def report_crash(self, target: str, running: tuple[bytes, ...]) -> None:
        """Record the crash of a target of this VM.

        `running` holds the fingerprints of the requests that the target was running.
        """
        now_ms, identity = self._now_ms(), self._identity
        crash_id = make_crash_id(
            identity.vm,
            identity.start_id,
            next(self._crash_numbers),
            int(now_ms - self._started_ms),
        )
        charged = self._quarantine.record_crash(running, crash_id, now_ms)
        suspects = [record.fingerprint.hex() for record in charged]
        log.warning(
            Event.TARGET_CRASHED,
            target=target,
            suspects=suspects,
            n_running=len(running),
        )
        self._queue_records(charged)
        quarantined = [each for each in charged if self._is_quarantined(each)]
        for record in quarantined:
            self._report_quarantined(record.fingerprint)
        if not quarantined:
            # Records of other daemons may put a request into quarantine. During a
            # partition, some of these records are available on the platform only.
            self._rows.read()

    def report_cleared(self, cleared: CrashRecord) -> None:
        """Distribute that a target of this VM has answered a suspected request."""
        log.info(Event.REQUEST_CLEARED, fingerprint=cleared.fingerprint.hex())
        self._queue_records((cleared,))

    def _handle_frame(self, vm: str, frame: CrashRecords) -> None:
        self._queue_records(self._merge(frame.records), vm)

    def _restore(self, stored: Iterable[CrashRecord]) -> None:
        self._queue_records(self._merge(stored))

    def _merge(self, reported: Iterable[CrashRecord]) -> Iterable[CrashRecord]:
        """Merge records and yield those that were new."""
        for record in reported:
            was_quarantined = self._is_quarantined(record)
            crashed_ms = self._crashed_ms(record)
            if not self._quarantine.merge(record, self._now_ms(), crashed_ms):
                continue
            if self._is_quarantined(record) and not was_quarantined:
                self._report_quarantined(record.fingerprint)
            yield record

    def _crashed_ms(self, record: CrashRecord) -> float:
        """Return when the last crash of a record was, on this daemon's clock.

        If the time of receipt were used, a quarantine would start again in each daemon
        that starts. It is used only if a time is unknown, or if there are too few
        crashes for a quarantine: a daemon that started while its VM's clock was behind
        states times in the past, and its crashes would be ignored as too old.
        """
        crash_ids = set(record.crash_ids) - set(record.cleared_ids)
        times_ms = [crash_time_ms(crash_id) for crash_id in crash_ids]
        if len(crash_ids) < N_CRASHES_MAX or None in times_ms:
            return self._now_ms()
        return max(times_ms) - self._identity.start_id + self._started_ms

    def _is_quarantined(self, record: CrashRecord) -> bool:
        trust_level = self._quarantine.trust_level(record.fingerprint, self._now_ms())
        return trust_level is TrustLevel.QUARANTINED

    def _report_quarantined(self, quarantined: bytes) -> None:
        """Log a quarantined request; save its row if a target of this VM has crashed.

        If several daemons detect crashes at the same time, the number of crashes may
        first reach the threshold on a daemon that detected none of them. Therefore each
        daemon that detected one of the crashes saves the row.
        """
        record = self._quarantine.get(quarantined)
        own = (self._identity.vm, self._identity.start_id)
        if any(is_crash_seen_by(crash_id, *own) for crash_id in record.crash_ids):
            self._rows.save(record)
        fingerprint = quarantined.hex()
        n_crashes = len(record.crash_ids)
        log.warning(
            Event.REQUEST_QUARANTINED, fingerprint=fingerprint, n_crashes=n_crashes
        )
        self._decisions.record(
            DecisionKind.QUARANTINED,
            fingerprint,
            "it was running when targets crashed",
            (("n_crashes", float(n_crashes)),),
        )

    def _send_open_records(self, vm: str) -> None:
        """Send the open records to a new neighbour, which needs no cleared ones."""
        records = self._quarantine.records()
        self._send_records(vm, (each for each in records if each.is_open))

    def _queue_records(self, records: Iterable[CrashRecord], sender: str = "") -> None:
        for record in records:
            pending_sender = self._pending.setdefault(record.fingerprint, sender)
            if pending_sender != sender:
                self._pending[record.fingerprint] = ""
        if self._pending and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_BATCH_DELAY_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        pending, self._pending = self._pending, {}
        # A record may have been evicted after it was added to the pending records.
        tracked = [
            fingerprint for fingerprint in pending if fingerprint in self._quarantine
        ]
        records = [self._quarantine.get(fingerprint) for fingerprint in tracked]
        for vm in self._control.neighbours:
            self._send_records(
                vm, (item for item in records if pending[item.fingerprint] != vm)
            )

    def _send_records(self, vm: str, records: Iterable[CrashRecord]) -> None:
        remaining = iter(records)
        while batch := tuple(itertools.islice(remaining, _N_RECORDS_PER_FRAME_MAX)):
            self._control.send(vm, CrashRecords(batch))


__all__ = ["CrashReports"]
