"""The schema of a daemon's settings and the validation across keys."""

from __future__ import annotations

import ipaddress
import tomllib
from collections.abc import Iterator
from typing import Annotated, Final

from msgspec import Struct
from result import Err, Result

from ..labels import is_label_name, iter_label_faults
from ..schema import Fault, Option, TextFormat, read_document


def parse_address(text: str) -> tuple[str, int] | None:
    """Split `127.0.0.1:8000` into IP address and port, or return None."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return None
    if not port.isdecimal() or not 0 <= int(port) <= 65535:
        return None
    return host.strip("[]"), int(port)


_NAME: Final = TextFormat("a name", is_label_name)
_ADDRESS: Final = TextFormat(
    "an IP address and port", lambda text: parse_address(text) is not None
)
_OPTIONAL_ADDRESS: Final = TextFormat(
    "an IP address and port, or an empty string",
    lambda text: not text or parse_address(text) is not None,
)


class VmSettings(Struct, frozen=True):
    """Identity and location of this VM."""

    name: Annotated[
        str, Option("Name of the VM, unique in the fleet.", text_format=_NAME)
    ]
    availability_zone: Annotated[str, Option("Availability zone of the VM.")]
    region: Annotated[str, Option("Region of the availability zone.")] = ""
    labels: Annotated[
        dict[str, str], Option("Labels of the proxy and its targets.")
    ] = {}
    is_first_start: Annotated[
        bool,
        Option(
            "Whether the whole fleet starts for the first time, so that no daemon has "
            "stored anything on the platform yet."
        ),
    ] = False


class CallersSettings(Struct, frozen=True):
    """The proxy that callers connect to."""

    address: Annotated[
        str, Option("Address and port to listen on.", text_format=_ADDRESS)
    ]
    n_connections_max: Annotated[
        int, Option("Simultaneous connections; further ones are refused.", minimum=1)
    ] = 1000
    body_max_bytes: Annotated[
        int, Option("Maximum size of a request body.", minimum=0)
    ] = 256 * 1024 * 1024
    header_max_bytes: Annotated[
        int, Option("Maximum size of request line and headers.", minimum=512)
    ] = 16_384
    idle_timeout_ms: Annotated[
        int, Option("Time after which an idle connection is closed.", minimum=100)
    ] = 60_000
    n_requests_ahead_max: Annotated[
        int,
        Option("Pipelined requests of one connection in progress at once.", minimum=1),
    ] = 16
    ahead_request_max_bytes: Annotated[
        int,
        Option(
            "Size of further pipelined requests buffered for one connection.",
            minimum=1024,
        ),
    ] = 65_536
    ahead_answer_max_bytes: Annotated[
        int,
        Option(
            "Size of answers waiting for an earlier one, above which no further "
            "request of the connection is started.",
            minimum=0,
        ),
    ] = 1_048_576


class OperatorsSettings(Struct, frozen=True):
    """The interface for operators and for the targets of this VM."""

    address: Annotated[
        str, Option("Address and port to listen on.", text_format=_ADDRESS)
    ]
    advertised_address: Annotated[
        str,
        Option(
            "Address advertised for fleet-wide reports; empty for that of `address`.",
            text_format=_OPTIONAL_ADDRESS,
        ),
    ] = ""
    token: Annotated[
        str, Option("Bearer token; required if the address is not loopback.")
    ] = ""
    body_max_bytes: Annotated[
        int, Option("Maximum size of a request body.", minimum=1024)
    ] = 2_000_000


class PeersSettings(Struct, frozen=True):
    """Connections to and from other daemons."""

    address: Annotated[
        str, Option("Address and port to listen on.", text_format=_ADDRESS)
    ]
    advertised_address: Annotated[
        str,
        Option(
            "Address advertised to other daemons; empty for that of `address`.",
            text_format=_OPTIONAL_ADDRESS,
        ),
    ] = ""
    seed_addresses: Annotated[
        tuple[str, ...],
        Option("Daemons through which to join the fleet.", text_format=_ADDRESS),
    ] = ()
    frame_max_bytes: Annotated[
        int, Option("Maximum size of a frame on a stream.", minimum=4096)
    ] = 262_144
    link_mbps: Annotated[
        float,
        Option(
            "Bandwidth of this VM's link, used to pace large answers so that they "
            "leave room for others; 0 if unknown.",
            minimum=0,
        ),
    ] = 0.0
    n_zone_neighbours: Annotated[
        int,
        Option(
            "Neighbours in the own availability zone; an odd number is rounded up to "
            "the next even one.",
            minimum=1,
        ),
    ] = 2
    n_remote_neighbours: Annotated[
        int,
        Option(
            "Neighbours in the whole fleet; an odd number is rounded up to the next "
            "even one.",
            minimum=1,
        ),
    ] = 2


class MembersSettings(Struct, frozen=True):
    """Failure detection of other daemons, and the lease of targets."""

    heartbeat_ms: Annotated[
        int, Option("Time between heartbeats to a neighbour.", minimum=20)
    ] = 1000
    n_heartbeats_missed: Annotated[
        int, Option("Missed heartbeats before a neighbour is suspected.", minimum=1)
    ] = 3
    suspicion_ms: Annotated[
        int, Option("Time a suspected member has to refute the suspicion.", minimum=20)
    ] = 3000
    target_lease_ms: Annotated[
        int, Option("Lease duration of a target's announcement.", minimum=100)
    ] = 6000


class CallsSettings(Struct, frozen=True):
    """Forwarding, time limits and retries of calls."""

    default_timeout_ms: Annotated[
        int, Option("Timeout of a call if route and caller set none.", minimum=1)
    ] = 2000
    drain_timeout_ms: Annotated[
        int, Option("Time for calls in flight to finish after SIGTERM.", minimum=0)
    ] = 30_000
    stream_heartbeat_ms: Annotated[
        int,
        Option(
            "Time between heartbeats on streams that carry calls; 0 for "
            "`members.heartbeat_ms`.",
            minimum=0,
        ),
    ] = 0
    stream_silence_ms: Annotated[
        int,
        Option(
            "Time without data after which a stream over this VM's link is considered "
            "lost while calls are pending; at least two heartbeat intervals.",
            minimum=0,
        ),
    ] = 0
    stop_notice_ms: Annotated[
        int,
        Option(
            "Time after SIGTERM before draining starts, in which calls are served as "
            "usual.",
            minimum=0,
        ),
    ] = 0
    retry_budget_percent: Annotated[
        int, Option("Retries allowed per hundred calls.", minimum=0, maximum=100)
    ] = 10
    n_remembered_runs_max: Annotated[
        int,
        Option(
            "Non-idempotent calls whose answer is kept, so that the caller's daemon "
            "can look it up after it has lost the stream.",
            minimum=1,
        ),
    ] = 20_000


class PlatformSettings(Struct, frozen=True):
    """Access to the platform's table service and object store."""

    address: Annotated[
        str, Option("Address and port of the platform.", text_format=_ADDRESS)
    ]
    timeout_ms: Annotated[
        int, Option("Timeout of a request to the platform.", minimum=10)
    ] = 1000
    poll_interval_ms: Annotated[
        int, Option("Time between two reads of a poller.", minimum=20)
    ] = 1000
    requests_per_s: Annotated[
        int, Option("Maximum rate of this daemon's platform requests.", minimum=1)
    ] = 50


class AccountsSettings(Struct, frozen=True):
    """Authorization of client accounts at a daemon that may be out of date."""

    proof_age_max_ms: Annotated[
        int,
        Option(
            "Age of the last proof that the configuration is the newest, above which "
            "requests with a key are refused as not run; 0 for no limit.",
            minimum=0,
        ),
    ] = 0
    unknown_key_age_max_ms: Annotated[
        int,
        Option(
            "Age of the last proof above which an unknown key is answered with "
            "`not_ready` instead of `unauthorized`; 0 for no limit.",
            minimum=0,
        ),
    ] = 0


class QuotasSettings(Struct, frozen=True):
    """Limits on how far the fleet may exceed the quota of a client account."""

    window_ms: Annotated[
        int, Option("Window over which a quota is kept.", minimum=100)
    ] = 5000
    overage_percent: Annotated[
        float, Option("Share by which a window may exceed the quota.", minimum=0)
    ] = 10.0
    n_slack: Annotated[
        int, Option("Requests by which a window may exceed the quota.", minimum=0)
    ] = 20


class RolloutsSettings(Struct, frozen=True):
    """Limits on the exposure of callers to a new version of a service."""

    exposure_percent: Annotated[
        float,
        Option(
            "Share of a service's requests that a bad version may get, over the "
            "fleet; 0 if versions of targets are ignored.",
            minimum=0,
            maximum=100,
        ),
    ] = 0.0
    n_exposed_extra: Annotated[
        int,
        Option(
            "Requests that a bad version may get in addition to its share.", minimum=0
        ),
    ] = 0
    rollback_ms: Annotated[
        int,
        Option("Time within which a bad version gets no more requests.", minimum=100),
    ] = 5000

    @property
    def is_enabled(self) -> bool:
        """Return whether versions of targets are distinguished."""
        return self.exposure_percent > 0.0


class MetricsSettings(Struct, frozen=True):
    """Export of metrics."""

    statsd_address: Annotated[
        str, Option("Address of statsd; empty for none.", text_format=_OPTIONAL_ADDRESS)
    ] = ""
    interval_ms: Annotated[
        int, Option("Time between two transmissions of the counters.", minimum=50)
    ] = 1000
    prometheus_address: Annotated[
        str,
        Option(
            "Address and port to serve metrics on, for Prometheus; empty for none.",
            text_format=_OPTIONAL_ADDRESS,
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
    accounts: Annotated[AccountsSettings, Option("Client accounts.")] = (
        AccountsSettings()
    )
    quotas: Annotated[QuotasSettings, Option("Quotas.")] = QuotasSettings()
    rollouts: Annotated[RolloutsSettings, Option("Roll-outs.")] = RolloutsSettings()


def parse_settings_toml(text: str) -> Result[Settings, list[Fault]]:
    """Parse and validate settings, or return every fault."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err([Fault("document", f"valid TOML ({error})")])
    return read_settings_table(table)


def read_settings_table(table: object) -> Result[Settings, list[Fault]]:
    """Read and validate settings from a parsed table, or return every fault."""
    return read_document(Settings, table, _iter_settings_faults)


def _iter_settings_faults(settings: Settings) -> Iterator[Fault]:
    yield from iter_label_faults("vm.labels", settings.vm.labels)
    yield from _iter_token_faults(settings.operators)


def _iter_token_faults(operators: OperatorsSettings) -> Iterator[Fault]:
    """Yield a fault if the operators' interface is open to other hosts without a token.

    Without a token, anybody who reaches the port could change the routing of every
    customer, and nobody would notice before it happened.
    """
    parsed = parse_address(operators.address)
    if parsed is None or operators.token:
        return
    if not ipaddress.ip_address(parsed[0]).is_loopback:
        yield Fault("operators.token", "a token, as the address is not loopback")


__all__ = [
    "AccountsSettings",
    "CallersSettings",
    "CallsSettings",
    "MembersSettings",
    "MetricsSettings",
    "OperatorsSettings",
    "PeersSettings",
    "PlatformSettings",
    "QuotasSettings",
    "RolloutsSettings",
    "Settings",
    "VmSettings",
    "parse_address",
    "parse_settings_toml",
    "read_settings_table",
]
