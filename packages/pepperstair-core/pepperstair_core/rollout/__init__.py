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
from .records import Evidence, Phase, RolloutOrder, RolloutState, RouteCounts
from .rollout import Rollout, RolloutFleet

__all__ = [
    "Evidence",
    "ExposureBudget",
    "Phase",
    "Portion",
    "Rollout",
    "RolloutFleet",
    "RolloutOrder",
    "RolloutState",
    "RolloutTerms",
    "RouteCounts",
    "canary_targets",
    "exposure_offset",
    "step_targets",
]
