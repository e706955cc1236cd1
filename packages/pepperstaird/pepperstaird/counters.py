"""The counts that `status` and the metrics show, each with its meaning."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from pepperstair_core.calls import ZoneExit

if TYPE_CHECKING:
    from .daemon import Daemon

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
    n_calls_held_at_start: int = counted("Requests that waited for a starting daemon.")
    n_calls_taken: int = counted("Calls taken from other daemons.")
    n_calls_refused: int = counted("Calls refused beside a target as not run.")
    n_connections: int = counted("Connections of callers.")
    n_connections_refused: int = counted("Connections of callers over the cap.")
    n_connections_stalled: int = counted("Connections of callers closed as stalled.")
    n_requests_malformed: int = counted("Requests of callers that were no HTTP.")
    n_requests_ahead: int = counted("Requests begun before an earlier answer.")
    n_requests_dropped: int = counted("Requests read and never begun, at a close.")
    n_streams_rejected: int = counted("Streams of other daemons that were refused.")
    n_platform_reads: int = counted("Reads from the platform.")
    n_platform_watches: int = counted("Reads from the platform that wait for changes.")
    n_platform_writes: int = counted("Writes to the platform.")
    n_platform_failures: int = counted("Requests that the platform did not answer.")
    n_platform_refused: int = counted(
        "Requests to the platform whose turn did not come in time."
    )
    n_pauses: int = counted("Times that this process did not run for a while.")
    n_metrics_sent: int = counted("Metrics handed to the network.")
    n_metrics_dropped: int = counted("Metrics dropped, as the receiver was away.")
    n_versions_ignored: int = counted(
        "Versions heard that were no newer than the held one."
    )
    n_versions_rejected: int = counted(
        "Versions that failed their digest or validation."
    )
    n_deltas_applied: int = counted("Deltas applied to the held version.")
    n_deltas_refused: int = counted("Deltas whose base version was not held.")
    n_full_pulls: int = counted("Whole snapshots asked for.")
    n_full_pulls_served: int = counted("Whole snapshots sent to neighbours.")
    n_busy_sent: int = counted("Pulls declined for now.")
    n_prunes: int = counted("Neighbours asked to announce instead of pushing.")
    n_in_force_alone: int = counted("Versions put in force without a second holder.")
    n_call_retries: int = counted("Attempts of callers' requests after the first.")
    n_calls_far_no_target: int = counted("Calls to other zones: no target in the own.")
    n_calls_far_left_out: int = counted("Calls to other zones: own targets left out.")
    n_calls_far_full: int = counted("Calls to other zones: own targets full.")
    n_calls_far_slow: int = counted("Calls to other zones: own targets too slow.")
    n_streams_replaced: int = counted("Streams lost while calls waited on them.")
    n_frames_dropped: int = counted("Frames that came for calls which were gone.")
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
    n_requests_in_flight: int = counted("Requests of callers not yet answered.")
    configuration_age_ms: int = counted(
        "Time since the version in force was known to be the newest, 0 if unknown."
    )


def read_counters(daemon: Daemon) -> DaemonCounters:
    """Collect the counts of all parts of a daemon."""
    frames = (
        named
        for kind, counters in daemon.frame_counters.items()
        for named in counters.iter_named(kind.value)
    )
    return DaemonCounters(
        n_calls=daemon.proxy.n_calls,
        n_calls_failed=daemon.proxy.n_failed,
        n_call_retries=daemon.proxy.n_retries,
        n_calls_held_at_start=daemon.proxy.n_held_at_start,
        n_calls_taken=daemon.call_server.n_calls,
        n_calls_refused=daemon.runner.n_refused,
        n_connections=daemon.callers.counters.n_connections,
        n_connections_refused=daemon.callers.counters.n_refused,
        n_connections_stalled=daemon.callers.counters.n_stalled,
        n_requests_malformed=daemon.callers.counters.n_malformed,
        n_requests_ahead=daemon.callers.counters.n_ahead,
        n_requests_dropped=daemon.callers.counters.n_dropped,
        n_streams_rejected=daemon.listener.n_rejected,
        n_platform_reads=daemon.platform.counters.n_reads,
        n_platform_watches=daemon.platform.counters.n_watches,
        n_platform_writes=daemon.platform.counters.n_writes,
        n_platform_failures=daemon.platform.counters.n_failures,
        n_platform_refused=daemon.platform.counters.n_refused,
        n_pauses=daemon.control.n_pauses,
        n_calls_far_no_target=daemon.chooser.n_left_zone[ZoneExit.NO_TARGET],
        n_calls_far_left_out=daemon.chooser.n_left_zone[ZoneExit.LEFT_OUT],
        n_calls_far_full=daemon.chooser.n_left_zone[ZoneExit.FULL],
        n_calls_far_slow=daemon.chooser.n_left_zone[ZoneExit.SLOW],
        n_streams_replaced=daemon.call_client.n_replaced_streams,
        n_frames_dropped=(
            daemon.call_client.n_dropped_frames + daemon.call_server.n_dropped_frames
        ),
        n_metrics_sent=daemon.metrics.n_sent,
        n_metrics_dropped=daemon.metrics.n_dropped,
        **daemon.configuration.counters(),
        frames=tuple(frames),
    )


def read_gauges(daemon: Daemon) -> DaemonGauges:
    """Collect what holds right now in all parts of a daemon."""
    return DaemonGauges(
        n_members=sum(member.is_usable for member in daemon.directory.members()),
        n_targets=len(daemon.registry.targets()),
        n_customers=len(daemon.configuration.versions()),
        n_calls_in_flight=daemon.runner.n_in_flight,
        n_requests_in_flight=daemon.proxy.n_in_flight,
        # Below zero a gauge of statsd would count as a difference.
        configuration_age_ms=max(0, daemon.configuration.age_ms()),
    )


__all__ = [
    "FRAME_COUNTS",
    "DaemonCounters",
    "DaemonGauges",
    "counted",
    "iter_docs",
    "read_counters",
    "read_gauges",
]
