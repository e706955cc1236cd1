"""Call decisions: target choice, admission, retries, and kept answers."""

from __future__ import annotations

from .admission import Admission, Admitted, RefusalCause, Refused, Verdict
from .choice import (
    FULL_AVOIDED_MS,
    JOINING_MS,
    CallEnd,
    CrossZoneCause,
    Ejection,
    EndKind,
    Load,
    TargetChooser,
)
from .exclusions import TargetExclusions
from .fair_queue import WaitingCall
from .fingerprint import fingerprint
from .fleet_budget import BudgetTerms, FleetRetryBudget
from .outcome import CallOutcome
from .pacing import LinkPacer, n_calls_of_backlog
from .quarantine import CrashRecord, Quarantine, TrustLevel
from .rate_limit import RateLimiter
from .retry import (
    Attempt,
    GiveUp,
    GiveUpCause,
    Retry,
    RetryBudget,
    TokenRetryBudget,
    decide_retry,
)
from .route_statistics import AcceptanceRates, AnswerSizes, CallerTimeouts
from .run_limits import RunLimits
from .sampling import is_sampled

__all__ = [
    "FULL_AVOIDED_MS",
    "JOINING_MS",
    "AcceptanceRates",
    "Admission",
    "Admitted",
    "AnswerSizes",
    "Attempt",
    "BudgetTerms",
    "CallEnd",
    "CallOutcome",
    "Ejection",
    "EndKind",
    "FleetRetryBudget",
    "GiveUp",
    "GiveUpCause",
    "LinkPacer",
    "Load",
    "Quarantine",
    "RateLimiter",
    "CallerTimeouts",
    "RefusalCause",
    "Refused",
    "RunLimits",
    "Retry",
    "RetryBudget",
    "TrustLevel",
    "CrashRecord",
    "TargetChooser",
    "TargetExclusions",
    "TokenRetryBudget",
    "Verdict",
    "WaitingCall",
    "CrossZoneCause",
    "decide_retry",
    "fingerprint",
    "is_sampled",
    "n_calls_of_backlog",
]
