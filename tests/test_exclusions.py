"""Targets that a daemon leaves out get calls again once the exclusion has ended."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from msgspec.structs import replace

from pepperstair_core.calls import TargetExclusions, absent_targets, leaving_targets
from pepperstair_core.config import parse_settings_toml
from pepperstair_core.labels import parse_selector
from pepperstair_core.members import Member, MemberState, Target, TargetState
from pepperstair_core.routing import Endpoint
from pepperstaird.clock import precise_ms
from pepperstaird.daemon import Daemon
from pepperstaird.product import product_dependencies

EXAMPLE = Path(__file__).parent.parent / "examples" / "vm-1.toml"
TARGET = Target("t", "127.0.0.1:1", (), 4, 9, TargetState.SERVING)
MEMBER = Member(
    "vm", 5, 1, MemberState.ALIVE, "z", "127.0.0.1:2", (), targets=(TARGET,)
)
ENDPOINT = Endpoint("vm", "z", "127.0.0.1:2", TARGET)
EVERY = parse_selector("").unwrap()


def test_refusal_of_a_call_that_was_sent_before_the_record_changed_is_ignored():
    """Guards against a refusal that arrives after the record that lists the target."""
    exclusions = TargetExclusions()
    exclusions.update_members([MEMBER], 0.0)
    returned = replace(MEMBER, sequence=3)
    exclusions.update_members([returned], 20.0)
    assert not exclusions.add_absent(ENDPOINT.key, returned, 10.0, 30.0)
    assert exclusions.excluded(lambda vm: returned, 30.0) == frozenset()
    assert exclusions.add_absent(ENDPOINT.key, returned, 21.0, 30.0)
    assert exclusions.excluded(lambda vm: returned, 30.0) == {ENDPOINT.key}


def exclude_as_leaving(daemon):
    daemon.record_leaving(ENDPOINT)


def exclude_as_absent(daemon):
    daemon.record_absent(ENDPOINT, precise_ms())


@pytest.mark.parametrize("exclude", [exclude_as_leaving, exclude_as_absent])
def test_exclusion_ends_by_time_while_no_member_changes(exclude, monkeypatch):
    """Guards against an exclusion that has ended but is never looked at again."""
    monkeypatch.setattr(leaving_targets, "REMEMBERED_MS", 300)
    monkeypatch.setattr(absent_targets, "ABSENCE_BASE_MS", 300.0)

    settings = parse_settings_toml(EXAMPLE.read_text()).unwrap()

    async def scenario():
        daemon = Daemon(settings, product_dependencies())
        list(daemon.directory.merge([MEMBER]))
        daemon._update_members()
        checking = asyncio.create_task(daemon._check_leases())
        exclude(daemon)
        assert daemon.endpoint_table.endpoints(EVERY) == ()
        async with asyncio.timeout(5):
            while not daemon.endpoint_table.endpoints(EVERY):
                await asyncio.sleep(0.05)
        checking.cancel()
        daemon.platform.close()

    asyncio.run(scenario())
