"""Naive versions of decisions, as baselines for the tests."""

from __future__ import annotations
