"""The command line's entry: parses, then calls one function of `commands`."""

from __future__ import annotations

import cyclopts

from .commands import apply, check, status

app = cyclopts.App(
    name="pepperstair",
    help="State routing and traffic intent, and see what became of it.",
    version_flags=["--version"],
)
app.command(apply.run, name="apply")
app.command(check.run, name="check")
app.command(status.run, name="status")


def main() -> None:
    """Run the command that the arguments name."""
    app()


if __name__ == "__main__":
    main()
