"""The counts of one daemon, as returned by `GET /v1/burn`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import msgspec
from msgspec import Struct

from ..intent import Objectives
from ..schema import Fault, read_record

if TYPE_CHECKING:
    from result import Result

_MINUTE_MS: Final = 60_000
_HOUR_MS: Final = 60 * _MINUTE_MS
LONGEST_WINDOW_MS: Final = 72 * _HOUR_MS

WINDOWS_MS: Final = (
    5 * _MINUTE_MS,
    30 * _MINUTE_MS,
    _HOUR_MS,
    6 * _HOUR_MS,
    LONGEST_WINDOW_MS,
)


class CallCounts(Struct, frozen=True):
    """The calls of one priority in one window, by outcome class."""

    n_good: int = 0
    n_failed: int = 0
    n_late: int = 0

    @property
    def n_calls(self) -> int:
        """Return the number of calls that count towards the objective."""
        return self.n_good + self.n_failed + self.n_late

    def __add__(self, other: CallCounts) -> CallCounts:
        return CallCounts(
            self.n_good + other.n_good,
            self.n_failed + other.n_failed,
            self.n_late + other.n_late,
        )


class WindowCounts(Struct, frozen=True):
    """The calls of one window, which ends at the time of the report."""

    window_ms: int
    urgent: CallCounts
    normal: CallCounts


class Convergence(Struct, frozen=True):
    """A change that has been put in force everywhere.

    `age_ms` is the time since then; `duration_ms` is the time that the change took.
    """

    age_ms: int
    duration_ms: int


class CustomerCounts(Struct, frozen=True):
    """The counts of one daemon for one customer.

    `version` is the version from which the objectives are taken, 0 if the daemon holds
    none.
    """

    customer: str
    version: int
    objectives: Objectives
    windows: tuple[WindowCounts, ...]
    convergences: tuple[Convergence, ...]


class DaemonCounts(Struct, frozen=True):
    """The counts of one daemon since its start, `lived_ms` ago."""

    vm: str
    lived_ms: int
    customers: tuple[CustomerCounts, ...]


def counts_to_table(counts: DaemonCounts) -> dict[str, Any]:
    """Return a daemon's counts as built-in types that can be encoded as JSON."""
    return msgspec.to_builtins(counts)


def read_counts(table: object) -> Result[DaemonCounts, list[Fault]]:
    """Return a daemon's counts parsed from decoded JSON, or the faults found."""
    return read_record(DaemonCounts, table, "")


__all__ = [
    "LONGEST_WINDOW_MS",
    "WINDOWS_MS",
    "CallCounts",
    "Convergence",
    "CustomerCounts",
    "DaemonCounts",
    "WindowCounts",
    "counts_to_table",
    "read_counts",
]
