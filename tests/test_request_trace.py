"""Tracing a request through logs: `pepperstair explain --request`."""

from __future__ import annotations

import json

from pepperstair_cli.__main__ import run
from pepperstair_cli.output import ExitCode


def line(second: int, vm: str, event: str, request_id: str, **more) -> str:
    """Return one log line as JSON."""
    timestamp = f"2026-01-01T00:00:{second:02}Z"
    common = {"event": event, "vm": vm, "request_id": request_id}
    return json.dumps({**more, **common, "level": "info", "timestamp": timestamp})


def test_log_lines_of_a_request_are_sorted_across_files(tmp_path, capsys):
    """A request was refused at one target and sent to another VM.

    Its lines are in the logs of two VMs, among those of other requests.
    """
    caller_log, target_log = tmp_path / "vm-1.log", tmp_path / "vm-2.log"
    caller_log.write_text(
        "\n".join(
            [
                line(9, "vm-1", "request_answered", "award-1", status=503),
                line(3, "vm-1", "request_answered", "award-11", status=200),
                "Traceback of something else about award-1",
            ]
        )
    )
    refused = line(8, "vm-2", "request_refused", "award-1", cause="queue full")
    target_log.write_text(f"  12.25 vm-2 {refused}\n{{broken award-1\n")
    assert (
        run(["explain", "--request", "award-1", str(caller_log), str(target_log)]) == 0
    )
    first, second = capsys.readouterr().out.splitlines()
    assert "vm-2  request_refused: cause queue full" in first
    assert "vm-1  request_answered: status 503" in second


def test_request_missing_from_the_logs_is_reported(tmp_path, capsys):
    log = tmp_path / "vm-1.log"
    log.write_text(line(1, "vm-1", "request_answered", "award-1"))
    command = ["explain", "--request", "award-2", str(log)]
    assert run(command) == ExitCode.FAILED
    assert capsys.readouterr().err == "award-2: not found in these logs\n"


def test_invalid_options_are_reported_in_one_line(tmp_path, capsys):
    for command in (
        ["explain"],
        ["explain", "--request", "award-1"],
        ["explain", "--request", "a", "--subject", "b", str(tmp_path / "x")],
        ["explain", "--request", "a", str(tmp_path / "missing.log")],
    ):
        assert run(command) == ExitCode.BAD_INPUT
        assert len(capsys.readouterr().err.splitlines()) == 1
