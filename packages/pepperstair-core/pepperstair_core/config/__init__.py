"""The settings of a daemon: their schema, and reading them from TOML."""

from __future__ import annotations

from .settings import (
    AccountsSettings,
    CallersSettings,
    CallsSettings,
    MembersSettings,
    MetricsSettings,
    OperatorsSettings,
    PeersSettings,
    PlatformSettings,
    QuotasSettings,
    RolloutsSettings,
    Settings,
    VmSettings,
    parse_address,
    parse_settings_toml,
    read_settings_table,
)

__all__ = [
    "AccountsSettings",
    "CallersSettings",
    "CallsSettings",
    "MembersSettings",
    "MetricsSettings",
    "OperatorsSettings",
    "PeersSettings",
    "PlatformSettings",
    "QuotasSettings",
    "RolloutsSettings",
    "Settings",
    "VmSettings",
    "parse_address",
    "parse_settings_toml",
    "read_settings_table",
]
