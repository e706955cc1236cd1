"""Base class of records that are encoded as arrays of their fields, in order."""

from __future__ import annotations

from msgspec import Struct


class ArrayRecord(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An immutable record that daemons exchange, alone or nested in another one."""


__all__ = ["ArrayRecord"]
