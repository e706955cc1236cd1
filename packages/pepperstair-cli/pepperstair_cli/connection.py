"""Options of every command that sends requests to a daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Final, Literal

from cyclopts import Parameter

from pepperstair_core.config import parse_address

OutputFormat = Literal["text", "json"]

TOKEN_VARIABLE: Final = "PEPPERSTAIR_TOKEN"


def check_address(type_: type, address: str) -> None:
    """Raise ValueError unless an address is an IP address and port.

    The signature is that of a cyclopts validator.
    """
    if parse_address(address) is None:
        raise ValueError("expected an IP address and port such as 127.0.0.1:8001")


Address = Annotated[str, Parameter(validator=check_address)]
Token = Annotated[
    str,
    Parameter(env_var=TOKEN_VARIABLE, help="Bearer token of the operators' interface."),
]
Output = Annotated[OutputFormat, Parameter(help="Text for people, JSON for scripts.")]


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class Connection:
    """The daemon to send requests to, and the format of the printed answer."""

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
