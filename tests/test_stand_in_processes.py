"""Error reports for a stand-in process that does not start listening."""

from __future__ import annotations

import subprocess
import sys

import pytest

from benchmarks.fleet import StandInProcess, free_port


def start_process(tmp_path, code: str) -> StandInProcess:
    """Start a process that never listens."""
    log = tmp_path / "errors.log"
    with log.open("wb") as output:
        process = subprocess.Popen([sys.executable, "-c", code], stderr=output)
    return StandInProcess("stand_ins.target", process, log)


def test_stand_in_that_has_ended_is_reported_without_waiting(tmp_path):
    """Guards against a time-out that does not report why the process ended."""
    stand_in = start_process(tmp_path, "raise SystemExit('no such port')")
    with pytest.raises(TimeoutError, match="status 1\nno such port"):
        stand_in.wait_until_listening(f"127.0.0.1:{free_port()}", 60.0)


def test_stand_in_that_runs_without_listening_is_reported_as_such(tmp_path):
    stand_in = start_process(tmp_path, "import time; time.sleep(60)")
    try:
        with pytest.raises(TimeoutError, match="it runs, and nothing listens"):
            stand_in.wait_until_listening(f"127.0.0.1:{free_port()}", 0.1)
    finally:
        stand_in.process.kill()
        stand_in.process.wait()
