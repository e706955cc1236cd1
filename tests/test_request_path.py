"""The way of a request through logs: `pepperstair explain --request`."""

from __future__ import annotations

import json

from pepperstair_cli.__main__ import run
from pepperstair_cli.output import ExitCode


def line(second: int, vm: str, event: str, request_id: str, **more) -> str:
    """Return one line of a log."""
    timestamp = f"2026-01-01T00:00:{second:02}Z"
    common = {"event": event, "vm": vm, "request_id": request_id}
    return json.dumps({**more, **common, "level": "info", "timestamp": timestamp})


def test_lines_of_a_request_come_in_order_over_all_files(tmp_path, capsys):
    """A request was refused beside one target and sent to another VM.

    Its lines stand in the logs of three VMs, among those of other requests.
    """
    caller, beside = tmp_path / "vm-1.log", tmp_path / "vm-2.log"
    caller.write_text(
        "\n".join(
            [
                line(9, "vm-1", "request_answered", "award-1", status=503),
                line(3, "vm-1", "request_answered", "award-11", status=200),
                "Traceback of something else about award-1",
            ]
        )
    )
    refused = line(8, "vm-2", "request_refused", "award-1", cause="queue full")
    beside.write_text(f"  12.25 vm-2 {refused}\n{{broken award-1\n")
    assert run(["explain", "--request", "award-1", str(caller), str(beside)]) == 0
    first, second = capsys.readouterr().out.splitlines()
    assert "vm-2  request_refused: cause queue full" in first
    assert "vm-1  request_answered: status 503" in second


def test_request_that_is_not_in_the_logs_is_said_to_be_absent(tmp_path, capsys):
    log = tmp_path / "vm-1.log"
    log.write_text(line(1, "vm-1", "request_answered", "award-1"))
    command = ["explain", "--request", "award-2", str(log)]
    assert run(command) == ExitCode.REFUSED
    assert capsys.readouterr().err == "award-2: no line in these logs\n"


def test_wrong_options_are_one_line(tmp_path, capsys):
    for command in (
        ["explain"],
        ["explain", "--request", "award-1"],
        ["explain", "--request", "a", "--subject", "b", str(tmp_path / "x")],
        ["explain", "--request", "a", str(tmp_path / "missing.log")],
    ):
        assert run(command) == ExitCode.BAD_INPUT
        assert len(capsys.readouterr().err.splitlines()) == 1
