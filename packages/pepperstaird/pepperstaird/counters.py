"""Counters and gauges shown by `status` and the metrics, with their descriptions."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Annotated, Final, get_origin

from msgspec import Meta, Struct, structs

from pepperstair_core.calls import CrossZoneCause, GiveUpCause

from .clock import precise_ms

if TYPE_CHECKING:
    from .daemon import Daemon


def iter_docs(cls: type[Struct]) -> Iterator[tuple[str, str]]:
    """Yield the name and the description of each annotated field of a struct."""
    for item in structs.fields(cls):
        if get_origin(item.type) is Annotated:
            yield item.name, item.type.__metadata__[0].description


class DaemonCounters(Struct, frozen=True):
    """Counters of events since the start of the daemon; they never decrease."""

    n_calls: Annotated[int, Meta(description="Requests of callers.")] = 0
    n_calls_failed: Annotated[
        int, Meta(description="Requests of callers answered with an error.")
    ] = 0
    n_calls_held_at_start: Annotated[
        int, Meta(description="Requests that waited for a starting daemon.")
    ] = 0
    n_calls_taken: Annotated[
        int, Meta(description="Calls taken from other daemons.")
    ] = 0
    n_calls_refused: Annotated[
        int, Meta(description="Calls refused beside a target as not run.")
    ] = 0
    n_calls_refused_beyond_run_limit: Annotated[
        int,
        Meta(
            description="Calls refused beside a target, as calls that it makes are "
            "refused."
        ),
    ] = 0
    n_requests_sent: Annotated[
        int, Meta(description="Requests sent to the targets of this VM.")
    ] = 0
    n_calls_quarantined: Annotated[
        int,
        Meta(description="Requests refused, as those like them crashed targets."),
    ] = 0
    n_calls_unauthorized: Annotated[
        int, Meta(description="Requests refused, as their key is missing or unknown.")
    ] = 0
    n_calls_unproved: Annotated[
        int,
        Meta(description="Requests refused, as the accounts may be out of date."),
    ] = 0
    n_calls_unrouted: Annotated[
        int, Meta(description="Requests refused, as no route matches them.")
    ] = 0
    n_calls_unconfirmed: Annotated[
        int, Meta(description="Of these, refused as a newer version may have a route.")
    ] = 0
    n_proofs_asked: Annotated[
        int, Meta(description="Neighbours asked if the version is the newest.")
    ] = 0
    n_targets_crashed: Annotated[
        int, Meta(description="Targets of this VM that ended while they ran calls.")
    ] = 0
    n_requests_exposed: Annotated[
        int, Meta(description="Requests sent to the canary targets of a rollout.")
    ] = 0
    n_rollout_answers_bad: Annotated[
        int,
        Meta(description="Bad answers of a version under trial at targets of this VM."),
    ] = 0
    n_calls_of_other_version: Annotated[
        int, Meta(description="Calls refused beside a target for its version.")
    ] = 0
    n_rollouts_completed: Annotated[
        int, Meta(description="Rollouts completed as far as this daemon has heard.")
    ] = 0
    n_rollouts_rolled_back: Annotated[
        int, Meta(description="Rollouts rolled back as far as this daemon has heard.")
    ] = 0
    n_connections: Annotated[int, Meta(description="Connections of callers.")] = 0
    n_connections_refused: Annotated[
        int, Meta(description="Connections of callers over the cap.")
    ] = 0
    n_connections_stalled: Annotated[
        int, Meta(description="Connections of callers closed as stalled.")
    ] = 0
    n_requests_malformed: Annotated[
        int, Meta(description="Requests of callers that were no HTTP.")
    ] = 0
    n_requests_ahead: Annotated[
        int, Meta(description="Requests begun before an earlier answer.")
    ] = 0
    n_requests_dropped: Annotated[
        int, Meta(description="Requests read and never begun, at a close.")
    ] = 0
    n_streams_rejected: Annotated[
        int, Meta(description="Streams of other daemons that were refused.")
    ] = 0
    n_platform_reads: Annotated[int, Meta(description="Reads from the platform.")] = 0
    n_platform_watches: Annotated[
        int, Meta(description="Reads from the platform that wait for changes.")
    ] = 0
    n_platform_writes: Annotated[int, Meta(description="Writes to the platform.")] = 0
    n_platform_failures: Annotated[
        int, Meta(description="Requests that the platform did not answer.")
    ] = 0
    n_platform_refused: Annotated[
        int,
        Meta(description="Requests to the platform whose turn did not come in time."),
    ] = 0
    n_pauses: Annotated[
        int, Meta(description="Times that this process did not run for a while.")
    ] = 0
    n_metrics_sent: Annotated[
        int, Meta(description="Metrics handed to the network.")
    ] = 0
    n_metrics_dropped: Annotated[
        int, Meta(description="Metrics dropped, as the receiver was away.")
    ] = 0
    n_versions_ignored: Annotated[
        int, Meta(description="Versions heard that were no newer than the held one.")
    ] = 0
    n_versions_rejected: Annotated[
        int, Meta(description="Versions that failed their digest or validation.")
    ] = 0
    n_deltas_applied: Annotated[
        int, Meta(description="Deltas applied to the held version.")
    ] = 0
    n_deltas_refused: Annotated[
        int, Meta(description="Deltas whose base version was not held.")
    ] = 0
    n_full_pulls: Annotated[int, Meta(description="Whole snapshots asked for.")] = 0
    n_full_pulls_served: Annotated[
        int, Meta(description="Whole snapshots sent to neighbours.")
    ] = 0
    n_busy_sent: Annotated[int, Meta(description="Pulls declined for now.")] = 0
    n_prunes: Annotated[
        int, Meta(description="Neighbours asked to announce instead of pushing.")
    ] = 0
    n_in_force_alone: Annotated[
        int, Meta(description="Versions put in force without a second holder.")
    ] = 0
    n_call_retries: Annotated[
        int, Meta(description="Attempts of callers' requests after the first.")
    ] = 0
    n_not_retried_may_have_run: Annotated[
        int, Meta(description="Calls not retried: they may have run.")
    ] = 0
    n_not_retried_final: Annotated[
        int,
        Meta(description="Calls not retried: another attempt would end the same."),
    ] = 0
    n_not_retried_attempts: Annotated[
        int,
        Meta(description="Calls not retried: the route allows no more attempts."),
    ] = 0
    n_not_retried_deadline: Annotated[
        int, Meta(description="Calls not retried: too little time is left.")
    ] = 0
    n_not_retried_budget: Annotated[
        int,
        Meta(description="Calls not retried: the retry budget is used up."),
    ] = 0
    n_not_retried_no_other: Annotated[
        int, Meta(description="Calls not retried: no other target is known.")
    ] = 0
    n_not_retried_no_room: Annotated[
        int, Meta(description="Calls not retried: no other target has room.")
    ] = 0
    n_calls_far_no_target: Annotated[
        int, Meta(description="Calls to other zones: no target in the own.")
    ] = 0
    n_calls_far_left_out: Annotated[
        int, Meta(description="Calls to other zones: own targets left out.")
    ] = 0
    n_calls_far_full: Annotated[
        int, Meta(description="Calls to other zones: own targets full.")
    ] = 0
    n_calls_far_slow: Annotated[
        int, Meta(description="Calls to other zones: own targets too slow.")
    ] = 0
    n_quota_granted: Annotated[
        int, Meta(description="Requests that got a token of their account's quota.")
    ] = 0
    n_quota_refused: Annotated[
        int, Meta(description="Requests refused, as their account's quota is used up.")
    ] = 0
    n_quota_reserved: Annotated[
        int,
        Meta(description="Requests on the reserve, as a quota's owner did not answer."),
    ] = 0
    n_quota_unanswered: Annotated[
        int,
        Meta(description="Requests refused: no answer about a quota, no reserve left."),
    ] = 0
    n_quota_asks: Annotated[
        int, Meta(description="Questions for tokens sent to owners of quotas.")
    ] = 0
    n_streams_replaced: Annotated[
        int, Meta(description="Streams lost while calls waited on them.")
    ] = 0
    n_frames_dropped: Annotated[
        int, Meta(description="Frames that came for calls which were gone.")
    ] = 0
    frames: tuple[tuple[str, int], ...] = ()

    def iter_named(self) -> Iterator[tuple[str, int]]:
        """Yield the name and value of every counter, those by kind of frame last."""
        for name, _ in iter_docs(DaemonCounters):
            yield name, getattr(self, name)
        yield from self.frames


# Counters by kind of frame: the name of each counter is one of these names followed by
# the kind in lower case.
FRAME_COUNTS: Final = (
    ("n_control_sent_frames", "Frames sent on control streams, by kind."),
    ("n_control_sent_bytes", "Bytes sent on control streams, by kind of frame."),
    ("n_data_sent_frames", "Frames sent on data streams, by kind."),
    ("n_data_sent_bytes", "Bytes sent on data streams, by kind of frame."),
)


class DaemonGauges(Struct, frozen=True):
    """Gauges: current values of the daemon."""

    n_members: Annotated[int, Meta(description="Members that are not gone.")] = 0
    n_targets: Annotated[int, Meta(description="Targets announced to this daemon.")] = 0
    n_targets_limited: Annotated[
        int, Meta(description="Targets of this VM that state a rate limit.")
    ] = 0
    n_customers: Annotated[
        int, Meta(description="Customers with a version in force.")
    ] = 0
    n_calls_in_flight: Annotated[
        int, Meta(description="Calls that run on targets of this VM.")
    ] = 0
    n_requests_in_flight: Annotated[
        int, Meta(description="Requests of callers not yet answered.")
    ] = 0
    n_requests_quarantined: Annotated[
        int, Meta(description="Requests, by content, that no target may run.")
    ] = 0
    n_rollouts_active: Annotated[
        int, Meta(description="Rollouts that have not ended.")
    ] = 0
    n_rollouts_suspended: Annotated[
        int,
        Meta(description="Ordered versions that get no requests from this daemon."),
    ] = 0
    configuration_age_ms: Annotated[
        int,
        Meta(
            description="Time since the version in force was known to be the newest, "
            "0 if unknown."
        ),
    ] = 0


def read_counters(daemon: Daemon) -> DaemonCounters:
    """Return the counters of all components of a daemon."""
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
        n_calls_refused_beyond_run_limit=daemon.runner.run_limits.n_refused,
        n_requests_sent=daemon.runner.n_sent,
        n_calls_quarantined=daemon.proxy.n_quarantined,
        n_calls_unauthorized=daemon.proxy.n_unauthorized,
        n_calls_unproved=daemon.proxy.n_unproved,
        n_calls_unrouted=daemon.proxy.unrouted.n_refused,
        n_calls_unconfirmed=daemon.proxy.unrouted.n_unconfirmed,
        n_targets_crashed=daemon.runner.n_crashes,
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
        n_not_retried_may_have_run=daemon.proxy.n_given_up[GiveUpCause.MAY_HAVE_RUN],
        n_not_retried_final=daemon.proxy.n_given_up[GiveUpCause.FINAL],
        n_not_retried_attempts=daemon.proxy.n_given_up[GiveUpCause.ATTEMPTS],
        n_not_retried_deadline=daemon.proxy.n_given_up[GiveUpCause.DEADLINE],
        n_not_retried_budget=daemon.proxy.n_given_up[GiveUpCause.BUDGET],
        n_not_retried_no_other=daemon.proxy.n_given_up[GiveUpCause.NO_OTHER],
        n_not_retried_no_room=daemon.proxy.n_given_up[GiveUpCause.NO_ROOM],
        n_calls_far_no_target=daemon.chooser.n_cross_zone[CrossZoneCause.NO_TARGET],
        n_calls_far_left_out=daemon.chooser.n_cross_zone[CrossZoneCause.EXCLUDED],
        n_calls_far_full=daemon.chooser.n_cross_zone[CrossZoneCause.FULL],
        n_calls_far_slow=daemon.chooser.n_cross_zone[CrossZoneCause.SLOW],
        n_quota_granted=daemon.quotas.n_granted,
        n_quota_refused=daemon.quotas.n_refused,
        n_quota_reserved=daemon.quotas.n_reserved,
        n_quota_unanswered=daemon.quotas.n_unanswered,
        n_quota_asks=daemon.quotas.n_asks,
        n_streams_replaced=daemon.call_client.n_replaced_streams,
        n_frames_dropped=(
            daemon.call_client.n_dropped_frames + daemon.call_server.n_dropped_frames
        ),
        n_metrics_sent=daemon.metrics.n_sent,
        n_metrics_dropped=daemon.metrics.n_dropped,
        n_calls_of_other_version=daemon.runner.n_version_refusals,
        **_rollout_counters(daemon),
        **daemon.configuration.counters(),
        frames=tuple(frames),
    )


def _rollout_counters(daemon: Daemon) -> dict[str, int]:
    rollouts = daemon.rollouts
    if rollouts is None:
        return {}
    return {
        "n_requests_exposed": rollouts.routing.n_exposed,
        "n_rollout_answers_bad": rollouts.n_bad,
        "n_rollouts_completed": rollouts.n_completed,
        "n_rollouts_rolled_back": rollouts.n_rolled_back,
    }


def read_gauges(daemon: Daemon) -> DaemonGauges:
    """Return the current values of all components of a daemon."""
    rollouts = daemon.rollouts
    return DaemonGauges(
        n_members=sum(member.is_usable for member in daemon.directory.members()),
        n_targets=len(daemon.registry.targets()),
        n_targets_limited=daemon.runner.n_limited,
        n_customers=len(daemon.configuration.versions()),
        n_calls_in_flight=daemon.runner.n_in_flight,
        n_requests_in_flight=daemon.proxy.n_in_flight,
        n_requests_quarantined=daemon.quarantine.n_quarantined(precise_ms()),
        n_rollouts_active=rollouts.n_active if rollouts is not None else 0,
        n_rollouts_suspended=rollouts.n_suspended if rollouts is not None else 0,
        # statsd treats a negative value of a gauge as a decrement.
        configuration_age_ms=max(0, daemon.configuration.age_ms()),
    )


__all__ = [
    "FRAME_COUNTS",
    "DaemonCounters",
    "DaemonGauges",
    "iter_docs",
    "read_counters",
    "read_gauges",
]
