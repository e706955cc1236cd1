"""Tests of pepperstair."""

from __future__ import annotations
