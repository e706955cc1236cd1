"""Frozen records whose msgpack form is an array of their fields, in order."""

from __future__ import annotations

from msgspec import Struct


class ArrayRecord(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A record that daemons exchange, alone or nested in another one."""


__all__ = ["ArrayRecord"]
