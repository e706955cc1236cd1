"""The daemon's HTTP interface for operators, and its client."""

from __future__ import annotations

from .client import DEFAULT_TIMEOUT_MS, OperatorClient, Reply
from .server import (
    OperatorHandler,
    OperatorReply,
    OperatorRequest,
    OperatorServer,
    failure_reply,
    json_reply,
    query_version,
)

__all__ = [
    "DEFAULT_TIMEOUT_MS",
    "OperatorHandler",
    "OperatorClient",
    "OperatorReply",
    "OperatorRequest",
    "OperatorServer",
    "Reply",
    "failure_reply",
    "json_reply",
    "query_version",
]
