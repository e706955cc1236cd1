"""The settings of a daemon: their schema, and reading them from TOML."""

from __future__ import annotations

from .settings import (
    CallersSettings,
    CallsSettings,
    MembersSettings,
    MetricsSettings,
    OperatorsSettings,
    PeersSettings,
    PlatformSettings,
    Settings,
    VmSettings,
    parse_address,
    parse_settings_toml,
    read_settings_table,
)

__all__ = [
    "CallersSettings",
    "CallsSettings",
    "MembersSettings",
    "MetricsSettings",
    "OperatorsSettings",
    "PeersSettings",
    "PlatformSettings",
    "Settings",
    "VmSettings",
    "parse_address",
    "parse_settings_toml",
    "read_settings_table",
]
