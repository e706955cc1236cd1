"""The pepperstair daemon: proxy, agent beside targets and node of the fleet."""

from __future__ import annotations

__all__: list[str] = []
