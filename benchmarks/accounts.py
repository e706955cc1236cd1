"""Measure the cost of client accounts, by their number.

`python -m benchmarks.accounts` prints the processor time of authorizing a request with
a known and with an unknown key, that of building the table from nothing and from the
previous table after a change of one key, and that of validating the accounts.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from pepperstair_core.accounts import AccountTable, authorize
from pepperstair_core.config import AccountsSettings
from pepperstair_core.intent import Account, Intent, iter_intent_faults

from .machine import describe_machine

_N_REQUESTS = 200_000
_N_TABLES = 5
_LIMITS = AccountsSettings(proof_age_max_ms=4_000, unknown_key_age_max_ms=2_500)
_SECRET = bytes(32)


def main() -> None:
    """Print one line for each number of accounts."""
    print(describe_machine())
    for n_accounts in (0, 74, 10_000):
        _measure(n_accounts)


def _measure(n_accounts: int) -> None:
    accounts = [
        Account(f"account-{index}", (f"{index:032x}", f"{index:032x}-next"))
        for index in range(n_accounts)
    ]
    # Without accounts the table is not in use, as in a document without them.
    table = AccountTable(accounts or None, secret=_SECRET)
    known_key = accounts[-1].keys[0].encode() if accounts else b"key"
    known_us = _time_us(
        lambda: authorize(table, known_key, False, 100.0, _LIMITS), _N_REQUESTS
    )
    unknown_us = _time_us(
        lambda: authorize(table, b"unknown" * 5, False, 100.0, _LIMITS), _N_REQUESTS
    )
    changed = [replace(each, keys=("changed",)) for each in accounts[:1]]
    changed += accounts[1:]
    build_us = _time_us(lambda: AccountTable(accounts, secret=_SECRET), _N_TABLES)
    update_us = _time_us(lambda: AccountTable(changed, table), _N_TABLES)
    intent = Intent("c", accounts=tuple(accounts))
    check_us = _time_us(lambda: list(iter_intent_faults(intent)), _N_TABLES)
    print(
        f"{n_accounts} accounts of 2 keys: known key {known_us:.2f} us,"
        f" unknown key {unknown_us:.2f} us; table built {build_us / 1000:.1f} ms,"
        f" updated {update_us / 1000:.1f} ms, validated {check_us / 1000:.1f} ms"
    )


def _time_us(work: Callable[[], Any], n_repeats: int) -> float:
    """Return the least mean processor time of one call of `work` in three rounds."""
    least_us = math.inf
    for _ in range(3):
        before_s = time.process_time()
        for _ in range(n_repeats):
            work()
        least_us = min(least_us, 1e6 * (time.process_time() - before_s) / n_repeats)
    return least_us


if __name__ == "__main__":
    main()
