"""`make demo`: a request served end to end and a change applied by all daemons."""

from __future__ import annotations

import subprocess
import sys

from .fleet import (
    SCRIPTS,
    DaemonProcess,
    Fleet,
    fetch,
    running_fleet,
    status_of,
    wait_until,
)

LABELS = '{ customer = "lantern" }'
INTENT = """\
customer = "lantern"
[[services]]
name = "ledger"
selector = "app=ledger"
[[services]]
name = "vault"
selector = "app=vault"
[[routes]]
name = "award"
path_prefix = "/ledger/award"
service = "{service}"
proxies = "customer=lantern"
priority = "urgent"
is_idempotent = false
timeout_ms = 2000
"""


def main() -> int:
    """Run and print every step; return exit code 1 if a step fails."""
    try:
        with running_fleet() as fleet:
            run_steps(fleet)
    except (TimeoutError, AssertionError) as error:
        print(f"FAILED  {error}")
        return 1
    print("done    everything that was started has been stopped")
    return 0


def run_steps(fleet: Fleet) -> None:
    """Start a fleet, serve a request, change the route and check every daemon."""
    fleet.start_platform()
    print(f"step 1  platform stand-in answers on {fleet.platform}")
    for index, zone in enumerate(("pos-a", "pos-b", "pos-c"), start=1):
        fleet.start_daemon(f"vm-{index}", zone, LABELS)
    wait_until(lambda: all(is_ready(daemon) for daemon in fleet.daemons), "ready")
    print("step 2  three daemons are ready")
    fleet.start_target(fleet.daemons[1], "ledger", "--name", "ledger-1")
    fleet.start_target(fleet.daemons[2], "vault", "--name", "vault-1")
    caller = fleet.daemons[0]
    wait_until(lambda: n_targets(caller) == 2, "both targets known to vm-1")
    print("step 3  two targets announced themselves and vm-1 knows both")
    print(f"step 4  {apply(fleet, 'ledger')}")
    wait_until(
        lambda: all_have_in_force(fleet, 1), "version 1 in force on every daemon"
    )
    code, body = fetch(caller.callers, "POST", "/ledger/award", b"20 gold")
    require(
        code == 200 and b"ledger-1" in body, f"an answer from ledger-1, got {body!r}"
    )
    print(f"step 5  POST /ledger/award through vm-1: {code}, {body.decode()!r}")
    print(f"step 6  {apply(fleet, 'vault')}")
    wait_until(
        lambda: all_have_in_force(fleet, 2), "version 2 in force on every daemon"
    )
    print("step 7  all three daemons show version 2 in GET /v1/status")
    code, body = fetch(caller.callers, "POST", "/ledger/award", b"20 gold")
    require(code == 200 and b"vault-1" in body, f"an answer from vault-1, got {body!r}")
    print(f"step 8  the same request now: {code}, {body.decode()!r}")


def apply(fleet: Fleet, service: str) -> str:
    """Apply the sample intent with the command line and return its output."""
    file = fleet.folder / "intent.toml"
    file.write_text(INTENT.format(service=service))
    at = fleet.daemons[2].operators
    command = [SCRIPTS / "pepperstair", "apply", file, "--at", at]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    require(
        completed.returncode == 0,
        f"apply to exit with status 0, got: {completed.stderr}",
    )
    return completed.stdout.strip()


def is_ready(daemon: DaemonProcess) -> bool:
    """Return whether a daemon reports that it is ready."""
    return fetch(daemon.operators, "GET", "/v1/ready")[0] == 200


def n_targets(daemon: DaemonProcess) -> int:
    """Return the number of targets that a daemon knows."""
    members = status_of(daemon).get("members", [])
    return sum(len(member["targets"]) for member in members)


def all_have_in_force(fleet: Fleet, version: int) -> bool:
    """Return whether every daemon has a version of lantern in force."""
    return all(
        status_of(daemon).get("versions", {}).get("lantern") == version
        for daemon in fleet.daemons
    )


def require(is_met: bool, what: str) -> None:
    """Raise AssertionError if an expectation is not met."""
    if not is_met:
        raise AssertionError(f"expected {what}")


if __name__ == "__main__":
    sys.exit(main())
