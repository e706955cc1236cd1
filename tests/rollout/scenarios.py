"""Loads on which the tests of versions are compared."""

from __future__ import annotations

from .load import Scenario

BAD = (
    Scenario("30% failures", False, bad_rate=0.3),
    Scenario("50% failures", False, bad_rate=0.5),
    Scenario("30% from 3 s on", False, bad_rate=0.3, bad_from_ms=3_000),
    Scenario("50% from 6 s on", False, bad_rate=0.5, bad_from_ms=6_000),
    Scenario("40% under load", False, bad_rate=0.4, is_bad_under_load=True),
    Scenario(
        "40% under load, 300/s", False, bad_rate=0.4, is_bad_under_load=True, per_s=300
    ),
    Scenario(
        "40% under load, 60 targets",
        False,
        bad_rate=0.4,
        is_bad_under_load=True,
        per_s=300,
        n_targets=60,
    ),
    Scenario("30% on one route", False, bad_rate=0.3, bad_route="list"),
    Scenario("50% on one route", False, bad_rate=0.5, bad_route="list"),
    Scenario("8 times slower", False, slowness=8.0),
    Scenario("8 times slower from 3 s", False, slowness=8.0, bad_from_ms=3_000),
    Scenario(
        "30% more than a failing old one",
        False,
        bad_rate=0.3,
        outage_ms=(0, 20_000),
        outage_rate=0.3,
    ),
    Scenario("30% failures, 20/s", False, bad_rate=0.3, per_s=20),
    Scenario("50% failures, 1/s", False, bad_rate=0.5, per_s=1),
    Scenario("30% failures, 5 targets", False, bad_rate=0.3, n_targets=5),
    Scenario("30% failures, 30 s", False, bad_rate=0.3, duration_ms=30_000),
)
GOOD = (
    Scenario("good", True),
    Scenario("good, 300/s", True, per_s=300),
    Scenario("good, 1/s", True, per_s=1),
    Scenario("good, 5 targets", True, n_targets=5),
    Scenario("good, 30 s", True, duration_ms=30_000),
    Scenario("one target fails 50%", True, bad_rate=0.5, n_bad_targets=1),
    Scenario("one target 8 times slower", True, slowness=8.0, n_bad_targets=1),
    Scenario("both fail 30%", True, outage_ms=(0, 20_000), outage_rate=0.3),
    Scenario(
        "both fail 30% from 8 s", True, outage_ms=(8_000, 20_000), outage_rate=0.3
    ),
    Scenario("outage of 60% for 2 s", True, outage_ms=(5_000, 7_000), outage_rate=0.6),
    Scenario("outage of all for 1 s", True, outage_ms=(300, 1_300), outage_rate=1.0),
    Scenario("cold for 3 s", True, cold_ms=3_000),
    Scenario("burst for 2 s", True, burst_ms=(5_000, 7_000)),
    Scenario(
        "outage of 30% in promotion", True, outage_ms=(10_000, 20_000), outage_rate=0.3
    ),
)
SCENARIOS = {scenario.name: scenario for scenario in BAD + GOOD}

__all__ = ["BAD", "GOOD", "SCENARIOS"]
