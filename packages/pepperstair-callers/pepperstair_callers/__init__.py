"""The proxy that callers speak to."""

from __future__ import annotations

from .proxy import Proxy, ProxyContext

__all__ = ["Proxy", "ProxyContext"]
