"""Tests of rollouts."""

from __future__ import annotations
