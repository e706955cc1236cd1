"""Decides which control streams to open and to close."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random
from typing import Final

from ..members import Member, MemberState
from .actions import Close, Dial
from .backoff import DialBackoff
from .directory import MemberDirectory

N_JOIN_DIALS_MAX: Final = 4


class NeighbourEdges:
    """Tracks the wanted neighbours and the open control streams.

    If two daemons choose each other as neighbours, the daemon with the lower name
    dials. The other one dials only after `dial_delay_ms`, in case the first daemon has
    a different view of the members and does not dial. A stream to a daemon that is not
    a wanted neighbour is closed after 4 times that delay.
    """

    def __init__(
        self,
        directory: MemberDirectory,
        seed_addresses: Iterable[str],
        dial_delay_ms: int,
        rng: Random,
    ) -> None:
        self._directory = directory
        self._own_vm = directory.own().vm
        self._dial_delay_ms = dial_delay_ms
        self._grace_ms = 4 * dial_delay_ms
        self._rng = rng
        self._backoff = DialBackoff(rng)
        self._wanted_since_ms: dict[str, int] = {}
        self._connected: set[str] = set()
        self._unwanted_since_ms: dict[str, int] = {}
        self._dialling: set[str] = set()
        self._seed_addresses = frozenset(seed_addresses)
        self._join_addresses = self._seed_addresses

    @property
    def wanted(self) -> frozenset[str]:
        """Return the VMs to which a stream should be open."""
        return frozenset(self._wanted_since_ms)

    @property
    def connected(self) -> frozenset[str]:
        """Return the VMs to which a stream is open."""
        return frozenset(self._connected)

    def set_join_addresses(self, addresses: Iterable[str]) -> None:
        """Replace the discovered addresses that are dialled to join the fleet."""
        self._join_addresses = self._seed_addresses | frozenset(addresses)

    def set_wanted(self, vms: frozenset[str], now_ms: int) -> None:
        """Replace the set of wanted neighbours."""
        known = self._wanted_since_ms
        self._wanted_since_ms = {vm: known.get(vm, now_ms) for vm in sorted(vms)}

    def skip_dial_delay(self, vm: str, now_ms: int) -> None:
        """Make a wanted neighbour due for dialling without the usual delay."""
        if vm in self._wanted_since_ms:
            self._wanted_since_ms[vm] = now_ms - self._dial_delay_ms

    def open(self, vm: str, address: str) -> None:
        """Record that a stream was opened."""
        self._connected.add(vm)
        self._unwanted_since_ms.pop(vm, None)
        self.mark_reached(address)

    def mark_reached(self, address: str) -> None:
        """Record a successful dial of an address."""
        self._dialling.discard(address)
        self._backoff.succeed(address)

    def close(self, vm: str) -> None:
        """Record that a stream was closed."""
        self._connected.discard(vm)
        self._unwanted_since_ms.pop(vm, None)

    def fail(self, address: str, now_ms: int) -> None:
        """Record a failed dial of an address."""
        self._dialling.discard(address)
        self._backoff.fail(address, now_ms)

    def iter_dials(self, now_ms: int) -> Iterator[Dial]:
        """Yield a `Dial` for each wanted neighbour that is due to be dialled."""
        for vm, since_ms in self._wanted_since_ms.items():
            member = self._directory.get(vm)
            if vm in self._connected or member is None:
                continue
            is_dial_due = self._own_vm < vm or now_ms - since_ms >= self._dial_delay_ms
            if is_dial_due:
                yield from self._dial(member.peer_address, now_ms)

    def iter_join_dials(self, now_ms: int) -> Iterator[Dial]:
        """Yield dials of addresses to join the fleet while no stream is open."""
        if self._connected:
            return
        addresses = self._unknown_addresses()
        n_addresses = min(N_JOIN_DIALS_MAX, len(addresses))
        for address in self._rng.sample(addresses, n_addresses):
            yield from self._dial(address, now_ms)

    def iter_probe_dials(self, now_ms: int) -> Iterator[Dial]:
        """Yield a dial to one address at which no usable member is known.

        After a network partition each side considers the other one gone. Without
        these probes neither side would dial the other again, and the fleet would
        stay split after the network recovers.
        """
        addresses = self._unknown_addresses()
        if addresses:
            yield from self._dial(self._rng.choice(addresses), now_ms)

    def iter_closes(self, now_ms: int) -> Iterator[Close]:
        """Yield a `Close` for each stream unwanted for at least the grace period."""
        for vm in sorted(self._connected):
            if vm in self._wanted_since_ms:
                self._unwanted_since_ms.pop(vm, None)
                continue
            since_ms = self._unwanted_since_ms.setdefault(vm, now_ms)
            if now_ms - since_ms >= self._grace_ms:
                yield Close(vm)

    def _dial(self, address: str, now_ms: int) -> Iterator[Dial]:
        if address in self._dialling or not self._backoff.is_due(address, now_ms):
            return
        self._dialling.add(address)
        yield Dial(address)

    def _unknown_addresses(self) -> list[str]:
        """Return the sorted addresses at which no usable member is known."""
        members = self._directory.members()
        usable = {m.peer_address for m in members if m.is_usable}
        return sorted((self._join_addresses | _gone_addresses(members)) - usable)


def _gone_addresses(members: Iterable[Member]) -> frozenset[str]:
    return frozenset(m.peer_address for m in members if m.state is MemberState.GONE)


__all__ = ["N_JOIN_DIALS_MAX", "NeighbourEdges"]
