"""Edits of the labels that operators set on a workload."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from msgspec import Struct
from msgspec.structs import replace
from result import Err, Ok, Result

from .intent import Intent, LabelOverride
from .labels import is_label_name


class LabelEdit(Struct, frozen=True):
    """One label to change.

    An empty value removes the label, even if the workload announces it. None removes
    the operators' override, so that the announced label applies again.
    """

    key: str
    value: str | None


def parse_label_edit(text: str) -> Result[LabelEdit, str]:
    """Parse `key=value` or `key-`, or return what was expected.

    >>> parse_label_edit("canary-").ok()
    LabelEdit(key='canary', value='')
    """
    key, equals, value = text.partition("=")
    if not equals and text.endswith("-"):
        key = text[:-1]
    is_set = bool(equals) and is_label_name(value)
    is_removed = not equals and text.endswith("-")
    if not is_label_name(key) or not (is_set or is_removed):
        return Err(f"expected a change such as key=value or key-, not {text!r}")
    return Ok(LabelEdit(key, value))


def edit_labels(intent: Intent, workload: str, edits: Iterable[LabelEdit]) -> Intent:
    """Return the document with the edits applied to a workload's override."""
    current = (o.labels for o in intent.label_overrides if o.workload == workload)
    labels = dict(next(current, {}))
    for edit in edits:
        labels.pop(edit.key, None)
        if edit.value is not None:
            labels[edit.key] = edit.value
    edited = LabelOverride(workload, labels)
    return replace(intent, label_overrides=tuple(_iter_overrides(intent, edited)))


def _iter_overrides(intent: Intent, edited: LabelOverride) -> Iterator[LabelOverride]:
    """Yield the overrides in their order, with the edited one last if it is new.

    An edited override without labels is dropped.
    """
    is_done = not edited.labels
    for override in intent.label_overrides:
        if override.workload != edited.workload:
            yield override
        elif edited.labels:
            yield edited
            is_done = True
    if not is_done:
        yield edited


__all__ = ["LabelEdit", "edit_labels", "parse_label_edit"]
