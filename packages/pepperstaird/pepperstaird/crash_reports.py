"""What this daemon tells of crashed targets, to its neighbours and to the platform."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import Final

import structlog

from pepperstair_core.calls import CrashRecord, Quarantine, TrustLevel
from pepperstair_core.decisions import Decision, DecisionKind, DecisionLog
from pepperstair_core.events import Event
from pepperstair_core.wire import CrashRecords
from pepperstair_peers import ControlPlane, Identity

from .quarantine_rows import QuarantineRows

log = structlog.get_logger(__name__)

_N_PER_FRAME_MAX: Final = 64
# News of this long goes out together: a crash is followed by as many answers that
# clear what ran beside its cause.
_GATHER_S: Final = 0.05


class CrashReports:
    """Spreads records of crashes over the fleet, from neighbour to neighbour.

    Each daemon passes on what is new to it, and tells a new neighbour all it knows.
    A request that is quarantined is kept in the platform's table too: after a kill of
    all daemons nobody else would know.
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
        self._numbers = itertools.count(1)
        # What is to be told, and by which neighbour it came, if by a single one.
        self._pending: dict[bytes, str] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to listen to the neighbours, and read what the platform keeps."""
        self._control.on_crash_records = self._take
        self._control.neighbour_up_callbacks.append(self._tell_all)
        self._rows.start(self._restore)

    def close(self) -> None:
        """Stop telling, reading and writing."""
        if self._timer is not None:
            self._timer.cancel()
        self._rows.close()

    def report_crash(self, target: str, running: tuple[bytes, ...]) -> None:
        """Take that a target of this VM has ended, and what it was running."""
        identity = self._identity
        crash_id = f"{identity.vm}/{identity.start_id}/{next(self._numbers)}"
        charged = self._quarantine.record_crash(running, crash_id, self._now_ms())
        suspects = [record.fingerprint.hex() for record in charged]
        log.warning(
            Event.TARGET_CRASHED,
            target=target,
            suspects=suspects,
            n_running=len(running),
        )
        self._spread(charged)
        quarantined = [found for found in charged if self._is_quarantined(found)]
        for record in quarantined:
            self._note_quarantined(record.fingerprint)
        if not quarantined:
            # Neighbours can't tell what is known on the other side of a partition.
            self._rows.read()

    def report_cleared(self, cleared: CrashRecord) -> None:
        """Take that a suspected request was answered by a target of this VM."""
        log.info(Event.REQUEST_CLEARED, fingerprint=cleared.fingerprint.hex())
        self._spread((cleared,))

    def _take(self, vm: str, frame: CrashRecords) -> None:
        self._spread(self._merge(frame.records), vm)

    def _restore(self, kept: Iterable[CrashRecord]) -> None:
        self._spread(self._merge(kept))

    def _merge(self, told: Iterable[CrashRecord]) -> Iterable[CrashRecord]:
        """Yield what was news."""
        for record in told:
            was_quarantined = self._is_quarantined(record)
            if not self._quarantine.merge(record, self._now_ms()):
                continue
            if self._is_quarantined(record) and not was_quarantined:
                self._note_quarantined(record.fingerprint)
            yield record

    def _is_quarantined(self, record: CrashRecord) -> bool:
        trust_level = self._quarantine.trust_level(record.fingerprint, self._now_ms())
        return trust_level is TrustLevel.QUARANTINED

    def _note_quarantined(self, quarantined: bytes) -> None:
        """Say that a request is quarantined; keep it where a target here has crashed.

        Crashes that happen together are added up elsewhere than where they were seen,
        so that any of the daemons that saw one keeps the row.
        """
        record = self._quarantine.get(quarantined)
        own = f"{self._identity.vm}/{self._identity.start_id}/"
        if any(crash_id.startswith(own) for crash_id in record.crash_ids):
            self._rows.save(record)
        fingerprint = quarantined.hex()
        n_crashes = len(record.crash_ids)
        log.warning(
            Event.REQUEST_QUARANTINED, fingerprint=fingerprint, n_crashes=n_crashes
        )
        self._decisions.add(
            Decision(
                int(self._now_ms()),
                DecisionKind.QUARANTINED,
                fingerprint,
                "it was running when targets crashed",
                (("n_crashes", float(n_crashes)),),
            )
        )

    def _tell_all(self, vm: str) -> None:
        """Tell a new neighbour what is suspected; what was cleared it need not know."""
        records = self._quarantine.records()
        self._tell(vm, (found for found in records if found.is_open))

    def _spread(self, records: Iterable[CrashRecord], sender: str = "") -> None:
        for record in records:
            known = self._pending.setdefault(record.fingerprint, sender)
            if known != sender:
                self._pending[record.fingerprint] = ""
        if self._pending and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_GATHER_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        pending, self._pending = self._pending, {}
        # One may have made room for others meanwhile.
        known = [found for found in pending if found in self._quarantine]
        told = [self._quarantine.get(found) for found in known]
        for vm in self._control.neighbours:
            self._tell(vm, (item for item in told if pending[item.fingerprint] != vm))

    def _tell(self, vm: str, records: Iterable[CrashRecord]) -> None:
        left = iter(records)
        while taken := tuple(itertools.islice(left, _N_PER_FRAME_MAX)):
            self._control.send(vm, CrashRecords(taken))


__all__ = ["CrashReports"]
