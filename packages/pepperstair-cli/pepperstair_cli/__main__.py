"""The command line's entry: parses, then calls one function of `commands`."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

import cyclopts

from .commands import (
    apply,
    check,
    diff,
    explain,
    get,
    history,
    label,
    report_burn,
    status,
    wait,
)
from .output import ExitCode

app = cyclopts.App(
    name="pepperstair",
    help="State routing and traffic intent, and see what became of it.",
    version_flags=["--version"],
    result_action="return_value",
)
app.command(apply.run, name="apply")
app.command(diff.run, name="diff")
app.command(get.run, name="get")
app.command(label.run, name="label")
app.command(wait.run, name="wait")
app.command(status.run, name="status")
app.command(history.run, name="history")
app.command(explain.run, name="explain")
app.command(check.run, name="check")
report = cyclopts.App(name="report", help="Reports over the fleet.")
report.command(report_burn.run, name="burn")
app.command(report)
app.register_install_completion_command()


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command that the arguments name and exit with its code."""
    sys.exit(run(arguments))


def run(arguments: Sequence[str] | None = None) -> ExitCode:
    """Run one command; wrong arguments are one line and bad input."""
    try:
        ended = app(arguments, exit_on_error=False, print_error=False)
    except cyclopts.CycloptsError as error:
        print(" ".join(str(error).split()), file=sys.stderr)
        return ExitCode.BAD_INPUT
    except KeyboardInterrupt:
        print("interrupted: a change that was sent may take effect", file=sys.stderr)
        return ExitCode.OUTCOME_UNKNOWN
    except BrokenPipeError:
        _forget_output()
        return ExitCode.DONE
    return ended if isinstance(ended, ExitCode) else ExitCode.DONE


def _forget_output() -> None:
    """Send further output nowhere, as the reader of a pipe has left.

    The interpreter writes out what is buffered when it ends, and would print a
    traceback over an operator's `pepperstair get lantern | head`.
    """
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


if __name__ == "__main__":
    main()
