"""The cost of a version of the operators' document on the users' platform.

`python -m benchmarks.document` prints the size of documents, raw and compressed, and
the processor time to read one in full, to read the next one incrementally, and to
compile its routes.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

from pepperstair_adapter.documents import make_document_reader, read_document
from pepperstair_core.routing import compile_routes
from pepperstair_core.versions import Head, Snapshot
from pepperstair_core.wire import compress
from tests.adapter.documents import document, rule

_N_REPEATS = 7


def main() -> None:
    """Print one line for each number of routes."""
    for n_routes in (300, 1_600, 3_000):
        _measure(n_routes)


def _measure(n_routes: int) -> None:
    rng = random.Random(1)
    names = [f"{rng.randrange(36**6):x}" for _ in range(n_routes)]
    rules = [rule(f"r-{name}", f"/{name}/", "ledger") for name in names]
    first = document(7, *rules)
    changed = rule("r-new", "/new/", "vault")
    second = document(8, *rules[:-1], changed)
    reader = make_document_reader()
    intent = reader(first).unwrap().intent
    head = Head("platform", 7, "", 0, "", "")
    snapshot = Snapshot(head, first, intent)
    full_read_ms = _time_ms(lambda: read_document(second))
    incremental_read_ms = _time_ms(lambda: reader(second))
    compile_ms = _time_ms(lambda: compile_routes((snapshot,), {"service": "vault"}))
    print(
        f"{n_routes} routes: {len(first)} bytes, compressed {len(compress(first))};"
        f" full read {full_read_ms:.1f} ms,"
        f" incremental read {incremental_read_ms:.1f} ms, compile {compile_ms:.1f} ms"
    )


def _time_ms(work: Callable[[], Any]) -> float:
    """Return the minimum processor time of a few runs, in ms."""
    times = []
    for _ in range(_N_REPEATS):
        before_s = time.process_time()
        work()
        times.append(time.process_time() - before_s)
    return 1000 * min(times)


if __name__ == "__main__":
    main()
