"""HTTP/1.1 server and client, based on h11, shared by the pepperstair packages."""

from __future__ import annotations

from .body import BodyBuffer, ConnectionLostError, StreamedResponse
from .client import ClientConnection, connect
from .connection import ServerConnection
from .exchange import Exchange, Handler
from .fetch import Fetcher
from .header_names import PRODUCT_HEADERS, HeaderNames
from .limits import PipelineLimits, ServerLimits
from .messages import (
    Headers,
    Request,
    Response,
    ResponseHead,
    end_to_end_headers,
    header_value,
)
from .receiving import ReceivingProtocol
from .server import HttpServer
from .sockets import detect_dead_peer
from .target_statement import (
    KNOWN_LIMIT_HEADER,
    MISDIRECTED_STATUS,
    NO_STATEMENT,
    TargetStatement,
    is_signed,
    parse_rate_limit,
    read_statement,
)
from .writing import WriteGate

__all__ = [
    "KNOWN_LIMIT_HEADER",
    "MISDIRECTED_STATUS",
    "NO_STATEMENT",
    "PRODUCT_HEADERS",
    "PipelineLimits",
    "BodyBuffer",
    "ClientConnection",
    "ConnectionLostError",
    "Exchange",
    "Fetcher",
    "Handler",
    "HeaderNames",
    "Headers",
    "HttpServer",
    "ReceivingProtocol",
    "Request",
    "Response",
    "ResponseHead",
    "ServerConnection",
    "ServerLimits",
    "StreamedResponse",
    "TargetStatement",
    "WriteGate",
    "connect",
    "end_to_end_headers",
    "header_value",
    "is_signed",
    "parse_rate_limit",
    "read_statement",
    "detect_dead_peer",
]
