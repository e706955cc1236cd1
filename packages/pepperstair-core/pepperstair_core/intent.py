"""Intent documents: the configuration that operators declare, one per customer.

A document defines services by selectors over target labels, routes with selectors
over proxy labels, policies and label overrides. It never lists VMs.
"""

from __future__ import annotations

import hashlib
import math
import re
import tomllib
from collections.abc import Iterator
from typing import Annotated, Final

import msgspec
from msgspec import Struct
from msgspec.structs import replace
from result import Err, Result

from .labels import is_label_name, iter_label_faults, parse_selector
from .schema import Fault, Option, read_document

# Limits on the routes and services of a version. They bound the time for which reading
# a version blocks the proxy's single thread.
N_ROUTES_MAX: Final = 10_000
N_SERVICES_MAX: Final = 500
PRIORITIES: Final = ("urgent", "normal", "deferrable")
# Limits on client accounts, for the same reason. A key must fit into a header.
N_ACCOUNTS_MAX: Final = 10_000
N_KEYS_MAX: Final = 16
KEY_MAX_BYTES: Final = 512
ACCOUNT_NAME_MAX_BYTES: Final = 256

_HIDDEN_KEY: Final = re.compile("digest:[0-9a-f]{8}")


class Service(Struct, frozen=True):
    """A set of targets, selected by their labels."""

    name: Annotated[str, Option("Name that routes refer to.")]
    selector: Annotated[str, Option("Selector over target labels.")]


class Split(Struct, frozen=True):
    """A service that receives a share of a route's requests."""

    service: Annotated[str, Option("Service of the same document.")]
    weight: Annotated[
        int,
        Option(
            "Share of the requests, relative to the weights of the other splits.",
            minimum=0,
            maximum=1_000_000,
        ),
    ]


class Route(Struct, frozen=True):
    """The handling and the service of requests with a given host and path prefix."""

    name: Annotated[str, Option("Name of the route, unique in the document.")]
    path_prefix: Annotated[str, Option("Path prefix that the route matches.")]
    service: Annotated[
        str,
        Option(
            "Service of the same document that gets the requests; empty with splits."
        ),
    ] = ""
    host: Annotated[str, Option("Host that the route matches; empty for all.")] = ""
    proxies: Annotated[
        str, Option("Selector over proxy labels; empty for every proxy.")
    ] = ""
    priority: Annotated[
        str, Option("Order in which waiting requests are served.", choices=PRIORITIES)
    ] = "normal"
    is_idempotent: Annotated[
        bool, Option("Whether the requests may safely run twice.")
    ] = False
    timeout_ms: Annotated[
        int, Option("Time within which an answer is due.", minimum=1, maximum=600_000)
    ] = 2000
    splits: Annotated[
        tuple[Split, ...],
        Option("Services that share the requests by weight, in place of one service."),
    ] = ()
    n_attempts_max: Annotated[
        int,
        Option(
            "Targets that one request may be sent to, one after the other.",
            minimum=1,
            maximum=100,
        ),
    ] = 3
    objective_ms: Annotated[
        int,
        Option(
            "Time within which callers want the answer; 0 for the timeout.",
            minimum=0,
            maximum=600_000,
        ),
    ] = 0
    allows_anonymous: Annotated[
        bool,
        Option(
            "Whether requests need no key, although the document has client accounts."
        ),
    ] = False

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that requests of the route may go to."""
        if self.splits:
            return tuple(split.service for split in self.splits)
        return (self.service,)


class Account(Struct, frozen=True):
    """A client account: who may send requests, how urgent they are and how many.

    Keys are secrets. They must not appear in logs, errors or reports.
    """

    name: Annotated[str, Option("Name of the account, unique in the document.")]
    keys: Annotated[
        tuple[str, ...],
        Option("Keys of the account, each unique in the document.", is_secret=True),
    ] = ()
    priority: Annotated[
        str,
        Option(
            "Priority of the account's requests; empty for the route's.",
            choices=("", *PRIORITIES),
        ),
    ] = ""
    rate_per_s: Annotated[
        float,
        Option("Requests a second over the whole fleet; 0 for no limit.", minimum=0),
    ] = 0.0
    burst: Annotated[
        int, Option("Requests in addition to the rate at once.", minimum=0)
    ] = 0

    @property
    def has_quota(self) -> bool:
        """Return whether the account's requests are limited."""
        return self.rate_per_s > 0.0

    def __repr__(self) -> str:
        """Return the account without its keys."""
        return f"Account(name={self.name!r}, n_keys={len(self.keys)})"


class Policy(Struct, frozen=True):
    """Limits for the targets that a selector matches."""

    name: Annotated[str, Option("Name of the policy, unique in the document.")]
    selector: Annotated[str, Option("Selector over target labels.")]
    n_queued_max: Annotated[
        int,
        Option("Requests that may wait for one target.", minimum=0, maximum=10_000),
    ] = 256
    retry_budget_percent: Annotated[
        int, Option("Retries allowed per hundred calls.", minimum=0, maximum=100)
    ] = 10
    ejection_errors: Annotated[
        int,
        Option(
            "Consecutive errors after which a target is temporarily ejected.",
            minimum=1,
            maximum=1000,
        ),
    ] = 5
    ejected_percent_max: Annotated[
        int,
        Option(
            "Share of a service's targets that may be ejected at once.",
            minimum=0,
            maximum=100,
        ),
    ] = 50


class LabelOverride(Struct, frozen=True):
    """Labels that operators set on a workload, replacing announced ones by key."""

    workload: Annotated[
        str, Option("Name of the VM or target that the labels are set on.")
    ]
    labels: Annotated[
        dict[str, str], Option("Labels to set; an empty value removes one.")
    ]


class Objectives(Struct, frozen=True):
    """Service-level objectives that the burn report is computed against."""

    availability_percent: Annotated[
        float,
        Option(
            "Share of urgent and normal calls that must be answered.",
            minimum=50,
            maximum=99.999,
        ),
    ] = 99.9
    convergence_ms: Annotated[
        int,
        Option(
            "Time within which a change must be in force everywhere.",
            minimum=100,
            maximum=600_000,
        ),
    ] = 9000


class Intent(Struct, frozen=True):
    """The whole intent document of one customer."""

    customer: Annotated[str, Option("Customer whose document this is.")]
    services: Annotated[tuple[Service, ...], Option("Services.")] = ()
    routes: Annotated[tuple[Route, ...], Option("Routes.")] = ()
    policies: Annotated[tuple[Policy, ...], Option("Policies.")] = ()
    label_overrides: Annotated[
        tuple[LabelOverride, ...], Option("Label overrides.")
    ] = ()
    objectives: Annotated[Objectives, Option("Objectives.")] = Objectives()
    accounts: Annotated[
        tuple[Account, ...], Option("Client accounts.", is_secret=True)
    ] = ()
    requires_keys: Annotated[
        bool, Option("Whether requests need a key although there is no account.")
    ] = False

    @property
    def uses_accounts(self) -> bool:
        """Return whether requests need the key of a client account."""
        return self.requires_keys or bool(self.accounts)


def parse_intent_toml(text: str) -> Result[Intent, list[Fault]]:
    """Parse and validate a TOML intent document, or return every fault."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err([Fault("document", f"valid TOML ({error})")])
    return read_intent(table)


def read_intent(table: object) -> Result[Intent, list[Fault]]:
    """Read and validate an intent from a parsed table, or return every fault."""
    return read_document(Intent, table, iter_intent_faults)


def iter_intent_faults(intent: Intent) -> Iterator[Fault]:
    """Yield every fault of a parsed document.

    A route whose service is missing has no destination for its requests. This is a
    fault of the document, so such a route never reaches a proxy.
    """
    if not is_label_name(intent.customer):
        yield Fault("customer", f"a name, not {intent.customer!r}")
    yield from _iter_size_faults(intent)
    yield from _iter_duplicate_faults("services", intent.services)
    yield from _iter_duplicate_faults("routes", intent.routes)
    yield from _iter_duplicate_faults("policies", intent.policies)
    yield from _iter_selector_faults(intent)
    known = {service.name for service in intent.services}
    for index, route in enumerate(intent.routes):
        if route.splits or route.service not in known:
            yield from _iter_destination_faults(f"routes[{index}]", route, known)
        if not route.path_prefix.startswith("/"):
            expected = f"a path that starts with '/', not {route.path_prefix!r}"
            yield Fault(f"routes[{index}].path_prefix", expected)
    yield from _iter_override_faults(intent)
    yield from _iter_account_faults(intent.accounts)


def _iter_destination_faults(
    where: str, route: Route, known: set[str]
) -> Iterator[Fault]:
    if route.splits and route.service:
        yield Fault(f"{where}.service", "an empty string, as the route has splits")
    if route.splits and not any(split.weight for split in route.splits):
        yield Fault(f"{where}.splits", "at least one weight above 0")
    for service in route.services:
        if service not in known:
            expected = f"a service of this document, not {service!r}"
            key = "splits" if route.splits else "service"
            yield Fault(f"{where}.{key}", expected)


def intent_to_table(intent: Intent) -> dict[str, object]:
    """Return the document as plain dicts and lists, for JSON or msgpack.

    What concerns client accounts is left out of a document that does not use them, so
    that daemons without support for accounts can read it.
    """
    table = msgspec.to_builtins(intent)
    if not intent.requires_keys:
        del table["requires_keys"]
    if not intent.accounts:
        del table["accounts"]
    for route in table["routes"]:
        if not route["allows_anonymous"]:
            del route["allows_anonymous"]
    return table


def hide_keys(intent: Intent) -> Intent:
    """Return the intent for display, with the start of a digest for each key."""
    if not intent.accounts:
        return intent
    accounts = tuple(
        replace(account, keys=tuple(_hidden_key(key) for key in account.keys))
        for account in intent.accounts
    )
    return replace(intent, accounts=accounts)


def iter_hidden_key_faults(intent: Intent) -> Iterator[Fault]:
    """Yield a fault for each key of a document that was shown without its keys."""
    for index, account in enumerate(intent.accounts):
        for key_index, key in enumerate(account.keys):
            if _HIDDEN_KEY.fullmatch(key):
                where = f"accounts[{index}].keys[{key_index}]"
                yield Fault(where, "a key, not the digest that is shown for one")


def _hidden_key(key: str) -> str:
    if _HIDDEN_KEY.fullmatch(key):
        return key
    return f"digest:{hashlib.blake2b(key.encode()).hexdigest()[:8]}"


def _iter_size_faults(intent: Intent) -> Iterator[Fault]:
    if len(intent.routes) > N_ROUTES_MAX:
        yield Fault("routes", f"at most {N_ROUTES_MAX} routes")
    if len(intent.services) > N_SERVICES_MAX:
        yield Fault("services", f"at most {N_SERVICES_MAX} services")
    if len(intent.accounts) > N_ACCOUNTS_MAX:
        yield Fault("accounts", f"at most {N_ACCOUNTS_MAX} accounts")


def _iter_duplicate_faults(where: str, items: tuple) -> Iterator[Fault]:
    if len({item.name for item in items}) == len(items):
        return
    seen = set()
    for index, item in enumerate(items):
        if item.name in seen:
            expected = f"a unique name, not {item.name!r} again"
            yield Fault(f"{where}[{index}].name", expected)
        seen.add(item.name)


def _iter_selector_faults(intent: Intent) -> Iterator[Fault]:
    selectors = (
        ("services", "selector", [item.selector for item in intent.services]),
        ("routes", "proxies", [item.proxies for item in intent.routes]),
        ("policies", "selector", [item.selector for item in intent.policies]),
    )
    for part, key, texts in selectors:
        # Thousands of routes share a few selectors; each text is parsed once.
        parsed = {text: parse_selector(text) for text in set(texts)}
        if all(selector.is_ok() for selector in parsed.values()):
            continue
        for index, text in enumerate(texts):
            if parsed[text].is_err():
                yield Fault(f"{part}[{index}].{key}", parsed[text].unwrap_err())


def _iter_override_faults(intent: Intent) -> Iterator[Fault]:
    seen = set()
    for index, override in enumerate(intent.label_overrides):
        where = f"label_overrides[{index}]"
        if override.workload in seen:
            expected = f"a unique workload, not {override.workload!r} again"
            yield Fault(f"{where}.workload", expected)
        seen.add(override.workload)
        if not is_label_name(override.workload):
            yield Fault(f"{where}.workload", f"a name, not {override.workload!r}")
        yield from iter_label_faults(f"{where}.labels", override.labels)


def _iter_account_faults(accounts: tuple[Account, ...]) -> Iterator[Fault]:
    """Yield every fault of the client accounts, without any of their keys."""
    yield from _iter_duplicate_faults("accounts", accounts)
    owners: dict[str, str] = {}
    for index, account in enumerate(accounts):
        where = f"accounts[{index}]"
        if not _is_account_name(account.name):
            limit = f"1 to {ACCOUNT_NAME_MAX_BYTES} bytes of printable characters"
            yield Fault(f"{where}.name", f"{limit}, not {account.name[:40]!r}")
        if not math.isfinite(account.rate_per_s):
            yield Fault(f"{where}.rate_per_s", "a finite number")
        if len(account.keys) > N_KEYS_MAX:
            yield Fault(f"{where}.keys", f"at most {N_KEYS_MAX} keys")
        for key_index, key in enumerate(account.keys):
            key_where = f"{where}.keys[{key_index}]"
            if not 1 <= _n_bytes(key) <= KEY_MAX_BYTES:
                yield Fault(key_where, f"a key of 1 to {KEY_MAX_BYTES} bytes")
            owner = owners.setdefault(key, account.name)
            if owner != account.name:
                parties = f"{owner!r} and {account.name!r}"
                yield Fault(key_where, f"a unique key, not one of both {parties}")


def _is_account_name(name: str) -> bool:
    """Return whether a name can be sent as the value of a header."""
    return (
        1 <= _n_bytes(name) <= ACCOUNT_NAME_MAX_BYTES
        and name.isprintable()
        and name == name.strip()
    )


def _n_bytes(text: str) -> int:
    return len(text.encode(errors="replace"))


__all__ = [
    "ACCOUNT_NAME_MAX_BYTES",
    "KEY_MAX_BYTES",
    "N_ACCOUNTS_MAX",
    "N_KEYS_MAX",
    "N_ROUTES_MAX",
    "N_SERVICES_MAX",
    "PRIORITIES",
    "Account",
    "Intent",
    "LabelOverride",
    "Objectives",
    "Policy",
    "Route",
    "Service",
    "Split",
    "hide_keys",
    "intent_to_table",
    "iter_hidden_key_faults",
    "iter_intent_faults",
    "parse_intent_toml",
    "read_intent",
]
