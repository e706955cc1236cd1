"""The HTTP proxy through which callers send their requests."""

from __future__ import annotations

from .context import AttemptSender, ProxyContext
from .proxy import Proxy

__all__ = ["AttemptSender", "Proxy", "ProxyContext"]
