"""What is told of a stand-in that does not come up."""

from __future__ import annotations

import subprocess
import sys

import pytest

from benchmarks.fleet import StartedModule, free_port


def started(tmp_path, code: str) -> StartedModule:
    """Start a process that never listens."""
    log = tmp_path / "errors.log"
    with log.open("wb") as output:
        process = subprocess.Popen([sys.executable, "-c", code], stderr=output)
    return StartedModule("stand_ins.target", process, log)


def test_stand_in_that_has_ended_is_not_waited_for(tmp_path):
    """Guards against a demo that says only that it has not seen something."""
    module = started(tmp_path, "raise SystemExit('no such port')")
    with pytest.raises(TimeoutError, match="status 1\nno such port"):
        module.wait_until_listening(f"127.0.0.1:{free_port()}", 60.0)


def test_stand_in_that_runs_without_listening_is_told_apart(tmp_path):
    module = started(tmp_path, "import time; time.sleep(60)")
    try:
        with pytest.raises(TimeoutError, match="it runs, and nothing listens"):
            module.wait_until_listening(f"127.0.0.1:{free_port()}", 0.1)
    finally:
        module.process.kill()
        module.process.wait()
