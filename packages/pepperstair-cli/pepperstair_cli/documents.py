"""Intent documents as files, as TOML text and as a daemon holds them."""

from __future__ import annotations

from dataclasses import dataclass
from importlib.metadata import entry_points
from typing import TYPE_CHECKING, Final

import tomli_w
from result import Ok, Result

from pepperstair_core.errors import ErrorKind
from pepperstair_core.following import DocumentReader
from pepperstair_core.intent import (
    Intent,
    intent_to_table,
    parse_intent_toml,
    read_intent,
)

from .asking import ask, path_of
from .output import refuse_faults, refuse_input

if TYPE_CHECKING:
    from pathlib import Path

    from .connection import Connection
    from .output import Refusal


# Packages that know the documents of a platform name their reader in this group.
READERS_GROUP: Final = "pepperstair.document_readers"
_FOREIGN_SUFFIX: Final = ".json"


@dataclass(frozen=True, slots=True)
class HeldIntent:
    """A customer's intent in force at a daemon; version 0 is none yet."""

    version: int
    intent: Intent


def read_text(file: Path) -> Result[str, Refusal]:
    """Read a text file; an unreadable one is bad input."""
    try:
        return Ok(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return refuse_input(f"{file}: expected a readable TOML file ({error})")


def is_foreign(file: Path) -> bool:
    """Return whether a file holds a document in the form of a platform."""
    return file.suffix == _FOREIGN_SUFFIX


def read_intent_file(file: Path) -> Result[Intent, Refusal]:
    """Read an intent document, or name every fault in it.

    A JSON file is one in the form of the platform that the daemons run on.
    """
    text = read_text(file)
    if text.is_err():
        return text
    if is_foreign(file):
        return _read_foreign(file, text.unwrap().encode())
    parsed = parse_intent_toml(text.unwrap())
    if parsed.is_err():
        return refuse_faults(str(file), parsed.unwrap_err())
    return Ok(parsed.unwrap())


def _read_foreign(file: Path, data: bytes) -> Result[Intent, Refusal]:
    """Read a platform's document with the first reader that is installed."""
    found = next(iter(entry_points(group=READERS_GROUP)), None)
    if found is None:
        return refuse_input(f"{file}: no reader of such documents is installed")
    reader: DocumentReader = found.load()
    read = reader(data)
    if read.is_err():
        return refuse_faults(str(file), read.unwrap_err())
    return Ok(read.unwrap().intent)


def intent_to_toml(intent: Intent) -> str:
    """Return a document that `parse_intent_toml` reads back unchanged."""
    return tomli_w.dumps(intent_to_table(intent))


async def fetch_intent(
    connection: Connection, customer: str
) -> Result[HeldIntent, Refusal]:
    """Fetch a customer's intent in force at the daemon."""
    asked = await ask(connection, "GET", path_of("intent", customer))
    if asked.is_err():
        return asked
    content = asked.unwrap()
    read = read_intent(content["intent"])
    if read.is_err():
        return refuse_faults(customer, read.unwrap_err())
    return Ok(HeldIntent(content["version"], read.unwrap()))


async def fetch_intent_or_empty(
    connection: Connection, customer: str
) -> Result[HeldIntent, Refusal]:
    """Fetch a customer's intent; a customer without one has an empty one."""
    held = await fetch_intent(connection, customer)
    if held.is_err() and held.unwrap_err().lines[0].startswith(ErrorKind.NOT_FOUND):
        return Ok(HeldIntent(0, Intent(customer)))
    return held


__all__ = [
    "HeldIntent",
    "fetch_intent",
    "fetch_intent_or_empty",
    "is_foreign",
    "intent_to_toml",
    "read_intent_file",
    "read_text",
]
