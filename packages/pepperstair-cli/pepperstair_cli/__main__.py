"""Entry point of the command line: parses the arguments and runs one command."""

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
    help="Change routing and traffic intent, and inspect how the fleet applies it.",
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
    """Run the command named by the arguments and exit with its exit code."""
    sys.exit(run(arguments))


def run(arguments: Sequence[str] | None = None) -> ExitCode:
    """Run one command and return its exit code.

    Invalid arguments print one line and return `ExitCode.BAD_INPUT`.
    """
    try:
        exit_code = app(arguments, exit_on_error=False, print_error=False)
    except cyclopts.CycloptsError as error:
        print(" ".join(str(error).split()), file=sys.stderr)
        return ExitCode.BAD_INPUT
    except KeyboardInterrupt:
        print("interrupted: a change that was sent may take effect", file=sys.stderr)
        return ExitCode.OUTCOME_UNKNOWN
    except BrokenPipeError:
        _discard_output()
        return ExitCode.SUCCESS
    return exit_code if isinstance(exit_code, ExitCode) else ExitCode.SUCCESS


def _discard_output() -> None:
    """Redirect standard output to the null device after its reader closed the pipe.

    The interpreter flushes buffered output on exit. If the reader has closed the pipe,
    as in `pepperstair get lantern | head`, the flush would fail and print a traceback.
    """
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


if __name__ == "__main__":
    main()
