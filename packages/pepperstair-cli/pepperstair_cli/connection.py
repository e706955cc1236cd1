"""The options of every command that talks to a daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Final, Literal

from cyclopts import Parameter

from pepperstair_core.config import parse_address

OutputFormat = Literal["text", "json"]

TOKEN_VARIABLE: Final = "PEPPERSTAIR_TOKEN"


def check_address(type_: type, address: str) -> None:
    """Refuse an address that is no IP number and port, as cyclopts expects."""
    if parse_address(address) is None:
        raise ValueError("expected an IP number and port such as 127.0.0.1:8001")


Address = Annotated[str, Parameter(validator=check_address)]
Token = Annotated[
    str,
    Parameter(env_var=TOKEN_VARIABLE, help="Bearer token of the operators' interface."),
]
Output = Annotated[OutputFormat, Parameter(help="Text for people, JSON for programs.")]


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class Connection:
    """Which daemon to ask, and how to print what it said."""

    at: Annotated[Address, Parameter(help="Operators' address of any daemon.")]
    token: Token = ""
    output: Output = "text"


__all__ = [
    "TOKEN_VARIABLE",
    "Address",
    "Connection",
    "Output",
    "OutputFormat",
    "Token",
    "check_address",
]
