"""What a daemon speaks to the world outside with, joined when it is built.

The daemon itself is the same wherever it runs. The platform that keeps its
rows, the source of its configuration, the headers of its callers and targets
and the further addresses that it serves differ from one deployment to another.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterator
from typing import TYPE_CHECKING, Any, Protocol

from msgspec import Struct

from pepperstair_core.calls import RetryBudget
from pepperstair_core.config import Settings
from pepperstair_core.routing import RouteTable
from pepperstair_core.versions import Snapshot
from pepperstair_http import HttpServer
from pepperstair_operators import OperatorServer
from pepperstair_platform import PlatformCounters, RowTable
from pepperstair_targets import TargetOptions

if TYPE_CHECKING:
    from .daemon import Daemon


class PlatformEdge(Protocol):
    """The client of the platform, as far as every daemon needs it."""

    counters: PlatformCounters

    def close(self) -> None:
        """Close the connections to the platform."""


class Configuration(Protocol):
    """The configuration in force, wherever it comes from."""

    route_table: RouteTable
    overrides: Any
    on_changed: Callable[[Snapshot], None]
    on_converged: Callable[[str, int], None]
    is_floor_known: bool
    reached_by: str

    def start(self) -> None:
        """Begin to follow the source."""

    def close(self) -> None:
        """Stop following."""

    def members_changed(self) -> None:
        """Take note that the directory of members has changed."""

    def catch_up(self) -> None:
        """Look for what was missed, after a pause."""

    def versions(self) -> dict[str, int]:
        """Return the version in force of each customer."""

    def get(self, customer: str) -> Snapshot | None:
        """Return the snapshot in force of a customer."""

    def age_ms(self) -> int:
        """Return how long ago the version in force was the newest, -1 if unknown."""

    def counters(self) -> dict[str, int]:
        """Return the counts that `status` and the metrics show."""

    def rejected(self) -> dict[str, Any]:
        """Return the versions that were applied nowhere, and why."""


class MemberTable(Protocol):
    """This daemon's entry in the platform's list of daemons."""

    def start(self) -> None:
        """Begin to write the own entry and to read the others."""

    async def remove_own(self) -> None:
        """Delete the own entry, as this daemon leaves."""


class FurtherServer(Struct, frozen=True):
    """One more address that the daemon serves."""

    server: HttpServer
    address: str


class Edges(Struct, frozen=True):
    """The functions that build the outside edges of one daemon."""

    make_platform: Callable[[Settings], PlatformEdge]
    make_configuration: Callable[[Daemon], Configuration]
    make_member_table: Callable[[Daemon], MemberTable]
    add_operations: Callable[[OperatorServer, Daemon], None]
    make_budget_of: Callable[[Daemon], Callable[[str], RetryBudget]]
    make_row_table: Callable[[Daemon], RowTable]
    iter_servers: Callable[[Daemon], Iterator[FurtherServer]] = lambda daemon: iter(())
    reload: Callable[[Daemon], None] = lambda daemon: None
    follow_settings: Callable[[Daemon], Coroutine[Any, Any, None]] | None = None
    target_options: TargetOptions = TargetOptions()
    service: str = ""


__all__ = [
    "Configuration",
    "Edges",
    "FurtherServer",
    "MemberTable",
    "PlatformEdge",
]
