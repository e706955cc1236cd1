"""The closed list of log event names.

Each log line has one of these names, so that alerts based on them keep working. The
operations page documents the meaning of each and the action to take.
"""

from __future__ import annotations

from enum import StrEnum


class Event(StrEnum):
    """Every event that a daemon logs."""

    STARTED = "started"
    START_FAILED = "start_failed"
    READY = "ready"
    STOPPING = "stopping"
    STOPPED = "stopped"
    CHANGE_ACCEPTED = "change_accepted"
    CHANGE_REFUSED = "change_refused"
    CHANGE_OUTCOME_UNKNOWN = "change_outcome_unknown"
    CHANGE_CONVERGED = "change_converged"
    VERSION_IN_FORCE = "version_in_force"
    VERSION_REJECTED = "version_rejected"
    TABLE_READ = "table_read"
    PROOF_OUTDATED = "proof_outdated"
    PROOF_RENEWED = "proof_renewed"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    PLATFORM_RECOVERED = "platform_recovered"
    PEER_CONNECTED = "peer_connected"
    PEER_LOST = "peer_lost"
    FRAME_REJECTED = "frame_rejected"
    MEMBER_CHANGED = "member_changed"
    PAUSE_DETECTED = "pause_detected"
    RELOADED = "reloaded"
    ANNOUNCEMENT_IGNORED = "announcement_ignored"
    ROW_IGNORED = "row_ignored"
    DEPARTURES_RESTORED = "departures_restored"
    TARGET_ANNOUNCED = "target_announced"
    TARGET_CHANGED = "target_changed"
    TARGET_LEASE_LAPSED = "target_lease_lapsed"
    TARGET_EJECTED = "target_ejected"
    TARGET_ABSENT = "target_absent"
    TARGET_NOT_REGISTERED = "target_not_registered"
    TARGET_CRASHED = "target_crashed"
    TARGET_LIMIT_CHANGED = "target_limit_changed"
    TARGET_LIMIT_INVALID = "target_limit_invalid"
    TARGET_LEAVING = "target_leaving"
    TARGET_PROBE_FAILED = "target_probe_failed"
    REQUEST_QUARANTINED = "request_quarantined"
    REQUEST_CLEARED = "request_cleared"
    REQUEST_ANSWERED = "request_answered"
    REQUEST_REFUSED = "request_refused"
    REQUEST_UNROUTED = "request_unrouted"
    QUOTA_EXCEEDED = "quota_exceeded"
    TARGET_CALL_FAILED = "target_call_failed"
    LINES_DROPPED = "lines_dropped"
    REQUEST_MALFORMED = "request_malformed"
    ROLLOUT_ORDERED = "rollout_ordered"
    ROLLOUT_VERDICT = "rollout_verdict"
    ROLLOUT_PHASE_CHANGED = "rollout_phase_changed"
    ROLLOUT_PORTION_CHANGED = "rollout_portion_changed"
    VERSION_RELEASED = "version_released"
    VERSION_HELD = "version_held"
    INTERNAL_ERROR = "internal_error"


__all__ = ["Event"]
