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

    An empty value takes the label away, also where the workload announces it;
    None forgets what operators set, so that the announced label counts again.
    """

    key: str
    value: str | None


def parse_label_edit(text: str) -> Result[LabelEdit, str]:
    """Parse `key=value` or `key-`, or say what was expected.

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
    """Return the document with the edits made to the overrides of a workload."""
    held = (o.labels for o in intent.label_overrides if o.workload == workload)
    labels = dict(next(held, {}))
    for edit in edits:
        labels.pop(edit.key, None)
        if edit.value is not None:
            labels[edit.key] = edit.value
    edited = LabelOverride(workload, labels)
    return replace(intent, label_overrides=tuple(_iter_overrides(intent, edited)))


def _iter_overrides(intent: Intent, edited: LabelOverride) -> Iterator[LabelOverride]:
    """Yield the overrides in their order, the edited one last where it is new."""
    is_placed = not edited.labels
    for override in intent.label_overrides:
        if override.workload != edited.workload:
            yield override
        elif edited.labels:
            yield edited
            is_placed = True
    if not is_placed:
        yield edited


__all__ = ["LabelEdit", "edit_labels", "parse_label_edit"]
