"""The `pepperstair` command line for operators."""

from __future__ import annotations

__all__: list[str] = []
