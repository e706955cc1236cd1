"""Naive versions that the tests compare decisions with."""

from __future__ import annotations
