"""Tests of deltas between versions of a document."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from pepperstair_core.document_delta import apply_delta, make_delta
from tests.adapter.documents import document, rule


@given(st.binary(max_size=300), st.binary(max_size=300))
def test_delta_reproduces_the_new_version(old, new):
    assert apply_delta(old, make_delta(old, new)) == new


@given(st.lists(st.sampled_from([b"{a", b"{b", b"x", b"{"]), max_size=30), st.data())
def test_delta_of_repeated_pieces_reproduces_the_new_version(pieces, data):
    moved = data.draw(st.permutations(pieces))
    old, new = b"".join(pieces), b"".join(moved)
    assert apply_delta(old, make_delta(old, new)) == new


def test_delta_of_one_changed_route_is_small():
    rules = [rule(f"r-{index:x}", f"/p{index:x}/", "ledger") for index in range(1600)]
    old = document(7, *rules)
    rules[800] = rule("r-320", "/p320/", "vault")
    assert len(make_delta(old, document(8, *rules))) < len(old) / 100


def test_delta_for_another_version_is_refused():
    """Guards against a document composed of parts of unrelated versions."""
    old, new = document(7), document(8, rule("logs", "/logs/", "vault"))
    delta = make_delta(old, new)
    assert apply_delta(document(6, rule("maps", "/maps/", "vault")), delta) is None


def test_corrupt_delta_is_refused():
    old = json.dumps([{"a": 1}, {"b": 2}]).encode()
    delta = make_delta(old, old.replace(b"2", b"3"))
    for damaged in (delta[:-1], b"", b"\x93\x01\x02", delta.replace(b"3", b"4")):
        assert apply_delta(old, damaged) is None
