"""Discrete-event simulation of loads and faults on the product's own decision code."""

from __future__ import annotations

from .experiment import Experiment, Policy, parse_experiment_toml
from .fleet import Fleet
from .policies import apply_policy
from .report import iter_table
from .tally import RouteTally, Tally

__all__ = [
    "Experiment",
    "Fleet",
    "Policy",
    "RouteTally",
    "Tally",
    "apply_policy",
    "iter_table",
    "parse_experiment_toml",
]
