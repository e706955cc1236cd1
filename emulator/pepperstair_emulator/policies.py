"""Applies policies: changed constants of the product's decision modules."""

from __future__ import annotations

import contextlib
import importlib
from collections.abc import Iterator
from types import ModuleType

from .experiment import Policy

_PACKAGE = "pepperstair_core.calls"


class UnknownConstantError(Exception):
    """Raised when a policy names a constant that no decision module has."""


@contextlib.contextmanager
def apply_policy(policy: Policy) -> Iterator[None]:
    """Set the constants that a policy changes, and restore them on exit.

    Raises `UnknownConstantError` for a module or constant that does not exist.

    >>> from .experiment import ConstantChange
    >>> policy = Policy("x", (ConstantChange("service_times.SHORT_SHARE", 0.0),))
    >>> with apply_policy(policy):
    ...     pass
    """
    saved_values = []
    try:
        for change in policy.constants:
            module, constant = _resolve_constant(change.name)
            saved_values.append((module, constant, getattr(module, constant)))
            setattr(module, constant, change.value)
        yield
    finally:
        for module, constant, value in reversed(saved_values):
            setattr(module, constant, value)


def _resolve_constant(name: str) -> tuple[ModuleType, str]:
    module_name, _, constant = name.partition(".")
    try:
        module = importlib.import_module(f"{_PACKAGE}.{module_name}")
    except ImportError as error:
        raise UnknownConstantError(f"no decision module {module_name!r}") from error
    if not constant.isupper() or not hasattr(module, constant):
        raise UnknownConstantError(f"no constant {constant!r} in {module_name!r}")
    return module, constant


__all__ = ["UnknownConstantError", "apply_policy"]
