"""Benchmarks whose results the documentation quotes, each run by a make target."""

from __future__ import annotations
