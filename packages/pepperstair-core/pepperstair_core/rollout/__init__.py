"""Roll-outs: moving the requests of a service to another version of its targets."""

from __future__ import annotations

from .records import Evidence, Phase, RolloutOrder, RolloutState, RouteCounts

__all__ = ["Evidence", "Phase", "RolloutOrder", "RolloutState", "RouteCounts"]
