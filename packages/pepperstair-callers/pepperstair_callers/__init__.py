"""The proxy that callers speak to."""

from __future__ import annotations

from .context import AttemptSender, ProxyContext
from .proxy import Proxy

__all__ = ["AttemptSender", "Proxy", "ProxyContext"]
