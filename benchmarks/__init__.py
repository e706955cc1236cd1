"""Measurements that the documentation quotes, each run by make."""

from __future__ import annotations
