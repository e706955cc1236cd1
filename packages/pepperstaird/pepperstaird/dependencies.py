"""The external dependencies of a daemon, which are injected when it is built.

The daemon itself is the same in every deployment. The platform that keeps its
rows, the source of its configuration, the headers of its callers and targets
and the additional addresses that it serves differ from one deployment to another.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterator
from typing import TYPE_CHECKING, Any, Protocol

from msgspec import Struct

from pepperstair_core.accounts import AccountTable
from pepperstair_core.calls import RetryBudget
from pepperstair_core.config import Settings
from pepperstair_core.freshness import VersionBasis
from pepperstair_core.routing import RouteTable
from pepperstair_core.versions import Snapshot
from pepperstair_http import HttpServer
from pepperstair_operators import OperatorServer
from pepperstair_platform import PlatformCounters, RowTable
from pepperstair_targets import TargetOptions

from .rollout_rows import RolloutRows

if TYPE_CHECKING:
    from .daemon import Daemon


class PlatformClient(Protocol):
    """The part of the platform's client that every daemon needs."""

    counters: PlatformCounters

    def close(self) -> None:
        """Close the connections to the platform."""


class Configuration(Protocol):
    """The configuration in force, independent of its source."""

    route_table: RouteTable
    accounts: AccountTable
    overrides: Any
    on_changed: Callable[[Snapshot], None]
    on_converged: Callable[[str, int], None]
    is_floor_known: bool
    reached_by: str

    def start(self) -> None:
        """Start following the source."""

    def close(self) -> None:
        """Stop following."""

    def members_changed(self) -> None:
        """Handle a change of the directory of members."""

    def catch_up(self) -> None:
        """Fetch versions that were missed during a pause of the process."""

    def versions(self) -> dict[str, int]:
        """Return the version in force of each customer."""

    def get(self, customer: str) -> Snapshot | None:
        """Return the snapshot in force of a customer."""

    def age_ms(self) -> int:
        """Return how long ago this version was known to be newest, -1 if unknown."""

    def basis(self) -> VersionBasis | None:
        """Return what is known of the version in force, None if nothing is."""

    def proof_age_ms(self) -> float:
        """Return the age of the proof that this version is the newest, inf if none."""

    def counters(self) -> dict[str, int]:
        """Return the counts that `status` and the metrics show."""

    def rejected(self) -> dict[str, Any]:
        """Return the rejected versions and the cause of each rejection."""


class MemberTable(Protocol):
    """This daemon's row in the platform's table of daemons."""

    def start(self) -> None:
        """Start writing this daemon's row and reading the others."""

    async def remove_own(self) -> None:
        """Delete this daemon's row, as the daemon leaves the fleet."""


class AdditionalServer(Struct, frozen=True):
    """An additional server of the daemon and the address that it listens on."""

    server: HttpServer
    address: str


class DaemonDependencies(Struct, frozen=True):
    """The factories and options that adapt a daemon to its deployment.

    `make_budget_lookup` returns a function from the name of a service to its retry
    budget, `iter_servers` yields additional servers, and `reload` is called on
    SIGHUP. `follow_settings` runs as long as the daemon, if given. `service` is the
    service of the VM's own target; its name is sent in a header of forwarded requests.
    `make_rollout_rows` returns the rows of rollouts, if the platform has them.
    """

    make_platform: Callable[[Settings], PlatformClient]
    make_configuration: Callable[[Daemon], Configuration]
    make_member_table: Callable[[Daemon], MemberTable]
    add_operations: Callable[[OperatorServer, Daemon], None]
    make_budget_lookup: Callable[[Daemon], Callable[[str], RetryBudget]]
    make_row_table: Callable[[Daemon], RowTable]
    iter_servers: Callable[[Daemon], Iterator[AdditionalServer]] = lambda daemon: iter(
        ()
    )
    reload: Callable[[Daemon], None] = lambda daemon: None
    follow_settings: Callable[[Daemon], Coroutine[Any, Any, None]] | None = None
    target_options: TargetOptions = TargetOptions()
    service: str = ""
    make_rollout_rows: Callable[[Daemon], RolloutRows] | None = None


__all__ = [
    "Configuration",
    "DaemonDependencies",
    "AdditionalServer",
    "MemberTable",
    "PlatformClient",
]
