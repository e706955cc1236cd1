"""The operator of a soak: writes versions of the configuration to the store."""

from __future__ import annotations

import json
import random
from collections.abc import Callable

from tests.adapter.documents import rule
from tests.adapter.store_stand_in import StoreStandIn

from .callers import HOST
from .history import History, Route, Version

SERVICES = ("ledger", "vault", "archive")
_TIMEOUT_S = 1.0
_N_ATTEMPTS = 2
# Number of temporary routes at a time; each is in this many versions, then removed.
_N_TEMPORARY_ROUTES = 3
_INVALID_SHARE = 0.2
_TYPES = {"/awards/": "non_idempotent", "/maps/": "download"}


class Operator:
    """Writes complete versions, whose numbers rise in uneven steps."""

    def __init__(
        self,
        store: StoreStandIn,
        history: History,
        rng: random.Random,
        now_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._history = history
        self._rng = rng
        self._now_s = now_s
        self._n_versions = 0
        self._number = 0

    def routes(self) -> list[Route]:
        """Return the routes of the newest version."""
        return list(self._history.versions[-1].routes.values())

    def write(self) -> None:
        """Write the next version, sometimes preceded by a truncated, invalid one."""
        self._n_versions += 1
        self._number += self._rng.randint(1, 4)
        routes = self._next_routes()
        text = _document(self._number, routes)
        if self._n_versions > 1 and self._rng.random() < _INVALID_SHARE:
            self._store.put("op", "config", text[: len(text) // 2])
        self._store.put("op", "config", text)
        version = Version(self._number, routes, self._now_s())
        self._history.versions.append(version)

    def _next_routes(self) -> dict[str, Route]:
        offset = self._n_versions % len(SERVICES)
        services = {
            "/logs/": SERVICES[offset],
            "/awards/": SERVICES[(offset + 1) % len(SERVICES)],
            "/maps/": "archive",
        }
        for number in range(
            max(1, self._n_versions - _N_TEMPORARY_ROUTES), self._n_versions
        ):
            services[f"/passing-{number}/"] = "ledger"
        return {
            prefix: Route(
                prefix,
                service,
                _TYPES.get(prefix) != "non_idempotent",
                _TIMEOUT_S,
                _N_ATTEMPTS,
            )
            for prefix, service in services.items()
        }


def _document(number: int, routes: dict[str, Route]) -> bytes:
    rules = [
        rule(
            f"r{route.prefix.strip('/')}",
            route.prefix,
            route.service,
            route_type=_TYPES.get(route.prefix, "idempotent"),
            priority=1 if not route.is_idempotent else 2,
            action={
                "timeout_ms": int(route.timeout_s * 1000),
                "attempts": route.n_attempts,
            },
        )
        for route in routes.values()
    ]
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 1_000_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    }
    table = {
        "version": f"r{number}",
        "limits": limits,
        "listeners": [{"hostname": HOST.decode(), "policy": rules}],
        "clusters": [{"name": name} for name in SERVICES],
    }
    return json.dumps(table).encode()


__all__ = ["SERVICES", "Operator"]
