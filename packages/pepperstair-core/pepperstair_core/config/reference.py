"""Writes the page of settings from the schema: `make docs` calls it."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, Final

from ..schema import Option, OptionEntry, iter_options
from .settings import Settings

_OPENING: Final = """\
# Settings

This page lists every key of a daemon's settings. It is written from the schema by
`make docs`; a test holds the two together.

A daemon reads one TOML file: `pepperstaird --settings FILE`. With `--check` it only
checks the file, prints one line for each fault and exits 2 where there is any;
`pepperstair check FILE` does the same. `examples/vm-1.toml` has what a VM needs.

A key's name says its unit (`_ms`, `_bytes`, `_percent`, `_per_s`) or that it is a
count (`n_`). Addresses are an IP number and a port, such as `127.0.0.1:8000` or
`[::1]:8000`. Settings are read at the start only. An operators' interface that is
not on loopback needs a token; the command line takes it from `--token` or from the
environment variable `PEPPERSTAIR_TOKEN`.
"""

_HEADING: Final = """\
| Key | Type | Default | Range | Meaning |
|---|---|---|---|---|
"""


def render_reference() -> str:
    """Return the whole page."""
    return "".join(_iter_parts())


def _iter_parts() -> Iterator[str]:
    yield _OPENING
    table = ""
    for entry in iter_options(Settings):
        name = entry.name.partition(".")[0]
        if name != table:
            table = name
            yield f"\n## [{table}]\n\n{_HEADING}"
        yield _row(entry)


def _row(entry: OptionEntry) -> str:
    default = "required" if entry.is_required else f"`{_toml(entry.default)}`"
    cells = (
        f"`{entry.name}`",
        entry.type_name,
        default,
        _range(entry.declared),
        entry.declared.doc,
    )
    return f"| {' | '.join(cells)} |\n"


def _toml(default: Any) -> str:
    return json.dumps(default)


def _range(declared: Option) -> str:
    if declared.form is not None:
        return declared.form.expected
    limits = []
    if declared.minimum is not None:
        limits.append(f"at least {declared.minimum}")
    if declared.maximum is not None:
        limits.append(f"at most {declared.maximum}")
    return ", ".join(limits) or "any"


__all__ = ["render_reference"]


if __name__ == "__main__":
    print(render_reference(), end="")
