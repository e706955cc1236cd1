"""Data streams: calls sent to other daemons and calls taken from them."""

from __future__ import annotations

from .client import CallClient
from .server import CallRunner, CallServer

__all__ = ["CallClient", "CallRunner", "CallServer"]
