"""Labels and label selectors, in the syntax of Kubernetes label selectors.

>>> selector = parse_selector("app=ledger, tier in (a, b), !canary").ok()
>>> selector.matches({"app": "ledger", "tier": "a"})
True
"""

from __future__ import annotations

import functools
import re
from collections.abc import Iterator, Mapping
from enum import StrEnum

from msgspec import Struct
from result import Err, Ok, Result

from .schema import Fault

Labels = Mapping[str, str]

_NAME = r"[A-Za-z0-9]([A-Za-z0-9_./-]{0,61}[A-Za-z0-9])?"
_NAME_PATTERN = re.compile(_NAME)
_SET_PATTERN = re.compile(rf"({_NAME})\s+(in|notin)\s*\(([^()]*)\)")
_EQUAL_PATTERN = re.compile(rf"({_NAME})\s*(!=|==|=)\s*({_NAME})?")
_EXISTS_PATTERN = re.compile(rf"(!?)\s*({_NAME})")
_SPLIT_PATTERN = re.compile(r",(?![^()]*\))")


class Operator(StrEnum):
    """The comparison that a requirement makes with a label."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    NOT_EXISTS = "!"


class Requirement(Struct, frozen=True):
    """One comma-separated requirement of a selector."""

    key: str
    operator: Operator
    values: frozenset[str] = frozenset()

    def matches(self, labels: Labels) -> bool:
        """Return whether the labels satisfy this requirement."""
        if self.operator is Operator.EXISTS:
            return self.key in labels
        if self.operator is Operator.NOT_EXISTS:
            return self.key not in labels
        if self.operator is Operator.IN:
            return labels.get(self.key) in self.values
        return labels.get(self.key) not in self.values


class Selector(Struct, frozen=True):
    """A conjunction of requirements; an empty one matches everything."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Labels) -> bool:
        """Return whether the labels satisfy all requirements."""
        return all(requirement.matches(labels) for requirement in self.requirements)


@functools.lru_cache(maxsize=4096)
def parse_selector(text: str) -> Result[Selector, str]:
    """Parse a selector, or return a phrase that describes the error."""
    if not text.strip():
        return Ok(Selector())
    requirements = []
    for part in _SPLIT_PATTERN.split(text):
        parsed = _parse_requirement(part.strip())
        if parsed is None:
            return Err(
                f"a selector such as 'a=b' or 'a in (b, c)', not {part.strip()!r}"
            )
        requirements.append(parsed)
    return Ok(Selector(tuple(requirements)))


def is_label_name(text: str) -> bool:
    """Return whether a text is valid as a label's key or value."""
    return _NAME_PATTERN.fullmatch(text) is not None


def iter_label_faults(where: str, labels: Labels) -> Iterator[Fault]:
    """Yield a fault for each label that no selector could match.

    An empty value is allowed: in overrides it removes a label.
    """
    for key, value in labels.items():
        if not is_label_name(key) or (value and not is_label_name(value)):
            yield Fault(f"{where}.{key}", "a label name and value")


def _parse_requirement(text: str) -> Requirement | None:
    if match := _SET_PATTERN.fullmatch(text):
        values = frozenset(value.strip() for value in match[4].split(","))
        if not all(is_label_name(value) for value in values):
            return None
        operator = Operator.IN if match[3] == "in" else Operator.NOT_IN
        return Requirement(match[1], operator, values)
    if match := _EQUAL_PATTERN.fullmatch(text):
        operator = Operator.NOT_IN if match[3] == "!=" else Operator.IN
        return Requirement(match[1], operator, frozenset([match[4] or ""]))
    if match := _EXISTS_PATTERN.fullmatch(text):
        operator = Operator.NOT_EXISTS if match[1] else Operator.EXISTS
        return Requirement(match[2], operator)
    return None


__all__ = [
    "Labels",
    "Operator",
    "Requirement",
    "Selector",
    "is_label_name",
    "iter_label_faults",
    "parse_selector",
]
