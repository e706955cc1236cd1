"""Variants of the product's decisions, for the time of one run."""

from __future__ import annotations

import contextlib
import importlib
from collections.abc import Iterator
from types import ModuleType

from .experiment import Policy

_PACKAGE = "pepperstair_core.calls"


class UnknownConstantError(Exception):
    """A policy names a constant that no decision has."""


@contextlib.contextmanager
def applied(policy: Policy) -> Iterator[None]:
    """Give the constants that a policy names its values, and theirs back after.

    >>> from .experiment import ConstantChange
    >>> policy = Policy("x", (ConstantChange("service_times.SHORT_SHARE", 0.0),))
    >>> with applied(policy):
    ...     pass
    """
    before = []
    try:
        for change in policy.constants:
            module, constant = _find(change.name)
            before.append((module, constant, getattr(module, constant)))
            setattr(module, constant, change.value)
        yield
    finally:
        for module, constant, value in reversed(before):
            setattr(module, constant, value)


def _find(name: str) -> tuple[ModuleType, str]:
    module_name, _, constant = name.partition(".")
    try:
        module = importlib.import_module(f"{_PACKAGE}.{module_name}")
    except ImportError as error:
        raise UnknownConstantError(f"no decision module {module_name!r}") from error
    if not constant.isupper() or not hasattr(module, constant):
        raise UnknownConstantError(f"no constant {constant!r} in {module_name!r}")
    return module, constant


__all__ = ["UnknownConstantError", "applied"]
