"""Operators' documents in the platform's format, for tests."""

from __future__ import annotations

import json
from typing import Any


def rule(name: str, prefix: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a rule that sends requests to one service."""
    action = {"service": service, "timeout_ms": 800, "attempts": 2}
    action.update(more.pop("action", {}))
    return {
        "name": name,
        "route_type": "idempotent",
        "target_latency_ms": 300,
        "priority": 2,
        "match": {"prefix": prefix},
        "action": action,
        **more,
    }


def document(version: int = 7, *rules: dict[str, Any], **more: Any) -> bytes:
    """Return a complete document with two services."""
    table = {
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 67_108_864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "listeners": [
            {
                "hostname": "maps.example",
                "policy": list(rules) or [rule("logs", "/logs/", "ledger")],
            }
        ],
        "clusters": [{"name": "ledger"}, {"name": "vault"}],
        **more,
    }
    return json.dumps(table).encode()
