"""Parsing of JSON from untrusted sources."""

from __future__ import annotations

import json
from typing import Any


def parse_json(text: str | bytes) -> Any:
    """Return the parsed value of a JSON text, or raise ValueError.

    For a text that is nested too deeply, `json.loads` raises RecursionError, which
    callers that handle malformed text would not catch.

    >>> parse_json(b"[1]")
    [1]
    >>> parse_json("[" * 100_000)
    Traceback (most recent call last):
    ...
    ValueError: nested too deeply
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


__all__ = ["parse_json"]
