"""The policies in force, compiled from the snapshots."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from msgspec import Struct

from .intent import Policy
from .labels import Labels, Selector, parse_selector
from .versions import Snapshot

DEFAULT_POLICY: Final = Policy("default", "")


class CompiledPolicy(Struct, frozen=True):
    """A policy with the customer that defines it and its parsed selector."""

    customer: str
    policy: Policy
    target_selector: Selector


class PolicyTable(Struct, frozen=True):
    """The policies in force.

    A customer's policies apply to the calls of that customer only.
    """

    policies: tuple[CompiledPolicy, ...] = ()

    def find(self, customer: str, target_labels: Labels) -> Policy:
        """Return the first policy of a customer that selects a target.

        Without a match, return `DEFAULT_POLICY`.
        """
        for compiled in self.policies:
            if compiled.customer != customer:
                continue
            if compiled.target_selector.matches(target_labels):
                return compiled.policy
        return DEFAULT_POLICY


def compile_policies(snapshots: Iterable[Snapshot]) -> PolicyTable:
    """Compile the policies in force, in the order of snapshots and documents."""
    return PolicyTable(
        tuple(
            CompiledPolicy(
                snapshot.head.customer, policy, parse_selector(policy.selector).unwrap()
            )
            for snapshot in snapshots
            for policy in snapshot.intent.policies
        )
    )


__all__ = [
    "DEFAULT_POLICY",
    "CompiledPolicy",
    "PolicyTable",
    "compile_policies",
]
