"""The emulator: loads in virtual time on the product's own decisions."""

from __future__ import annotations

from pathlib import Path

import pytest
from msgspec.structs import replace

from pepperstair_core.calls import service_times
from pepperstair_emulator import Fleet, Policy, applied, parse_experiment_toml
from pepperstair_emulator.__main__ import play
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
    """Return a small experiment with a load that fits, and some changes."""
    return replace(parse_experiment_toml(SMALL).unwrap(), **changes)


def test_load_that_fits_is_answered_in_time():
    experiment = small()
    tally = Fleet(experiment, 1).run()
    assert tally.routes["read"].n_asked > 150
    assert worth_of(experiment, tally) > 0.97


def test_same_seed_plays_the_same():
    first, again, other = (Fleet(small(), seed).run() for seed in (3, 3, 4))
    assert first == again
    assert first != other


@pytest.mark.parametrize(("kind", "factor"), [("slow", 8), ("shed", 0.5), ("away", 1)])
def test_faults_cost_callers_something(kind, factor):
    fault = FaultModel(kind, "ledger", 1.0, 2.0, 3, factor)
    calm, harmed = small(), small(faults=(fault,))
    worth = worth_of(calm, Fleet(calm, 1).run())
    assert worth_of(harmed, Fleet(harmed, 1).run()) < worth - 0.01


def test_every_request_has_one_end():
    """Clients come back after refusals and failures; each counts once, at its end."""
    fault = FaultModel("shed", "ledger", 0.0, 4.0, 3, 0.6)
    tally = Fleet(small(faults=(fault,), load=3.0), 2).run().routes["read"]
    n_ends = tally.n_in_time + tally.n_late + tally.n_refused + tally.n_failed
    assert n_ends == tally.n_asked


def test_policy_holds_for_its_run_only():
    before = service_times.SHORT_SHARE
    policy = Policy("p", (ConstantChange("service_times.SHORT_SHARE", 0.0),))
    with applied(policy):
        assert service_times.SHORT_SHARE == 0.0
    assert before == service_times.SHORT_SHARE


@pytest.mark.parametrize("name", ["admission.NO", "nothing.AT_ALL", "admission.heapq"])
def test_policy_that_names_no_constant_is_told_in_one_line(name, tmp_path, capsys):
    with pytest.raises(UnknownConstantError):
        with applied(Policy("p", (ConstantChange(name, 0.0),))):
            pass
    file = tmp_path / "e.toml"
    changed = f'[[policies.constants]]\nname = "{name}"\nvalue = 0\n'
    file.write_text(f'{SMALL}\n[[policies]]\nname = "p"\n{changed}')
    assert play(file, seeds=1) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_faults_of_a_file_are_listed(tmp_path, capsys):
    file = tmp_path / "e.toml"
    file.write_text(SMALL.replace('service = "ledger"', 'service = "vault"'))
    assert play(file) == 2
    assert "vault" in capsys.readouterr().err


@pytest.mark.parametrize(
    "file", sorted(EXPERIMENTS.glob("*.toml")), ids=lambda file: file.stem
)
def test_experiment_plays_with_each_policy(file):
    """An experiment names a constant that a decision has lost."""
    experiment = replace(
        parse_experiment_toml(file.read_text(encoding="utf-8")).unwrap(), length_s=1.0
    )
    for policy in (Policy("product"), *experiment.policies):
        with applied(policy):
            tally = Fleet(experiment, 0, policy.are_zones_known).run()
        assert worth_of(experiment, tally) > 0.5
