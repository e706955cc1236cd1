"""Generates the settings page from the schema; `make docs` runs this module."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, Final

from ..schema import Option, OptionEntry, iter_options
from .settings import Settings

_OPENING: Final = """\
# Settings

This page lists every key of a daemon's settings. It is generated from the schema by
`make docs`, and a test checks that it is up to date.

A daemon reads one TOML file: `pepperstaird --settings FILE`. With `--check` it only
checks the file, prints one line per fault and exits with status 2 if there are any;
`pepperstair check FILE` does the same. `examples/vm-1.toml` contains what a VM needs.

The name of a key contains its unit (`_ms`, `_bytes`, `_percent`, `_per_s`) or shows
that it is a count (`n_`). Addresses consist of an IP address and a port, such as
`127.0.0.1:8000` or `[::1]:8000`. Settings are read at start-up only. An operators'
interface that does not listen on loopback requires a token; the command line takes
it from `--token` or from the environment variable `PEPPERSTAIR_TOKEN`.
"""

_HEADING: Final = """\
| Key | Type | Default | Range | Meaning |
|---|---|---|---|---|
"""


def render_reference() -> str:
    """Return the Markdown text of the settings page."""
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
        _range(entry.option),
        entry.option.doc,
    )
    return f"| {' | '.join(cells)} |\n"


def _toml(default: Any) -> str:
    return json.dumps(default)


def _range(option: Option) -> str:
    if option.text_format is not None:
        return option.text_format.expected
    limits = []
    if option.minimum is not None:
        limits.append(f"at least {option.minimum}")
    if option.maximum is not None:
        limits.append(f"at most {option.maximum}")
    return ", ".join(limits) or "any"


__all__ = ["render_reference"]


if __name__ == "__main__":
    print(render_reference(), end="")
