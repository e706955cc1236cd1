"""The emulator: loads in virtual time on the product's own decision code."""

from __future__ import annotations

from pathlib import Path

import pytest
from msgspec.structs import replace

from pepperstair_core.calls import service_times
from pepperstair_emulator import Fleet, Policy, apply_policy, parse_experiment_toml
from pepperstair_emulator.__main__ import run_experiment
from pepperstair_emulator.experiment import ConstantChange, FaultModel
from pepperstair_emulator.policies import UnknownConstantError
from pepperstair_emulator.report import worth_of

EXPERIMENTS = Path(__file__).parent.parent / "emulator" / "experiments"
SMALL = """
name = "small"
length_s = 4
[[services]]
name = "ledger"
speeds = [1, 1, 1]
[[routes]]
name = "read"
service = "ledger"
per_s = 60
"""


def small(**changes):
    """Return a small experiment with a load within capacity, with fields replaced."""
    return replace(parse_experiment_toml(SMALL).unwrap(), **changes)


def test_load_within_capacity_is_answered_in_time():
    experiment = small()
    tally = Fleet(experiment, 1).run()
    assert tally.routes["read"].n_requests > 150
    assert worth_of(experiment, tally) > 0.97


def test_same_seed_gives_the_same_result():
    first, again, other = (Fleet(small(), seed).run() for seed in (3, 3, 4))
    assert first == again
    assert first != other


@pytest.mark.parametrize(("kind", "factor"), [("slow", 8), ("shed", 0.5), ("away", 1)])
def test_faults_reduce_the_worth_of_answers(kind, factor):
    fault = FaultModel(kind, "ledger", 1.0, 2.0, 3, factor)
    without, faulty = small(), small(faults=(fault,))
    worth = worth_of(without, Fleet(without, 1).run())
    assert worth_of(faulty, Fleet(faulty, 1).run()) < worth - 0.01


def test_every_request_is_counted_once():
    """Clients retry refused and failed requests; only the last result counts."""
    fault = FaultModel("shed", "ledger", 0.0, 4.0, 3, 0.6)
    tally = Fleet(small(faults=(fault,), load=3.0), 2).run().routes["read"]
    n_ends = tally.n_in_time + tally.n_late + tally.n_refused + tally.n_failed
    assert n_ends == tally.n_requests


def test_policy_constants_are_restored_after_the_run():
    original = service_times.SHORT_SHARE
    policy = Policy("p", (ConstantChange("service_times.SHORT_SHARE", 0.0),))
    with apply_policy(policy):
        assert service_times.SHORT_SHARE == 0.0
    assert original == service_times.SHORT_SHARE


@pytest.mark.parametrize("name", ["admission.NO", "nothing.AT_ALL", "admission.heapq"])
def test_unknown_policy_constant_is_reported_in_one_line(name, tmp_path, capsys):
    with pytest.raises(UnknownConstantError):
        with apply_policy(Policy("p", (ConstantChange(name, 0.0),))):
            pass
    file = tmp_path / "e.toml"
    changed = f'[[policies.constants]]\nname = "{name}"\nvalue = 0\n'
    file.write_text(f'{SMALL}\n[[policies]]\nname = "p"\n{changed}')
    assert run_experiment(file, seeds=1) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_faults_of_a_file_are_listed(tmp_path, capsys):
    file = tmp_path / "e.toml"
    file.write_text(SMALL.replace('service = "ledger"', 'service = "vault"'))
    assert run_experiment(file) == 2
    assert "vault" in capsys.readouterr().err


@pytest.mark.parametrize(
    "file", sorted(EXPERIMENTS.glob("*.toml")), ids=lambda file: file.stem
)
def test_experiment_runs_with_each_policy(file):
    """An experiment must not name a constant that a decision module no longer has."""
    experiment = replace(
        parse_experiment_toml(file.read_text(encoding="utf-8")).unwrap(), length_s=1.0
    )
    for policy in (Policy("product"), *experiment.policies):
        with apply_policy(policy):
            tally = Fleet(experiment, 0, policy.are_zones_known).run()
        assert worth_of(experiment, tally) > 0.5
