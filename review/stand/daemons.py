"""Daemon processes, started as the deploy file says, with its template of settings."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
_PLACEHOLDER = re.compile(r"{{([\w.]+|@)(\|json)?}}")
_SECTION = re.compile(r"{{#(\w+)}}(.*?){{/\1}}", re.DOTALL)


def free_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_hosts(n_hosts: int) -> list[str]:
    """Return loopback addresses at which the fixed port of the metrics is free."""
    found = []
    for index in range(1, 65_000):
        host = f"127.{77 + index // 8_000}.{os.getpid() % 250}.{index % 250 + 1}"
        with socket.socket() as probe:
            try:
                probe.bind((host, 9464))
            except OSError:
                continue
        if host not in found:
            found.append(host)
        if len(found) == n_hosts:
            return found
    raise OSError("no free loopback address")


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill a template in as DEPLOY.md says, as far as the project's one needs it."""

    def section(match: re.Match[str]) -> str:
        entries = fields[match[1]].items()
        return "".join(_fill(match[2], {"@": k, ".": v}) for k, v in entries)

    return _fill(_SECTION.sub(section, template), fields)


def _fill(text: str, fields: dict[str, Any]) -> str:
    text = text.replace("{{.|json}}", json.dumps(fields.get(".")))

    def value(match: re.Match[str]) -> str:
        found = fields.get(match[1], "")
        if match[2] or isinstance(found, bool):
            return json.dumps(found)
        return str(found)

    return _PLACEHOLDER.sub(value, text)


class Daemon:
    """One machine's daemon process."""

    def __init__(
        self,
        name: str,
        zone: str,
        service: str,
        host: str,
        bounds: dict[str, Any],
        folder: Path,
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        # The address that other daemons dial, if it isn't the daemon's own.
        self.advertised = ""
        self.fields: dict[str, Any] = {
            "node": name,
            "zone": zone,
            "region": "pos",
            "service": service,
            "ip": host,
            "bootstrap": True,
            "limits.link_mbps": 1000.0,
            "heartbeat_ms": 1500,
            "bounds": bounds,
            "port_range.0": free_port(host),
            "port_range.1": free_port("127.0.0.1"),
            **{
                f"listen.{each}": f"{host}:{free_port(host)}"
                for each in ("inbound", "outbound", "ready", "control_plane")
            },
        }

    @property
    def peers(self) -> str:
        """Return the address at which the daemon listens for other daemons."""
        return f"{self.host}:{self.fields['port_range.0']}"

    @property
    def outbound(self) -> str:
        """Return the address of clients."""
        return self.fields["listen.outbound"]

    @property
    def ready(self) -> str:
        """Return the address of readiness probes."""
        return self.fields["listen.ready"]

    @property
    def control_plane(self) -> str:
        """Return the address of heartbeats."""
        return self.fields["listen.control_plane"]

    def start(self, store: str, app: str) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["daemon"]
        fields = {**self.fields, "platform.address": store, "app_addr": app}
        text = render((ROOT / role["template"]).read_text(), fields)
        if self.advertised:
            own = f'address = "{self.peers}"'
            text = text.replace(own, f'{own}\nadvertised_address = "{self.advertised}"')
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(text)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PEPPERSTAIR_BOOT": str(settings),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()
