"""Tests of the distribution's decisions."""

from __future__ import annotations
