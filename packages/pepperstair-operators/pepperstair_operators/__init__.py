"""The operators' interface of the daemon and its client."""

from __future__ import annotations

from .client import OperatorClient, Reply
from .server import (
    Handle,
    OperatorReply,
    OperatorRequest,
    OperatorServer,
    failure_reply,
    json_reply,
)

__all__ = [
    "Handle",
    "OperatorClient",
    "OperatorReply",
    "OperatorRequest",
    "OperatorServer",
    "Reply",
    "failure_reply",
    "json_reply",
]
