"""A poison request, which crashes each instance that runs it, sent repeatedly."""

from __future__ import annotations

import hashlib

from .callers import Caller
from .history import Call

POISON_PREFIX = "/logs/"
POISON_PATH = f"{POISON_PREFIX}poison/400"


class PoisonCaller(Caller):
    """A caller that sends the same request each time, under a new id."""

    def _draw(self, request_id: str) -> tuple[Call, bytes]:
        routes = {route.prefix: route for route in self._routes()}
        call = Call(
            request_id=request_id,
            vm=self._endpoint.vm,
            process=self._endpoint.process(),
            path=POISON_PATH,
            prefix=POISON_PREFIX,
            digest=hashlib.sha256(b"").hexdigest(),
            is_idempotent=True,
            timeout_s=routes[POISON_PREFIX].timeout_s,
            sent_s=self._now_s(),
            is_poison=True,
        )
        return call, b""


__all__ = ["POISON_PATH", "POISON_PREFIX", "PoisonCaller"]
