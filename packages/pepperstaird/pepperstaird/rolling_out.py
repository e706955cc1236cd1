"""Builds the part of the daemon that follows orders of rollouts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog

from pepperstair_core.rollout import RolloutTerms

from .clock import boot_ms
from .rollouts import Rollouts

if TYPE_CHECKING:
    from .daemon import Daemon

log = structlog.get_logger(__name__)


def make_rollouts(daemon: Daemon) -> Rollouts | None:
    """Return the rollouts of a daemon, or None if they are not enabled."""
    settings = daemon.settings.rollouts
    make_rows = daemon.dependencies.make_rollout_rows
    if not settings.is_enabled or make_rows is None:
        return None

    def confirmed_ms() -> float:
        age_ms = daemon.configuration.age_ms()
        return boot_ms() - age_ms if age_ms >= 0 else -math.inf

    rollouts = Rollouts(
        daemon.identity,
        daemon.control,
        daemon.directory,
        make_rows(daemon),
        RolloutTerms(
            settings.exposure_percent / 100,
            settings.n_exposed_extra,
            settings.rollback_ms,
        ),
        daemon.decisions,
        daemon.runner.n_unfinished,
        confirmed_ms,
        boot_ms,
    )
    daemon.runner.on_run = rollouts.record
    daemon.runner.version_refusal = rollouts.refusal
    daemon.configuration.on_other_rows = rollouts.read_rows
    return rollouts


__all__ = ["make_rollouts"]
