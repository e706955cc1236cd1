"""The HTTP interface through which targets announce themselves."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass

import structlog
from result import Err, Ok, Result

from pepperstair_core.config import parse_address
from pepperstair_core.labels import is_label_name
from pepperstair_core.members import Target, TargetState, label_items
from pepperstair_core.schema import Fault, option, read_record

from .registry import TargetRegistry

log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a target says of itself."""

    address: str = option("Address and port that the target serves on.")
    labels: dict[str, str] = option("Labels, over those of the VM.", default={})
    n_slots: int = option("Requests it runs at once.", default=1, minimum=1)
    n_connections_max: int = option("Connections it takes.", default=100, minimum=1)
    state: str = option(
        "Whether it takes work.",
        default="serving",
        choices=tuple(state.value for state in TargetState),
    )


def handle_announcement(
    registry: TargetRegistry,
    vm_labels: Mapping[str, str],
    name: str,
    body: bytes,
    now_ms: int,
) -> Result[int, list[Fault]]:
    """Take an announcement and return the lease in milliseconds."""
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


def _read_announcement(name: str, body: bytes) -> Result[Announcement, list[Fault]]:
    if not is_label_name(name):
        return Err([Fault("name", f"a name, not {name!r}")])
    try:
        table = json.loads(body)
    except ValueError as error:
        return Err([Fault("body", f"JSON ({error})")])
    read = read_record(Announcement, table, "")
    if read.is_err():
        return read
    if parse_address(read.unwrap().address) is None:
        return Err([Fault("address", "an IP number and port")])
    return read


__all__ = ["Announcement", "handle_announcement"]
