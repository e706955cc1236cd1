"""Configuration on this daemon: executes the decisions of the distribution logic."""

from __future__ import annotations

from .agent import ConfigurationAgent
from .change_queues import WAIT_MAX_MS, ChangeQueues
from .records import VersionRecord

__all__ = ["WAIT_MAX_MS", "ChangeQueues", "ConfigurationAgent", "VersionRecord"]
