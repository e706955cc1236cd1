"""Start, failure to start and logs of the daemon process."""

from __future__ import annotations

import json
import socket
import subprocess
from pathlib import Path

import pytest

from benchmarks.fleet import SCRIPTS

EXAMPLE = Path(__file__).parent.parent / "examples" / "vm-1.toml"


def run_daemon(*arguments: object) -> subprocess.CompletedProcess[str]:
    """Run the daemon until it exits and return its output."""
    command = [SCRIPTS / "pepperstaird", *arguments]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=20, check=False
    )


def test_check_accepts_valid_settings():
    completed = run_daemon("--settings", EXAMPLE, "--check")
    assert (completed.returncode, completed.stderr) == (0, "")


def test_invalid_arguments_are_reported_on_one_line():
    completed = run_daemon("--settings")
    assert (completed.returncode, completed.stdout) == (2, "")
    assert len(completed.stderr.splitlines()) == 1


@pytest.mark.parametrize("more", [("--check",), ()])
def test_invalid_settings_are_reported_on_one_line_per_fault(tmp_path, more):
    file = tmp_path / "bad.toml"
    file.write_text(EXAMPLE.read_text().replace("127.0.0.1:8001", "10.0.0.1:1") + "x=1")
    completed = run_daemon("--settings", file, *more)
    assert completed.returncode == 2
    assert completed.stderr.splitlines() == [
        f"{file}: platform.x: expected one of the keys address, poll_interval_ms, "
        "requests_per_s, timeout_ms",
        f"{file}: operators.token: expected a token, as the address is not loopback",
    ]


def test_address_in_use_is_logged_as_one_json_line(tmp_path):
    """A daemon is started while the previous one still runs.

    The log holds one line with the address instead of a traceback.
    """
    with socket.socket() as other_process_socket:
        other_process_socket.bind(("127.0.0.1", 0))
        other_process_socket.listen()
        port = other_process_socket.getsockname()[1]
        file = tmp_path / "taken.toml"
        text = EXAMPLE.read_text().replace("127.0.0.1:8001", f"127.0.0.1:{port}")
        file.write_text(text)
        completed = run_daemon("--settings", file)
    (line,) = completed.stdout.splitlines()
    assert completed.returncode == 1
    assert json.loads(line)["event"] == "start_failed"
    assert str(port) in json.loads(line)["reason"]


def test_unhandled_exception_is_logged_as_one_json_line():
    """An exception in a callback is not handled; asyncio would print a traceback."""
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
    completed = subprocess.run(
        [SCRIPTS / "python", "-c", program], capture_output=True, text=True, check=True
    )
    (line,) = completed.stdout.splitlines()
    logged = json.loads(line)
    assert (logged["event"], logged["vm"]) == ("internal_error", "vm-1")
    assert "ZeroDivisionError" in logged["exception"]
