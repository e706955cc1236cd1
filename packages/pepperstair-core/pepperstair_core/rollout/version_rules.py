"""To which versions of a service requests may go, by the state of its rollout."""

from __future__ import annotations

from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from ..errors import ErrorKind
from ..labels import Operator, Requirement, Selector
from ..members import VERSION_LABEL
from ..routing import CompiledRoute
from .exposure import Portion
from .records import Phase

# What is said of a version while most requests go to the others.
_STAGES: Final = {Portion.NONE: "not allowed", Portion.STEP: "in its first step"}


class VersionRule(Struct, frozen=True):
    """The versions of one service that requests may go to.

    `usual` is the requirement on the targets of all requests that are not sent to the
    targets of a trial; `cause` states why. Versions that are `held` get no requests.
    `phase` is None without an order. `portion` is the part of the requests that goes
    to the ordered version.
    """

    usual: Requirement
    cause: str
    held: frozenset[str] = frozenset()
    target_version: str = ""
    phase: Phase | None = None
    portion: Portion = Portion.NONE

    @property
    def is_new_allowed(self) -> bool:
        """Return whether the ordered version may get requests."""
        return self.portion is not Portion.NONE

    @property
    def is_trial(self) -> bool:
        """Return whether some requests go to the ordered version and others don't."""
        return Portion.NONE < self.portion < Portion.ALL

    @property
    def new(self) -> Requirement:
        """Return the requirement on the targets of the ordered version."""
        return _is_one_of(frozenset([self.target_version]))

    def refusal(self, version: str) -> ErrorKind | None:
        """Return why targets of a version take no requests, or None if they do."""
        if self.phase is not None and version == self.target_version:
            return None if self.is_new_allowed else ErrorKind.VERSION_HELD
        if self.portion is Portion.ALL:
            return ErrorKind.VERSION_SUPERSEDED
        return ErrorKind.VERSION_HELD if version in self.held else None


def make_rule(
    held: frozenset[str],
    target_version: str = "",
    phase: Phase | None = None,
    portion: Portion = Portion.NONE,
) -> VersionRule | None:
    """Return the rule of a service, or None if all its targets get requests."""
    if phase is None:
        if not held:
            return None
        return VersionRule(_is_none_of(held), "other versions are on hold", held)
    if portion is Portion.ALL:
        usual = _is_one_of(frozenset([target_version]))
        cause = f"{target_version} is {phase.name.lower()}"
    else:
        usual = _is_none_of(held | {target_version})
        stage = _STAGES.get(portion, phase.name.lower())
        cause = f"{target_version} is {stage}"
    return VersionRule(usual, cause, held, target_version, phase, portion)


def narrow(
    compiled: CompiledRoute,
    requirement: Requirement,
    cause: str,
    keys: frozenset[tuple[str, str]] = frozenset(),
) -> CompiledRoute:
    """Return a route restricted to versions, and to some targets if given."""
    requirements = (*compiled.target_selector.requirements, requirement)
    return replace(
        compiled,
        target_selector=Selector(requirements),
        target_keys=keys,
        version_cause=cause,
    )


def _is_one_of(versions: frozenset[str]) -> Requirement:
    return Requirement(VERSION_LABEL, Operator.IN, versions)


def _is_none_of(versions: frozenset[str]) -> Requirement:
    return Requirement(VERSION_LABEL, Operator.NOT_IN, versions)


__all__ = ["VersionRule", "make_rule", "narrow"]
