"""Plays loads and faults on the product's own decisions, in virtual time."""

from __future__ import annotations

from .experiment import Experiment, Policy, parse_experiment_toml
from .fleet import Fleet
from .policies import applied
from .report import iter_table
from .tally import RouteTally, Tally

__all__ = [
    "Experiment",
    "Fleet",
    "Policy",
    "RouteTally",
    "Tally",
    "applied",
    "iter_table",
    "parse_experiment_toml",
]
