"""The dependencies of a daemon that uses pepperstair's own interfaces throughout."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pepperstair_core.calls import RetryBudget, TokenRetryBudget
from pepperstair_operators import OperatorServer
from pepperstair_platform import Platform

from .configuration import ConfigurationAgent
from .configuration_operations import add_configuration_operations
from .dependencies import DaemonDependencies
from .member_rows import MemberRows
from .operations import add_operations

if TYPE_CHECKING:
    from collections.abc import Callable

    from .daemon import Daemon


def product_dependencies() -> DaemonDependencies:
    """Return the dependencies of a daemon with pepperstair's own settings file."""
    return DaemonDependencies(
        make_platform=lambda settings: Platform(settings.platform),
        make_configuration=_make_configuration,
        make_member_table=lambda daemon: MemberRows(
            daemon.platform, daemon.control, daemon.directory, daemon.rng
        ),
        add_operations=_add_operations,
        make_budget_lookup=_make_budget_lookup,
        make_row_table=lambda daemon: daemon.platform,
    )


def _make_configuration(daemon: Daemon) -> ConfigurationAgent:
    return ConfigurationAgent(
        daemon.platform,
        daemon.settings.platform,
        daemon.control,
        daemon.directory,
        daemon.decisions,
        daemon.rng,
    )


def _add_operations(server: OperatorServer, daemon: Daemon) -> None:
    add_operations(server, daemon)
    add_configuration_operations(server, daemon)


def _make_budget_lookup(daemon: Daemon) -> Callable[[str], RetryBudget]:
    """Return a function that yields the same retry budget for every service."""
    budget = TokenRetryBudget()
    return lambda service: budget


__all__ = ["product_dependencies"]
