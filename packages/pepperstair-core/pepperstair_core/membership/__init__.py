"""Decisions about members: the directory, liveness and neighbours."""

from __future__ import annotations

from .directory import MemberDirectory

__all__ = ["MemberDirectory"]
