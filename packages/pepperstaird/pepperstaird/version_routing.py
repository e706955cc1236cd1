"""Chooses the version of a service's targets that each request goes to."""

from __future__ import annotations

from collections.abc import Mapping

import structlog
from msgspec import Struct

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.members import VERSION_LABEL, Target
from pepperstair_core.rollout import (
    ExposureBudget,
    Phase,
    Portion,
    Rollout,
    RolloutTerms,
    canary_targets,
    step_targets,
)
from pepperstair_core.rollout.holds import VersionHolds
from pepperstair_core.rollout.version_rules import VersionRule, make_rule, narrow
from pepperstair_core.routing import CompiledRoute, Endpoint

from .rollout_reports import report_held, report_release
from .rollout_targets import ServiceTargets

log = structlog.get_logger(__name__)


class ActiveRollout(Struct):
    """The rollout of one service, and what this daemon has done for it.

    `is_stored` states whether the agreed row is known to hold the order. A withdrawn
    order takes no requests here before its end has been agreed on.
    """

    rollout: Rollout
    budget: ExposureBudget
    is_stored: bool = False
    is_withdrawn: bool = False
    is_verdict_logged: bool = False
    logged_portion: Portion = Portion.CANARY

    @property
    def is_suspended(self) -> bool:
        """Return whether this daemon sends no requests to the ordered version."""
        is_withdrawn = self.is_withdrawn and not self.rollout.phase.is_final
        return is_withdrawn or self.rollout.is_suspended


class VersionRouting:
    """Restricts routes to versions of their targets, by rules that `update` computes.

    Until `is_restored`, a version under trial gets no requests, and no version is
    released: this process does not know yet what was agreed before its start. While
    `is_settled`, the rules don't change with time.
    """

    def __init__(self, targets: ServiceTargets, terms: RolloutTerms) -> None:
        self._targets = targets
        self._terms = terms
        self._rules: dict[str, VersionRule] = {}
        self._active: Mapping[str, ActiveRollout] = {}
        self._trial_keys: dict[str, frozenset[tuple[str, str]]] = {}
        self._held: dict[str, frozenset[str]] = {}
        self.holds = VersionHolds()
        self.is_restored = False
        self.is_settled = False
        self.n_exposed = 0

    def pick_version(self, compiled: CompiledRoute) -> CompiledRoute:
        """Return a route restricted to the version that a new request goes to."""
        service = compiled.service.name
        rule = self._rules.get(service)
        if rule is None:
            return compiled
        if rule.is_trial:
            budget = self._active[service].budget
            budget.count()
            keys = self._trial_keys[service]
            if keys and budget.take(self._targets.n_members, rule.portion):
                self.n_exposed += 1
                return narrow(compiled, rule.new, "canary", keys)
        return narrow(compiled, rule.usual, rule.cause)

    def pick_other_version(
        self, compiled: CompiledRoute, endpoint: Endpoint, failure: Failure
    ) -> CompiledRoute | None:
        """Return the route restricted to the version to use after a failed attempt.

        None if the request stays with its version. A request that began before the
        order is not restricted yet, and its retries would not count as exposure.
        """
        rule = self._rules.get(compiled.service.name)
        if rule is None:
            return None
        version = endpoint.target.label(VERSION_LABEL)
        is_new = rule.phase is not None and version == rule.target_version
        if is_new and not rule.is_new_allowed:
            return narrow(compiled, rule.usual, rule.cause)
        if is_new and rule.is_trial:
            return narrow(compiled, rule.usual, "the canary attempt failed")
        is_superseded = failure.kind is ErrorKind.VERSION_SUPERSEDED
        if is_superseded and not is_new and rule.is_new_allowed:
            return narrow(compiled, rule.new, "the old version is superseded")
        if rule.phase is None or rule.is_trial or rule.phase is Phase.CANARY:
            return narrow(compiled, rule.usual, rule.cause)
        return None

    def refusal(self, service: str, target: Target) -> ErrorKind | None:
        """Return why a target takes no calls, or None if it takes them."""
        rule = self._rules.get(service)
        if rule is None:
            return None
        return rule.refusal(target.label(VERSION_LABEL))

    def held(self, service: str) -> list[str]:
        """Return the versions that get no requests, whatever the order's phase."""
        return sorted(self._held.get(service, ()))

    def update(
        self, active: Mapping[str, ActiveRollout], confirmed_ms: float, now_ms: float
    ) -> None:
        """Compute the rules.

        `confirmed_ms` is the moment at which all orders were last known here.
        """
        self._active = active
        self.is_settled = all(item.rollout.phase.is_final for item in active.values())
        if not self.is_restored:
            confirmed_ms = float("-inf")
        rules = {
            service: self._make_rule(service, confirmed_ms, now_ms)
            for service in {*self._targets.services, *active}
        }
        self._rules = {
            service: rule for service, rule in rules.items() if rule is not None
        }
        self._trial_keys = {
            service: self._choose_trial_targets(service, rule)
            for service, rule in self._rules.items()
            if rule.is_trial
        }

    def _make_rule(
        self, service: str, confirmed_ms: float, now_ms: float
    ) -> VersionRule | None:
        active = self._active.get(service)
        rollout = active.rollout if active is not None else None
        ordered = rollout.order.target_version if rollout is not None else None
        versions = self._targets.versions(service)
        released = self.holds.see(service, versions, ordered, confirmed_ms, now_ms)
        for version, cause in released:
            report_release(service, version, cause)
        self.is_settled &= all(
            version == ordered or self.holds.is_decided(service, version)
            for version in versions
        )
        held = self.holds.held(service, versions, ordered)
        if held != self._held.get(service, frozenset()):
            self._held[service] = held
            report_held(service, held, ordered)
        if rollout is None:
            return make_rule(held)
        is_completed = rollout.phase is Phase.COMPLETED
        if is_completed and not self._targets.keys(service, ordered):
            # Later versions that were started without an order.
            return make_rule(held)
        is_canary = rollout.phase is Phase.CANARY
        is_only = versions == {ordered} and self.holds.is_released(service, ordered)
        if is_only and is_canary and not active.is_suspended:
            # The order names the version that the service has already.
            return None
        is_trusted = self.is_restored or not is_canary
        is_new_allowed = is_trusted and not active.is_suspended
        portion = rollout.portion if is_new_allowed else Portion.NONE
        return make_rule(held, ordered, rollout.phase, portion)

    def _choose_trial_targets(
        self, service: str, rule: VersionRule
    ) -> frozenset[tuple[str, str]]:
        version = rule.target_version
        old = self._targets.versions(service) - {version}
        n_old = sum(len(self._targets.keys(service, item)) for item in old)
        keys = self._targets.keys(service, version)
        if rule.portion is not Portion.CANARY:
            return frozenset(step_targets(service, keys, n_old))
        share = self._terms.exposure_share
        return frozenset(canary_targets(service, keys, n_old, share))


__all__ = ["ActiveRollout", "VersionRouting"]
