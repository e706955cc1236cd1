"""The schema of a daemon's settings and the checks across its keys."""

from __future__ import annotations

import ipaddress
import tomllib
from collections.abc import Iterator
from typing import Annotated, Final

from msgspec import Struct
from result import Err, Result

from ..labels import is_label_name, iter_label_faults
from ..schema import Fault, Form, Option, read_document


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


class VmSettings(Struct, frozen=True):
    """Where and what this VM is."""

    name: Annotated[str, Option("Name of the VM, unique in the fleet.", form=_NAME)]
    availability_zone: Annotated[str, Option("Availability zone of the VM.")]
    region: Annotated[str, Option("Region of the availability zone.")] = ""
    labels: Annotated[
        dict[str, str], Option("Labels of the proxy and its targets.")
    ] = {}
    is_first_start: Annotated[
        bool,
        Option(
            "Whether the whole fleet starts for the first time, so that no daemon has "
            "kept anything on the platform yet."
        ),
    ] = False


class CallersSettings(Struct, frozen=True):
    """The proxy that callers speak to."""

    address: Annotated[str, Option("Address and port to listen on.", form=_ADDRESS)]
    n_connections_max: Annotated[
        int, Option("Connections served at once; more are refused.", minimum=1)
    ] = 1000
    body_max_bytes: Annotated[int, Option("Largest request body.", minimum=0)] = (
        256 * 1024 * 1024
    )
    header_max_bytes: Annotated[
        int, Option("Largest request line and headers.", minimum=512)
    ] = 16_384
    idle_timeout_ms: Annotated[
        int, Option("Time after which an idle connection is closed.", minimum=100)
    ] = 60_000
    n_requests_ahead_max: Annotated[
        int,
        Option("Requests of one connection that are in progress at once.", minimum=1),
    ] = 16
    ahead_request_max_bytes: Annotated[
        int,
        Option(
            "Bytes of further requests that are kept for one connection.", minimum=1024
        ),
    ] = 65_536
    ahead_answer_max_bytes: Annotated[
        int,
        Option(
            "Bytes of answers that wait for an earlier one before no request begins.",
            minimum=0,
        ),
    ] = 1_048_576


class OperatorsSettings(Struct, frozen=True):
    """The interface for operators and for the targets of this VM."""

    address: Annotated[str, Option("Address and port to listen on.", form=_ADDRESS)]
    advertised_address: Annotated[
        str,
        Option(
            "Address told for reports over the fleet; empty for the listening one.",
            form=_OPTIONAL_ADDRESS,
        ),
    ] = ""
    token: Annotated[
        str, Option("Bearer token; required where the address is not loopback.")
    ] = ""
    body_max_bytes: Annotated[int, Option("Largest request body.", minimum=1024)] = (
        2_000_000
    )


class PeersSettings(Struct, frozen=True):
    """Streams to and from other daemons."""

    address: Annotated[str, Option("Address and port to listen on.", form=_ADDRESS)]
    advertised_address: Annotated[
        str,
        Option(
            "Address told to other daemons; empty for the listening one.",
            form=_OPTIONAL_ADDRESS,
        ),
    ] = ""
    seed_addresses: Annotated[
        tuple[str, ...], Option("Daemons to join the fleet through.", form=_ADDRESS)
    ] = ()
    frame_max_bytes: Annotated[
        int, Option("Largest frame on a stream.", minimum=4096)
    ] = 262_144
    link_mbps: Annotated[
        float,
        Option(
            "Pace of this VM's link; large answers leave it room for others. "
            "0 where it is not known.",
            minimum=0,
        ),
    ] = 0.0
    n_zone_neighbours: Annotated[
        int,
        Option(
            "Neighbours kept in the own availability zone; odd counts as the next "
            "even.",
            minimum=1,
        ),
    ] = 2
    n_remote_neighbours: Annotated[
        int,
        Option(
            "Neighbours kept in the whole fleet; odd counts as the next even.",
            minimum=1,
        ),
    ] = 2


class MembersSettings(Struct, frozen=True):
    """How fast other daemons are taken for gone, and targets' leases."""

    heartbeat_ms: Annotated[
        int, Option("Time between heartbeats to a neighbour.", minimum=20)
    ] = 1000
    n_heartbeats_missed: Annotated[
        int, Option("Heartbeats missed until a neighbour is suspected.", minimum=1)
    ] = 3
    suspicion_ms: Annotated[
        int, Option("Time a suspected member has to refute.", minimum=20)
    ] = 3000
    target_lease_ms: Annotated[
        int, Option("Lease of a target's announcement.", minimum=100)
    ] = 6000


class CallsSettings(Struct, frozen=True):
    """How calls are carried and ended."""

    default_timeout_ms: Annotated[
        int, Option("Time for a call whose route and caller name none.", minimum=1)
    ] = 2000
    drain_timeout_ms: Annotated[
        int, Option("Time that calls in flight have after SIGTERM.", minimum=0)
    ] = 30_000
    stream_heartbeat_ms: Annotated[
        int,
        Option(
            "Time between heartbeats on streams that carry calls; 0 for that of "
            "members.",
            minimum=0,
        ),
    ] = 0
    stream_silence_ms: Annotated[
        int,
        Option(
            "Time for which a stream on this VM's link may be silent while calls wait; "
            "at least two heartbeats.",
            minimum=0,
        ),
    ] = 0
    stop_notice_ms: Annotated[
        int,
        Option("Time after SIGTERM in which callers are served as before.", minimum=0),
    ] = 0
    retry_budget_percent: Annotated[
        int, Option("Retries allowed for each hundred calls.", minimum=0, maximum=100)
    ] = 10
    n_remembered_runs_max: Annotated[
        int,
        Option(
            "Non-idempotent calls whose answer is kept for asking again.", minimum=1
        ),
    ] = 20_000


class PlatformSettings(Struct, frozen=True):
    """The platform's table service and object store."""

    address: Annotated[str, Option("Address and port of the platform.", form=_ADDRESS)]
    timeout_ms: Annotated[
        int, Option("Time after which a platform call is given up.", minimum=10)
    ] = 1000
    poll_interval_ms: Annotated[
        int, Option("Time between a poller's reads.", minimum=20)
    ] = 1000
    requests_per_s: Annotated[
        int, Option("Platform requests this daemon makes at the most.", minimum=1)
    ] = 50


class MetricsSettings(Struct, frozen=True):
    """Where metrics go."""

    statsd_address: Annotated[
        str, Option("statsd's address; empty for none.", form=_OPTIONAL_ADDRESS)
    ] = ""
    interval_ms: Annotated[
        int, Option("Time between two sendings of the counters.", minimum=50)
    ] = 1000
    prometheus_address: Annotated[
        str,
        Option(
            "Address and port to serve metrics on, for Prometheus; empty for none.",
            form=_OPTIONAL_ADDRESS,
        ),
    ] = ""


class Settings(Struct, frozen=True):
    """All settings of one daemon."""

    vm: Annotated[VmSettings, Option("This VM.")]
    callers: Annotated[CallersSettings, Option("Callers.")]
    operators: Annotated[OperatorsSettings, Option("Operators.")]
    peers: Annotated[PeersSettings, Option("Other daemons.")]
    platform: Annotated[PlatformSettings, Option("The platform.")]
    members: Annotated[MembersSettings, Option("Membership.")] = MembersSettings()
    calls: Annotated[CallsSettings, Option("Calls.")] = CallsSettings()
    metrics: Annotated[MetricsSettings, Option("Metrics.")] = MetricsSettings()


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
