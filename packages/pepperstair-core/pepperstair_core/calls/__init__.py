"""Decisions about calls: choice of a target, admission, retries, kept answers."""

from __future__ import annotations

from .outcome import CallOutcome

__all__ = ["CallOutcome"]
