"""Keys of client accounts are shown as the start of a digest, and never read back."""

from __future__ import annotations

from pepperstair_cli.commands import diff
from pepperstair_cli.documents import VersionedIntent
from pepperstair_core.intent import (
    Account,
    Intent,
    hide_keys,
    iter_hidden_key_faults,
)

INTENT = Intent("c", accounts=(Account("atlas", ("s3cret-1", "s3cret-2"), "urgent"),))


def test_shown_intent_has_a_different_digest_for_each_key():
    (account,) = hide_keys(INTENT).accounts
    assert len(set(account.keys)) == 2
    assert all(len(key) == len("digest:") + 8 for key in account.keys)
    assert "s3cret" not in str(account.keys)
    assert (account.name, account.priority) == ("atlas", "urgent")
    assert hide_keys(hide_keys(INTENT)) == hide_keys(INTENT)


def test_shown_digests_are_not_accepted_as_keys():
    """Guards against `get`, an edit and `apply` that replace each key by its digest."""
    assert list(iter_hidden_key_faults(INTENT)) == []
    assert len(list(iter_hidden_key_faults(hide_keys(INTENT)))) == 2


def test_diff_of_a_document_with_the_version_in_force_shows_no_key():
    changed = Intent("c", accounts=(Account("atlas", ("s3cret-1", "s3cret-3")),))
    current = VersionedIntent(4, hide_keys(INTENT))
    report = diff._report(current, changed, "file")
    assert "s3cret" not in report.text + str(report.content)
    assert not report.content["is_same"]
    assert diff._report(current, INTENT, "file").content["is_same"]
