"""`pepperstair label`: set or remove labels of a workload."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import replace
from typing import Annotated

from cyclopts import Parameter
from result import Result

from pepperstair_core.label_edits import LabelEdit, edit_labels, parse_label_edit

from ..changes import ChangeOptions, send_change
from ..connection import Connection
from ..documents import fetch_intent
from ..output import ExitCode, Refusal, Report, finish, refuse_input

_NO_OPTIONS = ChangeOptions()


def run(
    workload: str,
    /,
    *changes: str,
    customer: str,
    reset: Annotated[tuple[str, ...], Parameter(negative="")] = (),
    connection: Connection,
    options: ChangeOptions = _NO_OPTIONS,
) -> ExitCode:
    """Change the labels of a workload, over those that it announces.

    Parameters
    ----------
    workload
        Name of the VM or target.
    changes
        `key=value` sets a label, `key-` takes it away.
    customer
        Customer whose intent carries the change.
    reset
        Key whose announced label counts again; may be given more than once.
    """
    parsed = [parse_label_edit(text) for text in changes]
    wrong = [result.unwrap_err() for result in parsed if result.is_err()]
    edits = [result.unwrap() for result in parsed if result.is_ok()]
    edits += [LabelEdit(key, None) for key in reset]
    if wrong or not edits:
        lines = wrong or ["expected a change such as key=value, key- or --reset key"]
        return finish(refuse_input(*lines), connection.output)
    done = asyncio.run(_label(workload, edits, customer, connection, options))
    return finish(done, connection.output)


async def _label(
    workload: str,
    edits: Iterable[LabelEdit],
    customer: str,
    connection: Connection,
    options: ChangeOptions,
) -> Result[Report, Refusal]:
    """Edit the document in force, and refuse where another edit came first.

    Two operators who label at the same time both start from the same version.
    Without the version in the request the later one would undo the earlier
    one's labels, which nobody would notice until calls went elsewhere.
    """
    fetched = await fetch_intent(connection, customer)
    if fetched.is_err():
        return fetched
    held = fetched.unwrap()
    intent = edit_labels(held.intent, workload, edits)
    if options.from_version is None:
        options = replace(options, from_version=held.version)
    return await send_change(connection, intent, options)


__all__ = ["run"]
