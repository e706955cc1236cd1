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
from ..output import CommandFailure, ExitCode, Report, invalid_input, print_result

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
    """Override the labels that a workload announces.

    Parameters
    ----------
    workload
        Name of the VM or target.
    changes
        `key=value` sets a label, `key-` removes it.
    customer
        Customer whose intent to change.
    reset
        Key whose override to remove; repeatable.
    """
    parsed = [parse_label_edit(text) for text in changes]
    parse_errors = [result.unwrap_err() for result in parsed if result.is_err()]
    edits = [result.unwrap() for result in parsed if result.is_ok()]
    edits += [LabelEdit(key, None) for key in reset]
    if parse_errors or not edits:
        lines = parse_errors or [
            "expected a change such as key=value, key- or --reset key"
        ]
        return print_result(invalid_input(*lines), connection.output)
    outcome = asyncio.run(_label(workload, edits, customer, connection, options))
    return print_result(outcome, connection.output)


async def _label(
    workload: str,
    edits: Iterable[LabelEdit],
    customer: str,
    connection: Connection,
    options: ChangeOptions,
) -> Result[Report, CommandFailure]:
    """Edit the intent in force, and fail if another change was accepted meanwhile.

    Two operators who edit labels at the same time start from the same version.
    Without `from_version` in the request, the later change would silently undo
    the earlier one, and calls would go to the wrong targets.
    """
    fetched = await fetch_intent(connection, customer)
    if fetched.is_err():
        return fetched
    current = fetched.unwrap()
    intent = edit_labels(current.intent, workload, edits)
    if options.from_version is None:
        options = replace(options, from_version=current.version)
    return await send_change(connection, intent, options)


__all__ = ["run"]
