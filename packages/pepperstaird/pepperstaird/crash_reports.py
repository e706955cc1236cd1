"""What this daemon tells of crashed targets, to its neighbours and to the platform."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from typing import Final

import structlog

from pepperstair_core.calls import Quarantine, Standing, Suspicion
from pepperstair_core.decisions import Decision, DecisionKind, DecisionLog
from pepperstair_core.events import Event
from pepperstair_core.wire import Suspicions
from pepperstair_peers import ControlPlane, Identity

from .quarantine_rows import QuarantineRows

log = structlog.get_logger(__name__)

_N_PER_FRAME_MAX: Final = 64


class CrashReports:
    """Spreads suspicions over the fleet, from neighbour to neighbour.

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

    def start(self) -> None:
        """Begin to listen to the neighbours, and read what the platform keeps."""
        self._control.on_suspicions = self._take
        self._control.on_suspicions_wanted = self._tell_all
        self._rows.start(self._restore)

    def close(self) -> None:
        """Stop reading and writing rows."""
        self._rows.close()

    def report_crash(self, target: str, running: tuple[bytes, ...]) -> None:
        """Take that a target of this VM has ended, and what it was running."""
        identity = self._identity
        crash_id = f"{identity.vm}/{identity.start_id}/{next(self._numbers)}"
        charged = self._quarantine.charge(running, crash_id, self._now_ms())
        suspects = [suspicion.fingerprint.hex() for suspicion in charged]
        log.warning(
            Event.TARGET_CRASHED,
            target=target,
            suspects=suspects,
            n_running=len(running),
        )
        self._spread(charged)
        quarantined = [found for found in charged if self._is_quarantined(found)]
        for suspicion in quarantined:
            self._note_quarantined(suspicion)
            self._rows.save(suspicion)
        if not quarantined:
            # Neighbours can't tell what is known on the other side of a partition.
            self._rows.read()

    def exonerate(self, cleared: Suspicion) -> None:
        """Take that a suspected request was answered by a target of this VM."""
        log.info(Event.REQUEST_EXONERATED, fingerprint=cleared.fingerprint.hex())
        self._spread((cleared,))

    def _take(self, vm: str, frame: Suspicions) -> None:
        self._spread(tuple(self._merge(frame.suspicions)), vm)

    def _restore(self, kept: Iterable[Suspicion]) -> None:
        self._spread(tuple(self._merge(kept)))

    def _merge(self, told: Iterable[Suspicion]) -> Iterable[Suspicion]:
        """Yield what was news."""
        for suspicion in told:
            was_quarantined = self._is_quarantined(suspicion)
            if not self._quarantine.merge(suspicion, self._now_ms()):
                continue
            if self._is_quarantined(suspicion) and not was_quarantined:
                self._note_quarantined(suspicion)
            yield suspicion

    def _is_quarantined(self, suspicion: Suspicion) -> bool:
        standing = self._quarantine.standing(suspicion.fingerprint, self._now_ms())
        return standing is Standing.QUARANTINED

    def _note_quarantined(self, suspicion: Suspicion) -> None:
        fingerprint = suspicion.fingerprint.hex()
        n_crashes = len(suspicion.crash_ids)
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
        for frame in _iter_frames(self._quarantine.suspicions()):
            self._control.send(vm, frame)

    def _spread(self, suspicions: tuple[Suspicion, ...], sender: str = "") -> None:
        for frame in _iter_frames(suspicions):
            for vm in self._control.neighbours:
                if vm != sender:
                    self._control.send(vm, frame)


def _iter_frames(suspicions: Iterable[Suspicion]) -> Iterable[Suspicions]:
    left = iter(suspicions)
    while taken := tuple(itertools.islice(left, _N_PER_FRAME_MAX)):
        yield Suspicions(taken)


__all__ = ["CrashReports"]
