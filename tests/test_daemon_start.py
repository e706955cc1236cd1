"""How the daemon starts, refuses to start and logs, as a process."""

from __future__ import annotations

import json
import socket
import subprocess
from pathlib import Path

import pytest

from benchmarks.fleet import SCRIPTS

EXAMPLE = Path(__file__).parent.parent / "examples" / "vm-1.toml"


def run_daemon(*arguments: object) -> subprocess.CompletedProcess[str]:
    """Run the daemon until it ends by itself."""
    command = [SCRIPTS / "pepperstaird", *arguments]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=20, check=False
    )


def test_check_says_that_settings_are_valid():
    done = run_daemon("--settings", EXAMPLE, "--check")
    assert (done.returncode, done.stderr) == (0, "")


def test_wrong_arguments_are_one_line():
    done = run_daemon("--settings")
    assert (done.returncode, done.stdout) == (2, "")
    assert len(done.stderr.splitlines()) == 1


@pytest.mark.parametrize("more", [("--check",), ()])
def test_wrong_settings_are_one_line_a_fault(tmp_path, more):
    file = tmp_path / "bad.toml"
    file.write_text(EXAMPLE.read_text().replace("127.0.0.1:8001", "10.0.0.1:1") + "x=1")
    done = run_daemon("--settings", file, *more)
    assert done.returncode == 2
    assert done.stderr.splitlines() == [
        f"{file}: platform.x: expected one of the keys address, poll_interval_ms, "
        "requests_per_s, timeout_ms",
        f"{file}: operators.token: expected a token, as the address is not loopback",
    ]


def test_address_in_use_is_one_json_line(tmp_path):
    """A daemon is started while its predecessor still runs.

    The operator sees one line with the address, not a traceback.
    """
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        file = tmp_path / "taken.toml"
        text = EXAMPLE.read_text().replace("127.0.0.1:8001", f"127.0.0.1:{port}")
        file.write_text(text)
        done = run_daemon("--settings", file)
    (line,) = done.stdout.splitlines()
    assert done.returncode == 1
    assert json.loads(line)["event"] == "start_failed"
    assert str(port) in json.loads(line)["reason"]


def test_fault_in_a_task_is_one_json_line():
    """A task raises and nobody takes it; asyncio would print a bare traceback."""
    program = (
        "import asyncio\n"
        "from pepperstaird.logs import configure_logs, log_loop_error\n"
        "async def main():\n"
        "    loop = asyncio.get_running_loop()\n"
        "    loop.set_exception_handler(log_loop_error)\n"
        "    loop.call_soon(lambda: 1 / 0)\n"
        "    await asyncio.sleep(0)\n"
        "configure_logs('vm-1')\n"
        "asyncio.run(main())\n"
    )
    done = subprocess.run(
        [SCRIPTS / "python", "-c", program], capture_output=True, text=True, check=True
    )
    (line,) = done.stdout.splitlines()
    logged = json.loads(line)
    assert (logged["event"], logged["vm"]) == ("internal_error", "vm-1")
    assert "ZeroDivisionError" in logged["exception"]
