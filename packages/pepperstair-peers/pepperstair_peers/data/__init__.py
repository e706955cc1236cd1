"""Data streams, which carry calls to and from other daemons."""

from __future__ import annotations

from .client import CallClient
from .server import CallRunner, CallServer

__all__ = ["CallClient", "CallRunner", "CallServer"]
