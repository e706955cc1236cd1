"""Control streams, which carry members and configuration between neighbours."""

from __future__ import annotations

from .plane import ControlPlane

__all__ = ["ControlPlane"]
