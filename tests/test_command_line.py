"""The command line with a daemon and the platform stand-in as processes."""

from __future__ import annotations

import json
import signal
import subprocess
from pathlib import Path

import pytest

from benchmarks.fleet import SCRIPTS, fetch, free_port, running_fleet, wait_until
from pepperstair_cli import documents
from pepperstair_cli.__main__ import run
from pepperstair_cli.output import ExitCode
from tests.adapter.documents import document, rule

EXAMPLE = Path(__file__).parent.parent / "examples" / "lantern.toml"


@pytest.fixture(scope="module")
def fleet():
    with running_fleet() as started:
        started.start_platform()
        daemon = started.start_daemon("vm-1", "pos-a", '{ customer = "lantern" }')
        wait_until(lambda: fetch(daemon.operators, "GET", "/v1/ready")[0] == 200, "vm")
        run(["apply", str(EXAMPLE), "--at", daemon.operators])
        yield started


@pytest.fixture
def at(fleet):
    return fleet.daemons[0].operators


@pytest.fixture
def command(capsys):
    """Return a function that runs a command and returns its code, output and errors."""

    def call(*arguments: object) -> tuple[ExitCode, str, str]:
        capsys.readouterr()
        code = run([str(argument) for argument in arguments])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return call


def version_of(command, at: str) -> int:
    """Return the version of the customer `lantern` in force."""
    return json.loads(command("status", "--at", at, "--output", "json")[1])["versions"][
        "lantern"
    ]


def test_get_prints_a_document_that_apply_accepts_unchanged(command, at, tmp_path):
    file = tmp_path / "held.toml"
    file.write_text(command("get", "lantern", "--at", at)[1])
    code, out, _ = command("diff", file, "--at", at)
    assert code is ExitCode.SUCCESS
    assert "no difference" in out


def test_diff_shows_what_apply_would_change(command, at, tmp_path):
    file = tmp_path / "changed.toml"
    file.write_text(EXAMPLE.read_text().replace("2000", "2500"))
    out = command("diff", file, "--at", at)[1].splitlines()
    assert "-timeout_ms = 2000" in out
    assert "+timeout_ms = 2500" in out


def test_labels_are_set_removed_and_reset(command, at):
    arguments = ("--customer", "lantern", "--at", at)
    assert command("label", "ledger-1", "canary=yes", "old-", *arguments)[0] == 0
    fetched = json.loads(command("get", "lantern", "--at", at, "--output", "json")[1])
    assert fetched["intent"]["label_overrides"] == [
        {"workload": "ledger-1", "labels": {"canary": "yes", "old": ""}}
    ]
    resets = ("--reset", "canary", "--reset", "old")
    assert command("label", "ledger-1", *resets, *arguments)[0] == 0
    fetched = json.loads(command("get", "lantern", "--at", at, "--output", "json")[1])
    assert fetched["intent"]["label_overrides"] == []


def test_concurrent_change_from_the_same_version_is_a_conflict(command, at):
    """Two operators start from the same version and both send a change.

    If both were accepted, the later change would undo the labels of the earlier
    one, and calls would go to the wrong targets without any error.
    """
    newest = version_of(command, at)
    from_newest = ("--from-version", newest, "--customer", "lantern", "--at", at)
    assert command("label", "ledger-1", "a=b", *from_newest)[0] is ExitCode.SUCCESS
    code, _, err = command("label", "ledger-1", "c=d", *from_newest)
    assert code is ExitCode.FAILED
    assert err.startswith("conflict: ")
    assert len(err.splitlines()) == 1
    assert version_of(command, at) == newest + 1
    explained = command("explain", "--subject", "lantern", "--at", at)[1]
    assert "  conflict lantern: " in explained
    assert f"start from version {newest + 1}" in explained


def test_same_change_id_commits_once(command, at, tmp_path):
    """The answer to a change is lost, and the operator retries with the same id."""
    file = tmp_path / "again.toml"
    file.write_text(EXAMPLE.read_text().replace("2000", "1900"))
    arguments = ("apply", file, "--change-id", "again-1", "--at", at)
    first, second = command(*arguments), command(*arguments)
    assert first == second
    assert first[0] is ExitCode.SUCCESS


def test_retried_change_during_an_outage_has_an_unknown_outcome(command, fleet, at):
    """The answer is lost, and the platform fails before the operator retries.

    A daemon that did not see the first attempt must report an unknown outcome.
    After "not accepted" the operator would make the change again.
    """
    apply = ("apply", EXAMPLE, "--at", at)
    fleet.set_platform_faults(mode="outage")
    try:
        first = command(*apply)
        named = command(*apply, "--change-id", "sent-elsewhere")
    finally:
        fleet.set_platform_faults()
    assert first[0] is ExitCode.FAILED
    assert named[0] is ExitCode.OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    "arguments",
    [
        ("status",),
        ("status", "--at", "localhost:1"),
        ("status", "--at", "127.0.0.1:1", "--output", "xml"),
        ("apply", "absent.toml", "--at", "127.0.0.1:1"),
        ("label", "ledger-1", "--customer", "c", "--at", "127.0.0.1:1"),
        ("label", "ledger-1", "=x", "--customer", "c", "--at", "127.0.0.1:1"),
        ("explain", "--route", "award", "--at", "127.0.0.1:1"),
        ("check", "absent.toml"),
        ("statsu",),
    ],
)
def test_bad_input_is_one_line_and_exit_code_2(command, arguments):
    code, out, err = command(*arguments)
    assert code is ExitCode.BAD_INPUT
    assert out == ""
    assert len(err.splitlines()) == 1


def test_check_lists_every_fault(command, tmp_path):
    file = tmp_path / "bad.toml"
    file.write_text('customer = "a b"\nroutes = 3\n')
    code, _, err = command("check", file)
    assert code is ExitCode.BAD_INPUT
    assert err.splitlines() == [
        f"{file}: routes: expected a list, not 3",
        f"{file}: customer: expected a name, not 'a b'",
    ]


def test_check_reads_a_platform_document(command, tmp_path):
    """An operator checks a document before writing it to the platform's store."""
    file = tmp_path / "config.json"
    file.write_bytes(document(7))
    assert command("check", file)[0] is ExitCode.SUCCESS
    broken = rule("logs", "/logs", "ledger", action={"timeout_ms": 0})
    file.write_bytes(document(7, broken))
    code, _, err = command("check", file)
    assert code is ExitCode.BAD_INPUT
    assert err.startswith(f"{file}: listeners[0].policy[0]")


def test_check_reports_a_missing_reader_for_platform_documents(
    command, tmp_path, monkeypatch
):
    monkeypatch.setattr(documents, "READERS_GROUP", "pepperstair.nothing")
    file = tmp_path / "config.json"
    file.write_bytes(document(7))
    code, _, err = command("check", file)
    assert code is ExitCode.BAD_INPUT
    assert err == f"{file}: no reader for platform documents is installed\n"


def test_reads_and_changes_fail_if_the_daemon_is_unreachable(command):
    address = f"127.0.0.1:{free_port()}"
    for arguments in (("status",), ("apply", EXAMPLE)):
        code, _, err = command(*arguments, "--at", address)
        assert code is ExitCode.FAILED
        assert err.startswith(f"peer_unreachable: {address}: ")


def test_address_without_an_operators_interface_is_reported(command, fleet):
    """An operator gives the callers' address, whose answer is not JSON.

    Parsing that answer must not end in a traceback.
    """
    code, _, err = command("status", "--at", fleet.daemons[0].callers)
    assert code is ExitCode.FAILED
    assert "not an operators' interface" in err


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/v1/intent/lantern?from_version=abc", b""),
        ("/v1/intent/lantern?from_version=", b""),
        ("/v1/intent/lantern?from_version=-1", b""),
        ("/v1/intent/lantern?change_id=%ff", b""),
        ("/v1/intent/%ff", b""),
        ("/v1/intent/lantern", b"customer = '\xff'"),
        ("/v1/targets/x", b"{"),
        ("/v1/targets/x", b'["address"]'),
    ],
)
def test_malformed_requests_are_refused_and_change_nothing(command, at, path, body):
    """A malformed version must not be treated as a missing one.

    Otherwise the change replaces the newest version, and a faulty script of one
    operator undoes another operator's change.
    """
    newest = version_of(command, at)
    body = body or EXAMPLE.read_bytes()
    code, answer = fetch(at, "PUT", path, body)
    assert (code, json.loads(answer)["error"]) in (
        (400, "bad_request"),
        (422, "invalid_intent"),
    )
    assert version_of(command, at) == newest


def test_names_are_percent_encoded(command, at, tmp_path):
    file = tmp_path / "slash.toml"
    file.write_text('customer = "a/b"\n')
    assert command("apply", file, "--at", at)[0] is ExitCode.SUCCESS
    assert command("get", "a/b", "--at", at)[0] is ExitCode.SUCCESS


def test_change_is_awaited_listed_and_explained(command, fleet, at, tmp_path):
    file = tmp_path / "awaited.toml"
    file.write_text(EXAMPLE.read_text().replace("2000", "2200"))
    change = ("--change-id", "awaited-1", "--wait")
    code, out, _ = command("apply", file, *change, "--at", at)
    assert code is ExitCode.SUCCESS
    assert "in force everywhere" in out
    newest = version_of(command, at)
    assert command("wait", "lantern", "--at", at)[0] is ExitCode.SUCCESS
    listed = command("history", "lantern", "--at", at)[1].splitlines()[-1]
    assert listed.startswith(f"version {newest} ")
    assert "change awaited-1" in listed
    route = ("--customer", "lantern", "--route")
    explained = command("explain", *route, "award", "--at", at)[1]
    assert "this proxy carries route award: it is for customer=lantern" in explained
    assert "no such route" in command("explain", *route, "nowhere", "--at", at)[1]


def test_wait_for_a_version_never_accepted_has_an_unknown_outcome(command, at):
    """An operator waits for a version that no daemon has accepted."""
    wanted = ("--version", "999", "--timeout-ms", "200")
    code, _, err = command("wait", "lantern", *wanted, "--at", at)
    assert code is ExitCode.OUTCOME_UNKNOWN
    assert "version 999 is not in force on vm-1" in err


def test_wait_rejects_a_malformed_version(at):
    assert fetch(at, "GET", "/v1/wait/lantern?version=abc")[0] == 400


def test_burn_report_counts_served_and_failed_calls(command, fleet, at):
    """Calls to a service without targets fail, and the report must count them."""
    callers = fleet.daemons[0].callers
    wait_until(lambda: fetch(callers, "POST", "/ledger/award")[0] == 503, "a failure")
    fleet.start_target(fleet.daemons[0], "ledger", "--name", "ledger-1")
    wait_until(lambda: fetch(callers, "POST", "/ledger/award")[0] == 200, "an answer")
    report = json.loads(command("report", "burn", "--at", at, "--output", "json")[1])
    (lantern,) = [c for c in report["customers"] if c["customer"] == "lantern"]
    urgent = lantern["windows"][0]["urgent"]["counts"]
    assert urgent["n_good"] == 1
    assert urgent["n_failed"] >= 1
    firing = [a["rule"]["name"] for a in lantern["alerts"] if a["is_firing"]]
    assert firing == ["page-fast", "page-slow", "ticket"]


def test_burn_report_lists_members_that_do_not_answer(command, fleet, at):
    """A daemon is paused, then killed: its calls are missing from the totals.

    A report that omitted this would show a full error budget, and one that waited
    for the paused daemon would never finish.
    """
    unresponsive = fleet.start_daemon("vm-2", "pos-b", "{}")
    report = ("report", "burn", "--at", at)
    wait_until(lambda: "covers 2 of 2" in command(*report)[1], "both daemons")
    for number in (signal.SIGSTOP, signal.SIGKILL):
        unresponsive.process.send_signal(number)
        code, out, _ = command(*report)
        assert code is ExitCode.SUCCESS
        assert "covers 1 of 2 daemons" in out
        assert "no answer from vm-2" in out
    unresponsive.process.wait()


def test_operators_without_the_token_are_refused(command, fleet, monkeypatch):
    """Without the token, anyone who reaches the port could change all routing."""
    settings = fleet.folder / "guarded.toml"
    operators = f"127.0.0.1:{free_port()}"
    text = fleet.daemons[0].settings.read_text()
    for address in (fleet.daemons[0].callers, fleet.daemons[0].peers):
        text = text.replace(address, f"127.0.0.1:{free_port()}")
    text = text.replace(
        f'"{fleet.daemons[0].operators}"', f'"{operators}"\ntoken = "x"'
    )
    settings.write_text(text.replace('"vm-1"', '"guarded"'))
    fleet.spawn_daemon(settings)
    wait_until(lambda: fetch(operators, "GET", "/v1/ready")[0] == 401, "guarded")
    code, _, err = command("status", "--at", operators)
    assert code is ExitCode.FAILED
    assert err.startswith("unauthorized: ")
    monkeypatch.setenv("PEPPERSTAIR_TOKEN", "x")
    assert command("status", "--at", operators)[0] is ExitCode.SUCCESS


def test_closed_pipe_causes_no_traceback(at):
    """`pepperstair get lantern | head -1` closes the pipe before reading everything."""
    line = f"{SCRIPTS / 'pepperstair'} get lantern --at {at} | true"
    done = subprocess.run(
        ["bash", "-c", f"set -o pipefail; {line}"], capture_output=True, check=False
    )
    assert (done.returncode, done.stderr) == (0, b"")


def test_explain_reports_that_no_decision_is_known(command, at):
    assert command("explain", "--subject", "nobody", "--at", at)[1:] == (
        "no decision is known\n",
        "",
    )
