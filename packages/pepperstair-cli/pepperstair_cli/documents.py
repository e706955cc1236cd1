"""Reads intent documents from files and daemons, and writes them as TOML."""

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

from .daemon_client import operation_path, send_request
from .output import invalid_document, invalid_input

if TYPE_CHECKING:
    from pathlib import Path

    from .connection import Connection
    from .output import CommandFailure


# Entry point group in which packages register readers of platform documents.
READERS_GROUP: Final = "pepperstair.document_readers"
_PLATFORM_DOCUMENT_SUFFIX: Final = ".json"


@dataclass(frozen=True, slots=True)
class VersionedIntent:
    """A customer's intent in force at a daemon, with its version.

    Version 0 means that the customer has no intent yet.
    """

    version: int
    intent: Intent


def read_text(file: Path) -> Result[str, CommandFailure]:
    """Read a UTF-8 text file; a file that can't be read is invalid input."""
    try:
        return Ok(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return invalid_input(f"{file}: expected a readable TOML file ({error})")


def is_platform_document(file: Path) -> bool:
    """Return whether a file holds a document in the format of the platform."""
    return file.suffix == _PLATFORM_DOCUMENT_SUFFIX


def read_intent_file(file: Path) -> Result[Intent, CommandFailure]:
    """Read an intent document, or list every fault in it.

    A JSON file is read as a document in the format of the platform that the
    daemons run on.
    """
    text = read_text(file)
    if text.is_err():
        return text
    if is_platform_document(file):
        return _read_platform_document(file, text.unwrap().encode())
    parsed = parse_intent_toml(text.unwrap())
    if parsed.is_err():
        return invalid_document(str(file), parsed.unwrap_err())
    return Ok(parsed.unwrap())


def _read_platform_document(file: Path, data: bytes) -> Result[Intent, CommandFailure]:
    """Read a platform document with the first installed reader."""
    entry_point = next(iter(entry_points(group=READERS_GROUP)), None)
    if entry_point is None:
        return invalid_input(f"{file}: no reader for platform documents is installed")
    reader: DocumentReader = entry_point.load()
    read = reader(data)
    if read.is_err():
        return invalid_document(str(file), read.unwrap_err())
    return Ok(read.unwrap().intent)


def intent_to_toml(intent: Intent) -> str:
    """Return an intent as TOML that `parse_intent_toml` parses to the same intent."""
    return tomli_w.dumps(intent_to_table(intent))


async def fetch_intent(
    connection: Connection, customer: str
) -> Result[VersionedIntent, CommandFailure]:
    """Fetch a customer's intent in force at the daemon."""
    response = await send_request(connection, "GET", operation_path("intent", customer))
    if response.is_err():
        return response
    content = response.unwrap()
    read = read_intent(content["intent"])
    if read.is_err():
        return invalid_document(customer, read.unwrap_err())
    return Ok(VersionedIntent(content["version"], read.unwrap()))


async def fetch_intent_or_empty(
    connection: Connection, customer: str
) -> Result[VersionedIntent, CommandFailure]:
    """Fetch a customer's intent, or return an empty one if the customer has none."""
    current = await fetch_intent(connection, customer)
    if current.is_err() and current.unwrap_err().lines[0].startswith(
        ErrorKind.NOT_FOUND
    ):
        return Ok(VersionedIntent(0, Intent(customer)))
    return current


__all__ = [
    "VersionedIntent",
    "fetch_intent",
    "fetch_intent_or_empty",
    "is_platform_document",
    "intent_to_toml",
    "read_intent_file",
    "read_text",
]
