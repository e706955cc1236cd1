"""Tests of the suspicion and quarantine of requests that crash targets."""

from __future__ import annotations

import itertools
import random

from pepperstair_core.calls.quarantine import (
    N_CRASH_IDS_MAX,
    N_CRASHES_MAX,
    QUARANTINE_MS,
    RECORD_KEPT_MS,
    CrashRecord,
    Quarantine,
    TrustLevel,
)
from pepperstair_core.errors import RunStatus

POISON = b"poison"


def add_crash(quarantine, *running, crash_id="", now_ms=0):
    """Record a crash during which some requests were running."""
    crash_id = crash_id or f"vm/{add_crash.count}"
    add_crash.count += 1
    return quarantine.record_crash(running, crash_id, now_ms)


add_crash.count = 1


def test_request_is_quarantined_after_three_crashes():
    quarantine = Quarantine()
    trust_levels = []
    for _ in range(N_CRASHES_MAX):
        add_crash(quarantine, POISON)
        trust_levels.append(quarantine.trust_level(POISON, 0))
    assert trust_levels == [
        TrustLevel.TRUSTED,
        TrustLevel.SUSPECT,
        TrustLevel.QUARANTINED,
    ]
    refusal = quarantine.refusal(POISON, 1000)
    assert refusal.run_status is RunStatus.NO
    assert refusal.retry_after_ms == QUARANTINE_MS - 1000


def test_requests_that_ran_beside_a_suspect_are_not_charged():
    """Guards against refusing requests that only ran during the crashes."""
    quarantine = Quarantine()
    add_crash(quarantine, POISON, b"a", b"b")
    for index in range(N_CRASHES_MAX):
        add_crash(quarantine, POISON, b"a%d" % index, b"c")
    assert quarantine.trust_level(POISON, 0) is TrustLevel.QUARANTINED
    assert quarantine.trust_level(b"c", 0) is TrustLevel.TRUSTED
    assert quarantine.n_quarantined(0) == 1


def test_answered_request_is_no_longer_suspected():
    """Guards against refusing a common request that is running at most crashes."""
    quarantine = Quarantine()
    for _ in range(3 * N_CRASHES_MAX):
        add_crash(quarantine, b"common")
        quarantine.record_answer(b"common")
    assert quarantine.trust_level(b"common", 0) is TrustLevel.TRUSTED
    assert quarantine.record_answer(b"common") is None
    assert quarantine.record_answer(b"never seen") is None


def test_quarantine_ends_and_is_longer_the_next_time():
    quarantine = Quarantine()
    for _ in range(N_CRASHES_MAX):
        add_crash(quarantine, POISON)
    assert quarantine.trust_level(POISON, QUARANTINE_MS - 1) is TrustLevel.QUARANTINED
    assert quarantine.trust_level(POISON, QUARANTINE_MS) is TrustLevel.SUSPECT
    add_crash(quarantine, POISON, now_ms=QUARANTINE_MS)
    until_ms = 3 * QUARANTINE_MS
    assert quarantine.trust_level(POISON, until_ms - 1) is TrustLevel.QUARANTINED
    assert quarantine.trust_level(POISON, until_ms) is TrustLevel.SUSPECT


def test_old_crashes_no_longer_count():
    quarantine = Quarantine()
    add_crash(quarantine, POISON)
    add_crash(quarantine, POISON)
    assert quarantine.trust_level(POISON, RECORD_KEPT_MS - 1) is TrustLevel.SUSPECT
    assert quarantine.trust_level(POISON, RECORD_KEPT_MS) is TrustLevel.TRUSTED
    add_crash(quarantine, POISON, now_ms=RECORD_KEPT_MS)
    assert quarantine.trust_level(POISON, RECORD_KEPT_MS) is TrustLevel.TRUSTED


def test_request_that_turns_harmful_is_quarantined_after_many_harmless_crashes():
    """Guards against a common request that can no longer become a suspect."""
    quarantine = Quarantine()
    for _ in range(2 * N_CRASH_IDS_MAX):
        add_crash(quarantine, b"common")
        quarantine.record_answer(b"common")
    for _ in range(N_CRASHES_MAX):
        add_crash(quarantine, b"common")
    assert quarantine.trust_level(b"common", 0) is TrustLevel.QUARANTINED


def test_records_merge_to_the_same_in_any_order():
    """Guards against daemons that never converge on the same records."""
    received = [
        CrashRecord(POISON, ("a/1",)),
        CrashRecord(POISON, ("b/1", "a/1")),
        CrashRecord(POISON, ("c/1",)),
        CrashRecord(POISON, ("a/1", "d/1"), ("a/1",)),
        CrashRecord(b"other", ("b/1",), ("b/1",)),
    ]
    results = set()
    for order in itertools.permutations(received):
        quarantine = Quarantine()
        for record in order:
            quarantine.merge(record, 0)
            assert not quarantine.merge(record, 0)
        results.add(tuple(sorted(quarantine.records(), key=lambda s: s.fingerprint)))
        assert quarantine.trust_level(POISON, 0) is TrustLevel.QUARANTINED
    assert len(results) == 1


def test_late_report_of_a_crash_does_not_undo_a_later_answer():
    """Guards against a cleared crash that returns with a delayed record."""
    quarantine = Quarantine()
    report = add_crash(quarantine, b"common", crash_id="vm/1")
    quarantine.record_answer(b"common")
    assert not quarantine.merge(report[0], 0)
    assert next(quarantine.records()).cleared_ids == ("vm/1",)


def test_table_of_suspects_keeps_the_quarantined_when_it_is_full():
    """Guards against a wave of crashes that evicts the record of a poison request."""
    quarantine = Quarantine(n_tracked_max=8)
    for _ in range(N_CRASHES_MAX):
        add_crash(quarantine, POISON)
    for index in range(100):
        add_crash(quarantine, b"%d" % index, now_ms=index)
    assert quarantine.trust_level(POISON, 100) is TrustLevel.QUARANTINED
    assert len(list(quarantine.records())) == 8


def test_two_poison_requests_at_once_are_both_found_among_many():
    """Guards against crashes with several causes, or none, that hide a cause."""
    rng = random.Random(5)
    quarantine = Quarantine()
    poison = [b"first", b"second"]
    others = [b"%d" % index for index in range(2000)]
    n_crashes = 0
    while quarantine.n_quarantined(n_crashes) < 2 and n_crashes < 40:
        n_crashes += 1
        running = rng.sample(others, 11)
        if n_crashes % 4:
            running.append(poison[n_crashes % 2])
        add_crash(quarantine, *running, now_ms=n_crashes)
        for answered in rng.sample(others, 400):
            quarantine.record_answer(answered)
    trust_levels = [quarantine.trust_level(request, n_crashes) for request in poison]
    assert trust_levels == [TrustLevel.QUARANTINED] * 2
    assert quarantine.n_quarantined(n_crashes) == 2
    assert n_crashes <= 12
