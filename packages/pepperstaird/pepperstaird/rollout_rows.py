"""The interface of the platform's rows of rollouts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

from msgspec import Struct
from result import Result

from pepperstair_core.errors import Failure
from pepperstair_core.members import Target
from pepperstair_core.rollout import RolloutOrder, RolloutState
from pepperstair_platform import WatchedRow


class OrderRow(Struct, frozen=True):
    """An operator's order for a service; `order` is None if it was withdrawn.

    `number` is the position of the row's last change, 0 if unknown.
    """

    service: str
    order: RolloutOrder | None
    number: int


class StoredRollout(Struct, frozen=True):
    """The agreed state of a rollout and the version of the row that holds it."""

    state: RolloutState
    row_version: int


class RolloutRows(Protocol):
    """The rows of operators' orders and of the agreed states."""

    def service_of(self, target: Target) -> str:
        """Return the service that a target belongs to."""

    def read_orders(self, rows: Iterable[WatchedRow]) -> Iterator[OrderRow]:
        """Yield the orders in rows of the operators' table.

        Rows that can't be read are logged and yield nothing.
        """

    async def read(self) -> Result[tuple[StoredRollout, ...], Failure]:
        """Return the agreed states of all services."""

    async def read_at_start(self) -> Result[tuple[StoredRollout, ...], Failure]:
        """Return the agreed states, by a read that a starting daemon does anyway."""

    async def write(
        self, state: RolloutState, row_version: int, *, is_withdrawn: bool = False
    ) -> Result[bool, Failure]:
        """Write an agreed state and its answer to the operator in one transaction.

        Return False if the row does not have the version `row_version`, 0 if it must
        not exist. The withdrawal of an order is not answered.
        """


__all__ = ["OrderRow", "RolloutRows", "StoredRollout"]
