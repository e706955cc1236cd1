"""Log lines of calls that a target did not run, or did not finish."""

from __future__ import annotations

import structlog

from pepperstair_core.errors import Failure
from pepperstair_core.events import Event
from pepperstair_core.wire import CallHead

from .local_target import LocalTarget

log = structlog.get_logger(__name__)


def log_refused(
    head: CallHead, local: LocalTarget, failure: Failure, waited_ms: float
) -> None:
    log.info(
        Event.REQUEST_REFUSED,
        request_id=head.request_id,
        route=head.route,
        target=head.target,
        cause=failure.detail,
        waited_ms=round(waited_ms, 1),
        time_left_ms=head.time_left_ms,
        wanted_left_ms=head.wanted_left_ms,
        n_in_flight=local.n_in_flight,
        n_slots=local.slots.admission.n_slots,
        n_queued=local.slots.admission.n_queued,
        n_queued_short=local.slots.admission.n_queued_short,
        retry_after_ms=failure.retry_after_ms,
    )


def log_failed(head: CallHead, failure: Failure, lasted_ms: float) -> None:
    log.info(
        Event.TARGET_CALL_FAILED,
        request_id=head.request_id,
        fingerprint=head.fingerprint.hex(),
        path=head.path,
        route=head.route,
        target=head.target,
        kind=failure.kind,
        cause=failure.detail,
        run=failure.run_status,
        lasted_ms=round(lasted_ms, 1),
    )


__all__ = ["log_failed", "log_refused"]
