"""Configuration on this daemon: carries out what the distribution decides."""

from __future__ import annotations

from .agent import ConfigurationAgent
from .records import VersionRecord

__all__ = ["ConfigurationAgent", "VersionRecord"]
