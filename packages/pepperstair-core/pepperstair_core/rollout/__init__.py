"""Roll-outs: moving the requests of a service to another version of its targets."""

from __future__ import annotations

from .exposure import ExposureBudget, RolloutTerms, canary_targets, exposure_offset
from .records import Evidence, Phase, RolloutOrder, RolloutState, RouteCounts
from .rollout import Rollout, RolloutFleet

__all__ = [
    "Evidence",
    "ExposureBudget",
    "Phase",
    "Rollout",
    "RolloutFleet",
    "RolloutOrder",
    "RolloutState",
    "RolloutTerms",
    "RouteCounts",
    "canary_targets",
    "exposure_offset",
]
