"""Which control streams to open and to close."""

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
    """The neighbours that are wanted and the streams that are up.

    Of two daemons that want each other the one with the lower name dials; the
    other does so after `patience_ms`, as the views of both may differ for a
    while. A stream that nobody wants is closed after `grace_ms`.
    """

    def __init__(
        self,
        directory: MemberDirectory,
        seed_addresses: Iterable[str],
        patience_ms: int,
        rng: Random,
    ) -> None:
        self._directory = directory
        self._own_vm = directory.own().vm
        self._patience_ms = patience_ms
        self._grace_ms = 4 * patience_ms
        self._rng = rng
        self._backoff = DialBackoff(rng)
        self._wanted_since_ms: dict[str, int] = {}
        self._up: set[str] = set()
        self._unwanted_since_ms: dict[str, int] = {}
        self._dialling: set[str] = set()
        self._seed_addresses = frozenset(seed_addresses)
        self._entry_addresses = self._seed_addresses

    @property
    def wanted(self) -> frozenset[str]:
        """Return the VMs that a stream is wanted to."""
        return frozenset(self._wanted_since_ms)

    @property
    def up(self) -> frozenset[str]:
        """Return the VMs that a stream is open to."""
        return frozenset(self._up)

    def enter_through(self, addresses: Iterable[str]) -> None:
        """Replace the found addresses through which the fleet may be reached."""
        self._entry_addresses = self._seed_addresses | frozenset(addresses)

    def want(self, vms: frozenset[str], now_ms: int) -> None:
        """Replace the set of wanted neighbours."""
        known = self._wanted_since_ms
        self._wanted_since_ms = {vm: known.get(vm, now_ms) for vm in sorted(vms)}

    def hurry(self, vm: str, now_ms: int) -> None:
        """Dial a wanted neighbour without waiting for it to do so."""
        if vm in self._wanted_since_ms:
            self._wanted_since_ms[vm] = now_ms - self._patience_ms

    def open(self, vm: str, address: str) -> None:
        """Note that a stream came up."""
        self._up.add(vm)
        self._unwanted_since_ms.pop(vm, None)
        self.mark_reached(address)

    def mark_reached(self, address: str) -> None:
        """Note that an address was reached."""
        self._dialling.discard(address)
        self._backoff.succeed(address)

    def close(self, vm: str) -> None:
        """Note that a stream is gone."""
        self._up.discard(vm)
        self._unwanted_since_ms.pop(vm, None)

    def fail(self, address: str, now_ms: int) -> None:
        """Note that an address could not be reached."""
        self._dialling.discard(address)
        self._backoff.fail(address, now_ms)

    def iter_dials(self, now_ms: int) -> Iterator[Dial]:
        """Yield the wanted neighbours that are to be dialled now."""
        for vm, since_ms in self._wanted_since_ms.items():
            member = self._directory.get(vm)
            if vm in self._up or member is None:
                continue
            is_ours = self._own_vm < vm or now_ms - since_ms >= self._patience_ms
            if is_ours:
                yield from self._dial(member.peer_address, now_ms)

    def iter_entries(self, now_ms: int) -> Iterator[Dial]:
        """Yield addresses to join through, while there is no neighbour at all."""
        if self._up:
            return
        addresses = self._strangers()
        n_addresses = min(N_JOIN_DIALS_MAX, len(addresses))
        for address in self._rng.sample(addresses, n_addresses):
            yield from self._dial(address, now_ms)

    def iter_probe(self, now_ms: int) -> Iterator[Dial]:
        """Yield one address beyond the known fleet.

        A zone that was cut off holds the others for gone, and they it; nobody
        would ever dial across again, and each side would go on alone.
        """
        addresses = self._strangers()
        if addresses:
            yield from self._dial(self._rng.choice(addresses), now_ms)

    def iter_closes(self, now_ms: int) -> Iterator[Close]:
        """Yield the streams that have not been wanted for a while."""
        for vm in sorted(self._up):
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

    def _strangers(self) -> list[str]:
        """Return the addresses at which nobody usable is known, in order."""
        members = self._directory.members()
        usable = {m.peer_address for m in members if m.is_usable}
        return sorted((self._entry_addresses | _gone_addresses(members)) - usable)


def _gone_addresses(members: Iterable[Member]) -> frozenset[str]:
    return frozenset(m.peer_address for m in members if m.state is MemberState.GONE)


__all__ = ["N_JOIN_DIALS_MAX", "NeighbourEdges"]
