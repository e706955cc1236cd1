"""Client accounts: validation, look-up by key and authorization."""

from __future__ import annotations

import math

import pytest

from pepperstair_core.accounts import AccountTable, authorize
from pepperstair_core.config import AccountsSettings
from pepperstair_core.errors import ErrorKind
from pepperstair_core.intent import (
    N_ACCOUNTS_MAX,
    Account,
    Intent,
    intent_to_table,
    iter_intent_faults,
    read_intent,
)

ATLAS = Account("atlas", ("k-1", "k-2"), "urgent")
BOREAL = Account("boreal", ("k-3",))
LIMITS = AccountsSettings(proof_age_max_ms=4000, unknown_key_age_max_ms=2500)


def faults_of(*accounts):
    return [str(each) for each in iter_intent_faults(Intent("c", accounts=accounts))]


def test_key_of_two_accounts_names_both_and_not_the_key():
    shared = [Account("atlas", ("s3cret",)), Account("boreal", ("s3cret",))]
    (fault,) = faults_of(*shared)
    assert "atlas" in fault
    assert "boreal" in fault
    assert "s3cret" not in fault


@pytest.mark.parametrize("key", ["k" * 512, "ключ", "k,1 2"])
def test_keys_up_to_the_limit_are_valid(key):
    assert faults_of(Account("atlas", (key,))) == []


def test_number_of_accounts_is_bounded():
    accounts = [Account(str(n)) for n in range(N_ACCOUNTS_MAX + 1)]
    assert faults_of(*accounts[:-1]) == []
    assert faults_of(*accounts) == ["accounts: expected at most 10000 accounts"]


@pytest.mark.parametrize(
    "accounts",
    ["s3cret", ["s3cret"], [{"name": "a", "keys": "s3cret"}], [["s3cret"]]],
)
def test_faults_of_the_wrong_type_do_not_quote_keys(accounts):
    read = read_intent({"customer": "c", "accounts": accounts})
    assert read.is_err()
    assert "s3cret" not in str(read.unwrap_err())


def test_account_is_shown_without_its_keys():
    shown = repr(ATLAS) + str(ATLAS) + repr(Intent("c", accounts=(ATLAS,)))
    assert "k-1" not in shown


def test_document_without_accounts_is_encoded_as_before():
    """Guards against documents that daemons without support for accounts reject."""
    table = intent_to_table(Intent("c"))
    assert not {"accounts", "requires_keys"} & set(table)


def test_document_with_accounts_is_encoded_completely():
    intent = Intent("c", accounts=(ATLAS, BOREAL), requires_keys=True)
    assert read_intent(intent_to_table(intent)).unwrap() == intent


def test_table_finds_accounts_by_each_key_and_by_name():
    table = AccountTable([ATLAS, BOREAL])
    assert [table.find(key) for key in (b"k-1", b"k-2", b"k-3")] == [
        ATLAS,
        ATLAS,
        BOREAL,
    ]
    assert table.find(b"k-4") is None
    assert table.find(b"") is None
    assert table.get("boreal") == BOREAL
    assert table.get("cirrus") is None


def test_next_table_finds_added_keys_and_not_removed_ones():
    """Guards against digests that outlive the key that they were computed from."""
    first = AccountTable([ATLAS, BOREAL], secret=b"random")
    changed = Account("atlas", ("k-2", "k-9"))
    second = AccountTable([changed, Account("cirrus", ("k-3",))], first)
    assert second.find(b"k-1") is None
    assert second.find(b"k-9") == changed
    assert second.find(b"k-3").name == "cirrus"
    assert second.get("boreal") is None


def test_unchanged_keys_find_the_account_of_the_new_version():
    first = AccountTable([ATLAS])
    changed = Account("atlas", ATLAS.keys, "deferrable", 5.0, 1)
    assert AccountTable([changed], first).find(b"k-1") is changed


def test_table_without_accounts_is_in_use_only_if_the_configuration_has_them():
    assert AccountTable(()).is_in_use
    assert not AccountTable().is_in_use
    assert not AccountTable(None, AccountTable([ATLAS])).is_in_use


@pytest.mark.parametrize(
    ("key", "allows_anonymous", "age_ms", "expected"),
    [
        (b"k-1", False, 0, ATLAS),
        (b"k-1", True, 0, ATLAS),
        (b"k-1", False, 4000, ATLAS),
        (b"k-1", False, 4001, ErrorKind.NOT_READY),
        (b"k-1", True, 4001, ErrorKind.NOT_READY),
        (b"k-1", False, math.inf, ErrorKind.NOT_READY),
        (None, False, 0, ErrorKind.UNAUTHORIZED),
        (b"", False, 2500, ErrorKind.UNAUTHORIZED),
        (b"x", False, 2501, ErrorKind.NOT_READY),
        (None, False, 2501, ErrorKind.NOT_READY),
        (b"x", True, 2501, None),
        (None, True, math.inf, None),
    ],
)
def test_authorization(key, allows_anonymous, age_ms, expected):
    table = AccountTable([ATLAS, BOREAL])
    found = authorize(table, key, allows_anonymous, age_ms, LIMITS)
    assert getattr(found, "kind", found) == expected


def test_refusal_of_a_daemon_that_is_out_of_date_says_when_to_retry():
    refusal = authorize(AccountTable([ATLAS]), b"k-1", False, 9000, LIMITS)
    assert refusal.failure.retry_after_ms == 1000
    assert refusal.failure.run_status == "no"


def test_without_limits_the_age_of_the_proof_refuses_nothing():
    table = AccountTable([ATLAS])
    limits = AccountsSettings()
    assert authorize(table, b"k-1", False, math.inf, limits) is ATLAS
    refused = authorize(table, b"x", False, math.inf, limits)
    assert refused.kind is ErrorKind.UNAUTHORIZED


def test_configuration_without_accounts_asks_for_no_key():
    assert authorize(AccountTable(), None, False, math.inf, LIMITS) is None
    assert authorize(AccountTable(), b"k-1", False, math.inf, LIMITS) is None
