"""The pepperstair daemon: caller proxy, agent for local targets and fleet member."""

from __future__ import annotations

__all__: list[str] = []
