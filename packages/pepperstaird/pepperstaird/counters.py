"""The counts that `status` and the metrics show, each with its meaning."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

_DOC: Final = "doc"


def counted(doc: str) -> Any:
    """Declare one count with the sentence that its page has for it."""
    return field(default=0, metadata={_DOC: doc})


def iter_docs(cls: type) -> Iterator[tuple[str, str]]:
    """Yield each count of a data class with its sentence."""
    for item in dataclasses.fields(cls):
        if _DOC in item.metadata:
            yield item.name, item.metadata[_DOC]


@dataclass(frozen=True, slots=True)
class DaemonCounters:
    """What happened since the daemon was started; counts only rise."""

    n_calls: int = counted("Requests of callers.")
    n_calls_failed: int = counted("Requests of callers answered with an error.")
    n_calls_taken: int = counted("Calls taken from other daemons.")
    n_requests_malformed: int = counted("Requests of callers that were no HTTP.")
    n_streams_rejected: int = counted("Streams of other daemons that were refused.")
    n_platform_reads: int = counted("Reads from the platform.")
    n_platform_writes: int = counted("Writes to the platform.")
    n_metrics_sent: int = counted("Metrics handed to the network.")
    n_metrics_dropped: int = counted("Metrics dropped, as the receiver was away.")
    n_versions_ignored: int = counted(
        "Versions that arrived and were no newer than the one held."
    )
    n_versions_rejected: int = counted(
        "Versions that were not valid or did not match their digest."
    )
    n_deltas_applied: int = counted("Versions built from a difference.")
    n_deltas_refused: int = counted(
        "Differences that did not apply; the whole version was pulled."
    )
    n_full_pulls: int = counted("Whole versions asked for.")
    n_full_pulls_served: int = counted("Whole versions sent to other daemons.")
    n_busy_sent: int = counted("Pulls of other daemons declined for now.")
    n_prunes: int = counted(
        "Neighbours asked to announce a customer instead of pushing it."
    )
    n_in_force_alone: int = counted(
        "Versions put in force without a second holder's acknowledgement."
    )
    frames: tuple[tuple[str, int], ...] = ()

    def iter_named(self) -> Iterator[tuple[str, int]]:
        """Yield every count, those by kind of frame last."""
        for name, _ in iter_docs(DaemonCounters):
            yield name, getattr(self, name)
        yield from self.frames


# Counted by kind of frame, whose name in lower case ends the count's name.
FRAME_COUNTS: Final = (
    ("n_control_sent_frames", "Frames sent on control streams, by kind."),
    ("n_control_sent_bytes", "Bytes sent on control streams, by kind of frame."),
    ("n_data_sent_frames", "Frames sent on data streams, by kind."),
    ("n_data_sent_bytes", "Bytes sent on data streams, by kind of frame."),
)


@dataclass(frozen=True, slots=True)
class DaemonGauges:
    """What holds right now."""

    n_members: int = counted("Members that are not gone.")
    n_targets: int = counted("Targets announced to this daemon.")
    n_customers: int = counted("Customers with a version in force.")
    n_calls_in_flight: int = counted("Calls that run on targets of this VM.")


__all__ = [
    "FRAME_COUNTS",
    "DaemonCounters",
    "DaemonGauges",
    "counted",
    "iter_docs",
]
