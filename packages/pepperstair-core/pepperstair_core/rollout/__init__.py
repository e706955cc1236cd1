"""Roll-outs: moving the requests of a service to another version of its targets."""

from __future__ import annotations

from .exposure import (
    ExposureBudget,
    Portion,
    RolloutTerms,
    canary_targets,
    exposure_offset,
    step_targets,
)
from .records import (
    Evidence,
    OrderEnd,
    Phase,
    RolloutOrder,
    RolloutState,
    RouteCounts,
    VersionRecord,
)
from .rollout import Rollout, RolloutFleet

__all__ = [
    "Evidence",
    "ExposureBudget",
    "OrderEnd",
    "Phase",
    "Portion",
    "Rollout",
    "RolloutFleet",
    "RolloutOrder",
    "RolloutState",
    "RolloutTerms",
    "RouteCounts",
    "VersionRecord",
    "canary_targets",
    "exposure_offset",
    "step_targets",
]
