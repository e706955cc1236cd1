"""Intent documents written as TOML, and edits of their label overrides."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from pepperstair_cli.documents import intent_to_toml
from pepperstair_core.intent import (
    Intent,
    LabelOverride,
    Route,
    Service,
    intent_to_table,
    parse_intent_toml,
    read_intent,
)
from pepperstair_core.label_edits import LabelEdit, edit_labels, parse_label_edit

TEXTS = st.text(st.characters(exclude_categories=("Cs",)), max_size=12)
NAMES = st.from_regex(r"[a-z0-9]([a-z0-9./-]{0,8}[a-z0-9])?", fullmatch=True)
LABELS = st.dictionaries(NAMES, st.one_of(st.just(""), NAMES), max_size=4)
EDITS = st.lists(
    st.builds(LabelEdit, st.sampled_from("abc"), st.sampled_from([None, "", "x", "y"]))
)
SEEDED = settings(derandomize=True, max_examples=150, deadline=None)


@SEEDED
@given(TEXTS, TEXTS, st.booleans(), LABELS)
def test_toml_reads_back_unchanged(host, path, is_idempotent, labels):
    """Guards against wrong escaping of quotes and control characters.

    With it, applying the unedited output of `get` would change a route, or the
    document would be rejected.
    """
    route = Route("r", f"/{path}", "s", host, is_idempotent=is_idempotent)
    intent = Intent(
        "lantern",
        (Service("s", "app=s"),),
        (route,),
        label_overrides=(LabelOverride("vm-1", labels),),
    )
    assert read_intent(intent_to_table(intent)).unwrap() == intent
    assert parse_intent_toml(intent_to_toml(intent)).unwrap() == intent


@SEEDED
@given(EDITS)
def test_label_edits_have_the_effect_of_single_edits_in_order(edits):
    """The last edit of a key is effective, and other workloads are unchanged."""
    other = LabelOverride("other", {"a": "kept"})
    intent = Intent("lantern", label_overrides=(other, LabelOverride("w", {"a": "x"})))
    expected = {"a": "x"}
    for edit in edits:
        expected.pop(edit.key, None)
        expected |= {} if edit.value is None else {edit.key: edit.value}
    edited = edit_labels(intent, "w", edits).label_overrides
    assert edited[0] == other
    assert {o.workload: o.labels for o in edited[1:]} == (
        {"w": expected} if expected else {}
    )


def test_syntax_of_label_edits():
    assert parse_label_edit("a=b").unwrap() == LabelEdit("a", "b")
    assert parse_label_edit("a-").unwrap() == LabelEdit("a", "")
    for invalid in ("a", "=b", "a=", "-", "a=b c", "a=b-", ""):
        assert parse_label_edit(invalid).is_err(), invalid
