"""JSON from outside, which may be anything."""

from __future__ import annotations

import json
from typing import Any


def parse_json(text: str | bytes) -> Any:
    """Return what a text says, or raise ValueError.

    The parser itself raises RecursionError for one that is nested too deeply, which
    callers that expect malformed text would not catch.

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
