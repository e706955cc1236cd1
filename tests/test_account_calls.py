"""Tests of calls with and without the key of a client account."""

from __future__ import annotations

import asyncio

import pytest
from msgspec.structs import replace
from structlog.testing import capture_logs

from pepperstair_core.accounts import AccountTable
from pepperstair_core.burn.counts import classify_outcome
from pepperstair_core.config import AccountsSettings
from pepperstair_core.errors import ErrorKind
from pepperstair_core.intent import Account
from pepperstair_http import header_value
from tests.call_mesh import Mesh, http_answer, retry_after_ms, status_and_run
from tests.test_call_failures import on_loop

KEY = b"s3cret-of-atlas"
ATLAS = Account("atlas", (KEY.decode(),), "urgent")
BOREAL = Account("boreal", ("s3cret-of-boreal",))
LIMITS = AccountsSettings(proof_age_max_ms=4000, unknown_key_age_max_ms=2500)
KEYED = ((b"pepperstair-key", KEY),)
FORGED = (
    (b"Pepperstair-Account", b"forged-1"),
    (b"PEPPERSTAIR-ACCOUNT", b"forged-2"),
    (b"pepperstair_account", b"forged-3"),
    (b"Pepperstair_Account", b"forged-4"),
    (b"pepperstair_key", b"forged-5"),
    (b"connection", b"pepperstair-account, pepperstair-key"),
)


async def mesh_with_accounts(mesh, *accounts):
    """Start a target and put accounts in force."""
    mesh.accounts = AccountTable(accounts or (ATLAS, BOREAL), secret=b"s")
    mesh.account_limits = LIMITS
    return await mesh.add("a")


def lines_of(head: bytes, name: bytes) -> list[bytes]:
    """Return the lines of a request head that mention a text."""
    return [line for line in head.lower().split(b"\r\n") if name in line]


@on_loop
async def test_target_gets_the_account_and_never_the_key():
    async with Mesh() as mesh:
        raw = await mesh_with_accounts(mesh)
        response = await mesh.call(headers=KEYED)
        assert response.status == 200
        assert KEY not in raw.heads[0]
        assert lines_of(raw.heads[0], b"account") == [b"pepperstair-account: atlas"]


@pytest.mark.parametrize("is_anonymous", [False, True])
@pytest.mark.parametrize("is_keyed", [False, True])
@on_loop
async def test_own_account_header_of_a_client_never_passes(is_anonymous, is_keyed):
    async with Mesh(allows_anonymous=is_anonymous) as mesh:
        raw = await mesh_with_accounts(mesh)
        response = await mesh.call(headers=(*FORGED, *(KEYED if is_keyed else ())))
        if not is_anonymous and not is_keyed:
            assert response.status == 401
            assert raw.heads == []
            return
        expected = [b"pepperstair-account: atlas"] if is_keyed else []
        assert lines_of(raw.heads[0], b"account") == expected
        assert b"forged" not in raw.heads[0]


@on_loop
async def test_account_header_passes_neither_without_accounts():
    async with Mesh() as mesh:
        raw = await mesh.add("a")
        assert (await mesh.call(headers=(*FORGED, *KEYED))).status == 200
        assert b"forged" not in raw.heads[0]
        assert KEY not in raw.heads[0]


@on_loop
async def test_account_header_in_trailers_and_pipelined_requests_never_passes():
    async with Mesh(is_idempotent=True, allows_anonymous=True) as mesh:
        raw = await mesh_with_accounts(mesh)
        reader, writer = await asyncio.open_connection(*mesh.address)
        chunked = (
            b"POST /1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n"
            b"trailer: pepperstair-account\r\n\r\n2\r\nok\r\n0\r\n"
            b"pepperstair-account: forged\r\npepperstair-key: forged\r\n\r\n"
        )
        keyed = b"GET /2 HTTP/1.1\r\nhost: h\r\npepperstair-key: " + KEY + b"\r\n\r\n"
        plain = (
            b"GET /3 HTTP/1.1\r\nhost: h\r\nPepperstair-Account: forged\r\n"
            b"connection: close\r\n\r\n"
        )
        writer.write(chunked + keyed + plain)
        assert (await reader.read()).count(b"HTTP/1.1 200") == 3
        writer.close()
        # The stand-in reads a chunked body, with its trailers, as one more head.
        heads = [head for head in raw.heads if b"HTTP/1.1" in head]
        accounts = {head.split()[1]: lines_of(head, b"account") for head in heads}
        assert accounts == {
            b"/1": [],
            b"/2": [b"pepperstair-account: atlas"],
            b"/3": [],
        }
        assert b"forged" not in b"".join(raw.heads)


@pytest.mark.parametrize(
    "headers",
    [
        (),
        ((b"pepperstair-key", b"unknown"),),
        ((b"pepperstair-key", b""),),
        ((b"pepperstair-key", KEY + b"x"),),
        ((b"pepperstair-key", KEY), (b"pepperstair-key", b"s3cret-of-boreal")),
        ((b"pepperstair-key", b"unknown"), (b"Pepperstair-Key", KEY)),
        ((b"pepperstair_key", KEY),),
    ],
)
@on_loop
async def test_request_without_a_known_key_is_refused_as_not_run(headers):
    async with Mesh() as mesh:
        raw = await mesh_with_accounts(mesh)
        response = await mesh.call(headers=headers)
        assert status_and_run(response) == (401, "no")
        assert raw.heads == []
        assert b"s3cret" not in response.body
        assert mesh.outcomes[0].error is ErrorKind.UNAUTHORIZED
        # A fault of the caller, which uses up none of the error budget.
        assert classify_outcome(mesh.outcomes[0]) is None


@on_loop
async def test_key_that_is_repeated_unchanged_is_known():
    async with Mesh() as mesh:
        await mesh_with_accounts(mesh)
        assert (await mesh.call(headers=KEYED * 2)).status == 200


@on_loop
async def test_anonymous_route_serves_requests_without_a_known_key():
    async with Mesh(allows_anonymous=True) as mesh:
        raw = await mesh_with_accounts(mesh)
        for headers in ((), ((b"pepperstair-key", b"unknown"),)):
            assert (await mesh.call(headers=headers)).status == 200
        assert lines_of(b"".join(raw.heads), b"pepperstair-account") == []


@pytest.mark.parametrize(
    ("account", "expected"), [(ATLAS, "urgent"), (BOREAL, "normal")]
)
@on_loop
async def test_priority_of_the_account_takes_precedence(account, expected):
    async with Mesh() as mesh:
        await mesh_with_accounts(mesh)
        await mesh.call(headers=((b"pepperstair-key", account.keys[0].encode()),))
        assert mesh.heads[0].priority == expected
        assert mesh.outcomes[0].priority == expected


@on_loop
async def test_daemon_without_a_proof_refuses_keys_as_not_run():
    async with Mesh() as mesh:
        raw = await mesh_with_accounts(mesh)
        mesh.proof_age_ms = 4001
        response = await mesh.call(headers=KEYED)
        assert status_and_run(response) == (503, "no")
        assert header_value(response.headers, b"pepperstair-error") == b"not_ready"
        assert retry_after_ms(response) == 1000
        assert raw.heads == []


@on_loop
async def test_daemon_that_may_be_out_of_date_refuses_unknown_keys_as_not_run():
    """Guards against a 401 for a key that was just added."""
    async with Mesh() as mesh:
        await mesh_with_accounts(mesh)
        mesh.proof_age_ms = 2501
        unknown = ((b"pepperstair-key", b"unknown"),)
        assert status_and_run(await mesh.call(headers=unknown)) == (503, "no")
        assert status_and_run(await mesh.call()) == (503, "no")
        assert (await mesh.call(headers=KEYED)).status == 200


@on_loop
async def test_key_that_is_removed_between_attempts_ends_the_call():
    """Guards against a retry that runs a request whose key was removed."""
    async with Mesh(is_idempotent=True) as mesh:

        async def fail_and_remove(target, writer, head):
            mesh.accounts = AccountTable((BOREAL,), mesh.accounts)
            writer.write(http_answer(b"", "500 Internal Server Error"))

        await mesh_with_accounts(mesh)
        mesh.raw["a"].answer = fail_and_remove
        second = await mesh.add("b", fail_and_remove)
        response = await mesh.call(headers=KEYED)
        assert response.status == 500
        assert len(mesh.raw["a"].heads) + len(second.heads) == 1


@on_loop
async def test_removed_key_is_refused_before_the_first_attempt():
    """Guards against requests that run after a slow body, although the key is gone."""
    async with Mesh() as mesh:
        raw = await mesh_with_accounts(mesh)
        reader, writer = await asyncio.open_connection(*mesh.address)
        head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n"
        writer.write(head + b"pepperstair-key: " + KEY + b"\r\n\r\n")
        while not mesh.proxy.n_in_flight:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        mesh.accounts = AccountTable((BOREAL,), mesh.accounts)
        writer.write(b"ok")
        assert b"401" in await reader.readline()
        writer.close()
        assert raw.heads == []


@on_loop
async def test_starting_daemon_holds_a_keyed_request_until_it_has_a_proof():
    """Guards against a second lost by each client of a daemon that restarts."""
    async with Mesh() as mesh:
        await mesh_with_accounts(mesh)
        mesh.is_starting, mesh.proof_age_ms = True, float("inf")
        calling = asyncio.ensure_future(mesh.call(headers=KEYED))
        while not mesh.proxy.n_held_at_start:
            await asyncio.sleep(0.005)
        mesh.proof_age_ms = 0.0
        assert (await calling).status == 200


@on_loop
async def test_log_and_fingerprint_of_a_request_do_not_depend_on_its_key():
    async with Mesh(is_idempotent=True) as mesh:

        async def fail(target, writer, head):
            writer.write(http_answer(b"", "500 Internal Server Error"))

        await mesh_with_accounts(mesh)
        mesh.raw["a"].answer = fail
        with capture_logs() as lines:
            await mesh.call(headers=KEYED)
            await mesh.call(headers=((b"pepperstair-key", b"s3cret-of-boreal"),))
            await mesh.call(headers=((b"pepperstair-key", b"s3cret-of-nobody"),))
        shown = str(lines) + str(list(mesh.decisions.find())) + str(mesh.outcomes)
        assert "request_answered" in shown
        assert "s3cret" not in shown
        assert len(set(mesh.fingerprints)) == 1


@on_loop
async def test_malformed_line_with_a_key_is_not_repeated_in_the_answer():
    async with Mesh() as mesh:
        reader, writer = await asyncio.open_connection(*mesh.address)
        writer.write(b"GET / HTTP/1.1\r\npepperstair-key : s3cret\r\n\r\n")
        answer = await reader.read()
        writer.close()
        assert b"400" in answer
        assert b"s3cret" not in answer


@pytest.mark.parametrize(
    ("n_running", "headers", "priority"),
    [(1, (), "urgent"), (0, (), "normal"), (1, KEYED, "deferrable")],
)
@on_loop
async def test_call_of_a_running_target_goes_before_new_requests(
    n_running, headers, priority
):
    """Guards against runs that fail because their own calls queue behind new work."""
    async with Mesh(allows_anonymous=True) as mesh:
        mesh.n_running = n_running
        await mesh_with_accounts(mesh, replace(ATLAS, priority="deferrable"))
        assert (await mesh.call(headers=headers)).status == 200
        assert mesh.heads[0].priority == priority
