"""Log lines and decisions on rollouts."""

from __future__ import annotations

import structlog

from pepperstair_core.decisions import DecisionKind, DecisionLog
from pepperstair_core.events import Event
from pepperstair_core.rollout import Rollout

log = structlog.get_logger(__name__)


def log_order(rollout: Rollout, age_ms: int) -> None:
    """Log that an order was first seen, with its age."""
    order = rollout.order
    log.info(
        Event.ROLLOUT_ORDERED,
        service=order.service,
        target_version=order.target_version,
        number=order.number,
        duration_ms=order.duration_ms,
        age_ms=age_ms,
    )


def report_phase(rollout: Rollout, decisions: DecisionLog, now_ms: float) -> None:
    """Log a phase that was agreed on, and record it as a decision."""
    order = rollout.order
    phase = rollout.phase.name.lower()
    log.info(
        Event.ROLLOUT_PHASE_CHANGED,
        service=order.service,
        target_version=order.target_version,
        number=order.number,
        phase=phase,
    )
    _add_decision(rollout, f"{order.target_version} is {phase}", decisions, now_ms)


def report_portion(rollout: Rollout, decisions: DecisionLog, now_ms: float) -> None:
    """Log the part of the requests that goes to the new version in promotion."""
    order = rollout.order
    portion = rollout.portion.name.lower()
    log.info(
        Event.ROLLOUT_PORTION_CHANGED,
        service=order.service,
        target_version=order.target_version,
        number=order.number,
        portion=portion,
        excess=rollout.explain(now_ms)["excess"],
    )
    cause = f"{order.target_version} gets requests: {portion}"
    _add_decision(rollout, cause, decisions, now_ms)


def report_verdict(rollout: Rollout, decisions: DecisionLog, now_ms: float) -> None:
    """Log that this daemon considers a version bad, and record it as a decision."""
    order = rollout.order
    explained = rollout.explain(now_ms)
    log.warning(
        Event.ROLLOUT_VERDICT,
        service=order.service,
        target_version=order.target_version,
        number=order.number,
        counts=explained["counts"],
        scores=explained["scores"],
        excess=explained["excess"],
    )
    _add_decision(rollout, f"{order.target_version} is bad", decisions, now_ms)


def report_release(service: str, version: str, cause: str) -> None:
    """Log that a version may get requests without an order."""
    log.info(
        Event.VERSION_RELEASED, service=service, target_version=version, cause=cause
    )


def report_held(service: str, versions: frozenset[str], ordered: str | None) -> None:
    """Log which versions of a service get no requests, whatever the order's phase."""
    log.info(
        Event.VERSION_HELD,
        service=service,
        versions=sorted(versions),
        ordered_version=ordered,
    )


def _add_decision(
    rollout: Rollout, cause: str, decisions: DecisionLog, now_ms: float
) -> None:
    counts = rollout.explain(now_ms)["counts"]
    figures = tuple(
        (
            f"{name}_{side}",
            float(sum(each[name] for each in counts if each["side"] == side)),
        )
        for side in ("new", "old")
        for name in ("n_run", "n_bad")
    )
    service = rollout.order.service
    decisions.record(DecisionKind.ROLLOUT, service, cause, figures)


__all__ = [
    "log_order",
    "report_held",
    "report_phase",
    "report_portion",
    "report_release",
    "report_verdict",
]
