"""The operators' interface of the daemon and its client."""

from __future__ import annotations

from .client import DEFAULT_TIMEOUT_MS, OperatorClient, Reply
from .server import (
    Handle,
    OperatorReply,
    OperatorRequest,
    OperatorServer,
    failure_reply,
    json_reply,
    query_version,
)

__all__ = [
    "DEFAULT_TIMEOUT_MS",
    "Handle",
    "OperatorClient",
    "OperatorReply",
    "OperatorRequest",
    "OperatorServer",
    "Reply",
    "failure_reply",
    "json_reply",
    "query_version",
]
