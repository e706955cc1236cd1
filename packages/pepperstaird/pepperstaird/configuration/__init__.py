"""Configuration on this daemon: executes the decisions of the distribution logic."""

from __future__ import annotations

from .agent import ConfigurationAgent
from .change_lines import WAIT_MAX_MS, ChangeLines
from .records import VersionRecord

__all__ = ["WAIT_MAX_MS", "ChangeLines", "ConfigurationAgent", "VersionRecord"]
