"""Versions of a customer's configuration: snapshots, heads and deltas.

A snapshot is the canonical msgpack encoding of an intent. Its digest is its key in
the object store and proves, after a delta was applied, that the result is the
accepted version.
"""

from __future__ import annotations

import hashlib
from typing import Any, Final

import msgpack
from msgspec import Struct
from msgspec.structs import replace
from result import Err, Ok, Result

from .array_record import ArrayRecord
from .intent import (
    Intent,
    LabelOverride,
    Policy,
    Route,
    Service,
    intent_to_table,
    iter_intent_faults,
    read_intent,
)
from .schema import Fault, read_record

DIGEST_BYTES: Final = 16
_LIST_KEYS: Final = {
    "services": "name",
    "routes": "name",
    "policies": "name",
    "label_overrides": "workload",
}
_RECORDS: Final = {
    "services": Service,
    "routes": Route,
    "policies": Policy,
    "label_overrides": LabelOverride,
}


class Head(ArrayRecord):
    """The newest accepted version of one customer.

    `accepted_at_ms` is the accepting daemon's wall-clock time. It is used only to
    report convergence times: no decision depends on it.
    """

    customer: str
    version: int
    digest: str
    accepted_at_ms: int
    accepted_by: str
    change_id: str


class Snapshot(Struct, frozen=True):
    """One complete, immutable version of a customer's configuration."""

    head: Head
    body: bytes
    intent: Intent


class Delta(ArrayRecord):
    """The difference between two versions of one customer.

    It applies to `base_version` only; `head.digest` is the digest of the result.
    """

    base_version: int
    head: Head
    patch: bytes


def encode_intent(intent: Intent) -> bytes:
    """Return the canonical encoding of an intent: equal intents give equal bytes."""
    return msgpack.packb(_with_sorted_keys(intent_to_table(intent)), use_bin_type=True)


def digest_of(body: bytes) -> str:
    """Return the digest that identifies a snapshot's body."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def make_snapshot(head: Head, body: bytes) -> Result[Snapshot, list[Fault]]:
    """Verify a body against its head's digest and parse it.

    A body that does not match or can't be parsed is rejected as a whole, and its
    faults are returned.
    """
    if digest_of(body) != head.digest:
        return Err([Fault(head.customer, f"a body with digest {head.digest}")])
    try:
        table = msgpack.unpackb(body, raw=False)
    except (ValueError, msgpack.UnpackException) as error:
        return Err([Fault(head.customer, f"a msgpack body ({error})")])
    read = read_intent(table)
    if read.is_err():
        return Err(read.unwrap_err())
    return Ok(Snapshot(head, body, read.unwrap()))


def make_delta(base: Snapshot, target: Snapshot) -> Delta:
    """Return the delta from one version to a later one."""
    old = msgpack.unpackb(base.body, raw=False)
    new = msgpack.unpackb(target.body, raw=False)
    patch: dict[str, Any] = {}
    for key, value in new.items():
        if key not in _LIST_KEYS:
            if old.get(key) != value:
                patch[key] = value
            continue
        changed = _list_patch(old[key], value, _LIST_KEYS[key])
        if changed:
            patch[key] = changed
    packed = msgpack.packb(patch, use_bin_type=True)
    return Delta(base.head.version, target.head, packed)


def apply_delta(base: Snapshot, delta: Delta) -> Result[Snapshot, list[Fault]]:
    """Return the snapshot that a delta leads to, or the faults of the delta.

    Only the records that the delta sets are parsed: parsing a whole document of 2000
    routes at every change would block the event loop for longer than the time in which
    a call has to be answered.
    The result is still validated as a whole.
    """
    head = delta.head
    if base.head.version != delta.base_version:
        wanted = f"base version {delta.base_version}, not {base.head.version}"
        return Err([Fault(head.customer, wanted)])
    table = msgpack.unpackb(base.body, raw=False)
    try:
        patch = msgpack.unpackb(delta.patch, raw=False)
        for key, value in patch.items():
            if key in _LIST_KEYS:
                table[key] = _patched_list(table[key], value, _LIST_KEYS[key])
            else:
                table[key] = value
        in_order = {key: table[key] for key in sorted(table)}
        body = msgpack.packb(in_order, use_bin_type=True)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Err([Fault(head.customer, f"a well-formed delta ({error!r})")])
    if digest_of(body) != head.digest:
        return Err([Fault(head.customer, f"a body with digest {head.digest}")])
    if not patch.keys() <= _LIST_KEYS.keys():
        return make_snapshot(head, body)
    read = _patched_intent(base.intent, in_order, patch)
    return read.map(lambda intent: Snapshot(head, body, intent))


def _patched_intent(
    base: Intent, table: dict[str, Any], patch: dict[str, Any]
) -> Result[Intent, list[Fault]]:
    """Parse the records that a patch sets, and keep the unchanged ones."""
    changed: dict[str, tuple[Any, ...]] = {}
    for key, value in patch.items():
        name = _LIST_KEYS[key]
        records = {getattr(record, name): record for record in getattr(base, key)}
        for item in value["set"]:
            read = read_record(_RECORDS[key], item, key)
            if read.is_err():
                return Err(read.unwrap_err())
            records[item[name]] = read.unwrap()
        changed[key] = tuple(records[item[name]] for item in table[key])
    intent = replace(base, **changed)
    faults = list(iter_intent_faults(intent))
    return Err(faults) if faults else Ok(intent)


def _list_patch(old: list, new: list, key: str) -> dict[str, Any]:
    """Return the patch from an old list of items to a new one.

    It contains the items to set, the names to remove, and the order of the names if the
    order changed.
    """
    if old == new:
        return {}
    before = {item[key]: item for item in old}
    patch: dict[str, Any] = {
        "set": [item for item in new if before.get(item[key]) != item]
    }
    removed = sorted(before.keys() - {item[key] for item in new})
    if removed:
        patch["gone"] = removed
    order = [item[key] for item in new]
    if order != [item[key] for item in _patched_list(old, patch, key)]:
        patch["order"] = order
    return patch


def _patched_list(old: list, patch: dict[str, Any], key: str) -> list:
    items = {item[key]: item for item in old}
    for name in patch.get("gone", ()):
        items.pop(name, None)
    for item in patch["set"]:
        items[item[key]] = item
    order = patch.get("order", items)
    return [items[name] for name in order]


def _with_sorted_keys(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _with_sorted_keys(value[key]) for key in sorted(value)}
    if isinstance(value, list):
        return [_with_sorted_keys(item) for item in value]
    return value


__all__ = [
    "Delta",
    "Head",
    "Snapshot",
    "apply_delta",
    "digest_of",
    "encode_intent",
    "make_delta",
    "make_snapshot",
]
