"""Minimal stand-ins for the platform and for targets."""

from __future__ import annotations
