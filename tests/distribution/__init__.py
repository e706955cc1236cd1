"""Tests of the configuration distribution."""

from __future__ import annotations
