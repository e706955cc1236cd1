"""`pepperstair status`: what one daemon holds and sees."""

from __future__ import annotations

import asyncio

from pepperstair_operators import OperatorClient

from ..output import ExitCode, OutputFormat, show, show_failure, show_refusal


def run(*, at: str, token: str = "", output: OutputFormat = "text") -> ExitCode:
    """Show a daemon's readiness, versions, members and counters.

    Parameters
    ----------
    at
        Operators' address of the daemon.
    token
        Bearer token of the operators' interface.
    output
        Text for people, JSON for programs.
    """
    return asyncio.run(_show(at, token, output))


async def _show(at: str, token: str, output: OutputFormat) -> ExitCode:
    sent = await OperatorClient(at, token).send("GET", "/v1/status")
    if sent.is_err():
        return show_failure(sent.unwrap_err())
    reply = sent.unwrap()
    if reply.status != 200:
        return show_refusal(reply)
    content = reply.content
    lines = [f"{content['vm']}: {'ready' if content['ready'] else 'not ready'}"]
    lines += [f"  {name} {version}" for name, version in content["versions"].items()]
    lines += [f"  {member['vm']} {member['state']}" for member in content["members"]]
    show(content, "\n".join(lines), output)
    return ExitCode.DONE


__all__ = ["run"]
