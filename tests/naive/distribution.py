"""The naive distribution: every proxy reads all heads and fetches whole bodies.

It is the daemon's first implementation as a plain function: slow and expensive for the
source, but simple enough to serve as the reference. The real distribution has to reach
the same final state.
"""

from __future__ import annotations

from collections.abc import Mapping

from pepperstair_core.versions import Head, Snapshot, make_snapshot


def poll(
    in_force: Mapping[str, Snapshot],
    heads: Mapping[str, Head],
    objects: Mapping[str, bytes],
) -> dict[str, Snapshot]:
    """Return the versions in force after reading every head and every newer body."""
    after = dict(in_force)
    for customer, head in heads.items():
        held = after.get(customer)
        if held is not None and held.head.version >= head.version:
            continue
        body = objects.get(head.digest)
        if body is None:
            continue
        made = make_snapshot(head, body)
        if made.is_ok():
            after[customer] = made.unwrap()
    return after
