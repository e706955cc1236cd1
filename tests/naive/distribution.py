"""The naive distribution: every proxy reads all heads and fetches whole bodies.

It is what the daemon did at first, as a plain function. Slow and costly for the
source, but simple enough to be right: the real one has to end in its state.
"""

from __future__ import annotations

from collections.abc import Mapping

from pepperstair_core.versions import Head, Snapshot, make_snapshot


def poll(
    in_force: Mapping[str, Snapshot],
    heads: Mapping[str, Head],
    objects: Mapping[str, bytes],
) -> dict[str, Snapshot]:
    """Return what is in force after reading every head and every newer body."""
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
