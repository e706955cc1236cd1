"""`pepperstair apply`: hand an intent document to the fleet."""

from __future__ import annotations

import asyncio
import uuid
from pathlib import Path
from urllib.parse import urlencode

from result import Err, Ok, Result

from pepperstair_core.intent import Intent, parse_intent_toml
from pepperstair_core.schema import Fault
from pepperstair_operators import OperatorClient

from ..output import (
    ExitCode,
    OutputFormat,
    show,
    show_failure,
    show_faults,
    show_refusal,
)


def run(
    file: Path,
    *,
    at: str,
    change_id: str = "",
    from_version: int | None = None,
    token: str = "",
    output: OutputFormat = "text",
) -> ExitCode:
    """Apply an intent document.

    Parameters
    ----------
    file
        TOML intent document.
    at
        Operators' address of any daemon.
    change_id
        Name of the change; give the same one to ask again after a lost answer.
    from_version
        Version the document started from; refused if another is the newest.
    token
        Bearer token of the operators' interface.
    output
        Text for people, JSON for programs.
    """
    read = _read_text(file)
    if read.is_err():
        return show_faults(str(file), read.unwrap_err())
    text = read.unwrap()
    parsed = parse_intent_toml(text)
    if parsed.is_err():
        return show_faults(str(file), parsed.unwrap_err())
    query = {"change_id": change_id or uuid.uuid4().hex}
    if from_version is not None:
        query["from_version"] = str(from_version)
    return asyncio.run(_send(parsed.unwrap(), text, query, at, token, output))


async def _send(
    intent: Intent,
    text: str,
    query: dict[str, str],
    at: str,
    token: str,
    output: OutputFormat,
) -> ExitCode:
    client = OperatorClient(at, token)
    path = f"/v1/intent/{intent.customer}?{urlencode(query)}"
    sent = await client.send("PUT", path, text.encode())
    if sent.is_err():
        return show_failure(sent.unwrap_err())
    reply = sent.unwrap()
    if reply.status != 200:
        return show_refusal(reply)
    content = reply.content
    show(
        content,
        f"{content['customer']}: version {content['version']} accepted "
        f"(change {content['change_id']})",
        output,
    )
    return ExitCode.DONE


def _read_text(file: Path) -> Result[str, list[Fault]]:
    try:
        return Ok(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault("file", f"a readable TOML file ({error})")])


__all__ = ["run"]
