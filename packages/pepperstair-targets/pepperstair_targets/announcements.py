"""Parse the announcements that targets send over HTTP and register the targets."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated

import structlog
from msgspec import Struct
from result import Err, Ok, Result

from pepperstair_core.config import parse_address
from pepperstair_core.json_text import parse_json
from pepperstair_core.labels import is_label_name
from pepperstair_core.members import Target, TargetState, label_items
from pepperstair_core.schema import Fault, Option, read_record

from .registry import TargetRegistry

log = structlog.get_logger(__name__)


class AnnouncementBody(Struct, frozen=True):
    """The JSON body of a target's announcement."""

    address: Annotated[str, Option("Address and port that the target serves on.")]
    labels: Annotated[
        dict[str, str], Option("Labels, which override those of the VM.")
    ] = {}
    n_slots: Annotated[
        int, Option("Number of requests that it runs concurrently.", minimum=1)
    ] = 1
    n_connections_max: Annotated[
        int, Option("Maximum number of connections.", minimum=1)
    ] = 100
    state: Annotated[
        str,
        Option(
            "Whether it accepts requests.",
            choices=tuple(state.value for state in TargetState),
        ),
    ] = "serving"


def handle_announcement(
    registry: TargetRegistry,
    vm_labels: Mapping[str, str],
    name: str,
    body: bytes,
    now_ms: int,
) -> Result[int, list[Fault]]:
    """Register an announced target and return its lease in milliseconds."""
    read = _read_announcement(name, body)
    if read.is_err():
        return read
    announcement = read.unwrap()
    target = Target(
        name,
        announcement.address,
        label_items({**vm_labels, **announcement.labels}),
        announcement.n_slots,
        announcement.n_connections_max,
        TargetState(announcement.state),
    )
    registry.announce(target, now_ms)
    return Ok(registry.lease_ms)


def _read_announcement(name: str, body: bytes) -> Result[AnnouncementBody, list[Fault]]:
    if not is_label_name(name):
        return Err([Fault("name", f"a name, not {name!r}")])
    try:
        table = parse_json(body)
    except ValueError as error:
        return Err([Fault("body", f"JSON ({error})")])
    read = read_record(AnnouncementBody, table, "")
    if read.is_err():
        return read
    if parse_address(read.unwrap().address) is None:
        return Err([Fault("address", "an IP address and port")])
    return read


__all__ = ["AnnouncementBody", "handle_announcement"]
