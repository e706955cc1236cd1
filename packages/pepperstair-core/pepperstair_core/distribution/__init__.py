"""Decisions about configuration: acceptance, spreading and applying."""

from __future__ import annotations
