"""Loads and faults for quotas of client accounts."""

from __future__ import annotations

from random import Random
from typing import Final

from msgspec import Struct

from pepperstair_core.intent import Account

N_DAEMONS: Final = 64
N_ZONES: Final = 4
N_ACCOUNTS: Final = 74
ZIPF_EXPONENT: Final = 1.2
DEMAND_PER_S: Final = 1_500.0
QUOTA_FACTOR: Final = 1.6
FLOOD_FACTOR: Final = 8.0
LENGTH_MS: Final = 22_000.0
EVENT_MS: Final = 8_000.0
CUT_MS: Final = 9_000.0
PAUSE_MS: Final = 4_000.0
APPLY_MS: Final = 2_500.0
# Ranks by size of the account that sends more than usual; each seed takes one of them.
_FLOODING_RANKS: Final = (0, 2, 10, 40)


class Load(Struct, frozen=True):
    """Demand of one account beside the usual demand of all others, and a fault.

    The account sends `factor` times its usual demand, at `n_daemons` daemons (0 for
    all). `event` is one of `none`, `shift`, `owner_dies`, `cut`, `all_killed`, `pause`
    and `lowered`, and happens at `EVENT_MS`.
    """

    name: str
    factor: float = FLOOD_FACTOR
    n_daemons: int = 0
    event: str = "none"


LOADS: Final = (
    Load("usual", 1.0),
    Load("at the quota", QUOTA_FACTOR),
    Load("8 times, at one", n_daemons=1),
    Load("8 times, at three", n_daemons=3),
    Load("8 times, at all"),
    Load("2 times the quota, moves", 2 * QUOTA_FACTOR, event="shift"),
    Load("8 times, owner dies", event="owner_dies"),
    Load("8 times, a third is cut off", event="cut"),
    Load("8 times, all killed", event="all_killed"),
    Load("8 times, owner paused", event="pause"),
    Load("8 times, limit halved", event="lowered"),
)


class Arrival(Struct, frozen=True):
    """One request."""

    at_ms: float
    daemon: int
    account: int


def make_accounts(burst_s: float) -> list[Account]:
    """Return the accounts, largest first; `burst_s` is the burst as time of rate."""
    weights = [(rank + 1) ** -ZIPF_EXPONENT for rank in range(N_ACCOUNTS)]
    rates = [QUOTA_FACTOR * DEMAND_PER_S * each / sum(weights) for each in weights]
    return [
        Account(f"account-{rank}", rate_per_s=rate, burst=int(rate * burst_s))
        for rank, rate in enumerate(rates)
    ]


def flooding_account(seed: int) -> int:
    """Return the account whose demand is not the usual one."""
    return _FLOODING_RANKS[seed % len(_FLOODING_RANKS)]


def make_arrivals(load: Load, accounts: list[Account], seed: int) -> list[Arrival]:
    """Return the requests of a run in the order of their arrival."""
    rng = Random(seed)
    flooding = flooding_account(seed)
    arrivals = []
    for index, account in enumerate(accounts):
        rate_per_s = account.rate_per_s / QUOTA_FACTOR
        places = list(range(N_DAEMONS))
        if index == flooding:
            rate_per_s *= load.factor
            places = rng.sample(places, load.n_daemons or N_DAEMONS)
        at_ms = rng.expovariate(rate_per_s) * 1000.0
        while at_ms < LENGTH_MS:
            daemon = rng.choice(places)
            if index == flooding and load.event == "shift":
                daemon = _shifted(daemon, at_ms, rng)
            arrivals.append(Arrival(at_ms, daemon, index))
            at_ms += rng.expovariate(rate_per_s) * 1000.0
    return sorted(arrivals, key=lambda each: each.at_ms)


def _shifted(daemon: int, at_ms: float, rng: Random) -> int:
    """Return a daemon of the first zone, and after the shift one of the second."""
    n_moved_ms = min(max(at_ms - EVENT_MS, 0.0), 1000.0)
    zone = int(rng.random() * 1000.0 < n_moved_ms)
    return daemon - daemon % N_ZONES + zone


__all__ = [
    "APPLY_MS",
    "CUT_MS",
    "EVENT_MS",
    "LENGTH_MS",
    "LOADS",
    "N_DAEMONS",
    "PAUSE_MS",
    "Arrival",
    "Load",
    "flooding_account",
    "make_accounts",
    "make_arrivals",
]
