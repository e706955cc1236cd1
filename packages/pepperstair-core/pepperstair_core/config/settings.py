"""The schema of a daemon's settings and the checks across its keys."""

from __future__ import annotations

import ipaddress
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from result import Err, Result

from ..labels import is_label_name, iter_label_faults
from ..schema import Fault, Form, option, read_document


def parse_address(text: str) -> tuple[str, int] | None:
    """Split `127.0.0.1:8000` into IP number and port, or return None."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return None
    if not port.isdecimal() or not 0 <= int(port) <= 65535:
        return None
    return host.strip("[]"), int(port)


_NAME: Final = Form("a name", is_label_name)
_ADDRESS: Final = Form(
    "an IP number and port", lambda text: parse_address(text) is not None
)
_OPTIONAL_ADDRESS: Final = Form(
    "an IP number and port, or an empty string",
    lambda text: not text or parse_address(text) is not None,
)


@dataclass(frozen=True, slots=True)
class VmSettings:
    """Where and what this VM is."""

    name: str = option("Name of the VM, unique in the fleet.", form=_NAME)
    availability_zone: str = option("Availability zone of the VM.")
    region: str = option("Region of the availability zone.", default="")
    labels: dict[str, str] = option("Labels of the proxy and its targets.", default={})
    is_first_start: bool = option(
        "Whether the whole fleet starts for the first time, so that no daemon has "
        "kept anything on the platform yet.",
        default=False,
    )


@dataclass(frozen=True, slots=True)
class CallersSettings:
    """The proxy that callers speak to."""

    address: str = option("Address and port to listen on.", form=_ADDRESS)
    n_connections_max: int = option(
        "Connections served at once; more are refused.", default=1000, minimum=1
    )
    body_max_bytes: int = option(
        "Largest request body.", default=256 * 1024 * 1024, minimum=0
    )
    header_max_bytes: int = option(
        "Largest request line and headers.", default=16_384, minimum=512
    )
    idle_timeout_ms: int = option(
        "Time after which an idle connection is closed.", default=60_000, minimum=100
    )
    n_requests_ahead_max: int = option(
        "Requests of one connection that are in progress at once.",
        default=16,
        minimum=1,
    )
    ahead_request_max_bytes: int = option(
        "Bytes of further requests that are kept for one connection.",
        default=65_536,
        minimum=1024,
    )
    ahead_answer_max_bytes: int = option(
        "Bytes of answers that wait for an earlier one before no request begins.",
        default=1_048_576,
        minimum=0,
    )


@dataclass(frozen=True, slots=True)
class OperatorsSettings:
    """The interface for operators and for the targets of this VM."""

    address: str = option("Address and port to listen on.", form=_ADDRESS)
    advertised_address: str = option(
        "Address told for reports over the fleet; empty for the listening one.",
        default="",
        form=_OPTIONAL_ADDRESS,
    )
    token: str = option(
        "Bearer token; required where the address is not loopback.", default=""
    )
    body_max_bytes: int = option(
        "Largest request body.", default=2_000_000, minimum=1024
    )


@dataclass(frozen=True, slots=True)
class PeersSettings:
    """Streams to and from other daemons."""

    address: str = option("Address and port to listen on.", form=_ADDRESS)
    advertised_address: str = option(
        "Address told to other daemons; empty for the listening one.",
        default="",
        form=_OPTIONAL_ADDRESS,
    )
    seed_addresses: tuple[str, ...] = option(
        "Daemons to join the fleet through.", default=(), form=_ADDRESS
    )
    frame_max_bytes: int = option(
        "Largest frame on a stream.", default=262_144, minimum=4096
    )
    link_mbps: float = option(
        "Pace of this VM's link; large answers leave it room for others. "
        "0 where it is not known.",
        default=0.0,
        minimum=0,
    )
    n_zone_neighbours: int = option(
        "Neighbours kept in the own availability zone; odd counts as the next even.",
        default=2,
        minimum=1,
    )
    n_remote_neighbours: int = option(
        "Neighbours kept in the whole fleet; odd counts as the next even.",
        default=2,
        minimum=1,
    )


@dataclass(frozen=True, slots=True)
class MembersSettings:
    """How fast other daemons are taken for gone, and targets' leases."""

    heartbeat_ms: int = option(
        "Time between heartbeats to a neighbour.", default=1000, minimum=20
    )
    n_heartbeats_missed: int = option(
        "Heartbeats missed until a neighbour is suspected.", default=3, minimum=1
    )
    suspicion_ms: int = option(
        "Time a suspected member has to refute.", default=3000, minimum=20
    )
    target_lease_ms: int = option(
        "Lease of a target's announcement.", default=6000, minimum=100
    )


@dataclass(frozen=True, slots=True)
class CallsSettings:
    """How calls are carried and ended."""

    default_timeout_ms: int = option(
        "Time for a call whose route and caller name none.", default=2000, minimum=1
    )
    drain_timeout_ms: int = option(
        "Time that calls in flight have after SIGTERM.", default=30_000, minimum=0
    )
    stream_heartbeat_ms: int = option(
        "Time between heartbeats on streams that carry calls; 0 for that of members.",
        default=0,
        minimum=0,
    )
    stream_silence_ms: int = option(
        "Time for which a stream on this VM's link may be silent while calls wait; "
        "at least two heartbeats.",
        default=0,
        minimum=0,
    )
    stop_notice_ms: int = option(
        "Time after SIGTERM in which callers are served as before.",
        default=0,
        minimum=0,
    )
    retry_budget_percent: int = option(
        "Retries allowed for each hundred calls.", default=10, minimum=0, maximum=100
    )
    n_remembered_runs_max: int = option(
        "Non-idempotent calls whose answer is kept for asking again.",
        default=20_000,
        minimum=1,
    )


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The platform's table service and object store."""

    address: str = option("Address and port of the platform.", form=_ADDRESS)
    timeout_ms: int = option(
        "Time after which a platform call is given up.", default=1000, minimum=10
    )
    poll_interval_ms: int = option(
        "Time between a poller's reads.", default=1000, minimum=20
    )
    requests_per_s: int = option(
        "Platform requests this daemon makes at the most.", default=50, minimum=1
    )


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Where metrics go."""

    statsd_address: str = option(
        "statsd's address; empty for none.", default="", form=_OPTIONAL_ADDRESS
    )
    interval_ms: int = option(
        "Time between two sendings of the counters.", default=1000, minimum=50
    )
    prometheus_address: str = option(
        "Address and port to serve metrics on, for Prometheus; empty for none.",
        default="",
        form=_OPTIONAL_ADDRESS,
    )


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon."""

    vm: VmSettings = option("This VM.")
    callers: CallersSettings = option("Callers.")
    operators: OperatorsSettings = option("Operators.")
    peers: PeersSettings = option("Other daemons.")
    platform: PlatformSettings = option("The platform.")
    members: MembersSettings = option("Membership.", default=MembersSettings())
    calls: CallsSettings = option("Calls.", default=CallsSettings())
    metrics: MetricsSettings = option("Metrics.", default=MetricsSettings())


def parse_settings_toml(text: str) -> Result[Settings, list[Fault]]:
    """Parse and check settings, listing every fault."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err([Fault("document", f"TOML ({error})")])
    return read_settings_table(table)


def read_settings_table(table: object) -> Result[Settings, list[Fault]]:
    """Read settings from a parsed table and check them as a whole."""
    return read_document(Settings, table, _iter_settings_faults)


def _iter_settings_faults(settings: Settings) -> Iterator[Fault]:
    yield from iter_label_faults("vm.labels", settings.vm.labels)
    yield from _iter_token_faults(settings.operators)


def _iter_token_faults(operators: OperatorsSettings) -> Iterator[Fault]:
    """Refuse an open operators' interface.

    Without a token anybody who reaches the port could change the routing of
    every customer, and nobody would notice before it happened.
    """
    parsed = parse_address(operators.address)
    if parsed is None or operators.token:
        return
    if not ipaddress.ip_address(parsed[0]).is_loopback:
        yield Fault("operators.token", "a token, as the address is not loopback")


__all__ = [
    "CallersSettings",
    "CallsSettings",
    "MembersSettings",
    "MetricsSettings",
    "OperatorsSettings",
    "PeersSettings",
    "PlatformSettings",
    "Settings",
    "VmSettings",
    "parse_address",
    "parse_settings_toml",
    "read_settings_table",
]
