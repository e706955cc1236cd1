"""An in-memory network that carries out the membership decisions."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from msgspec.structs import replace

from pepperstair_core.config import MembersSettings, PeersSettings
from pepperstair_core.members import Member, MemberState
from pepperstair_core.membership import (
    Close,
    Dial,
    MemberDirectory,
    Membership,
    Send,
)

TICK_MS = 250


@dataclass
class Node:
    """One daemon of the fake fleet."""

    vm: str
    zone: str
    membership: Membership
    is_up: bool = True

    @property
    def view(self) -> dict[str, int]:
        """Return the usable members and the sequence of each."""
        members = self.membership.directory.members()
        return {m.vm: m.sequence for m in members if m.is_usable}


class FakeNetwork:
    """Delivers frames between nodes, with drops, duplicates and partitions."""

    def __init__(self, seed: int, zones: list[str], seeds: tuple[str, ...]) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.nodes: dict[str, Node] = {}
        self.streams: set[frozenset[str]] = set()
        self.queue: list[tuple[int, str, str, Any]] = []
        self.cut_zones: frozenset[str] = frozenset()
        self.drop_probability = 0.0
        self.duplicate_probability = 0.0
        self.n_frames: dict[str, int] = {}
        self._seeds = seeds
        for index, zone in enumerate(zones):
            self.start(f"vm-{index:03d}", zone)

    def start(self, vm: str, zone: str) -> None:
        """Start a daemon, or start one again that was killed."""
        self.close_streams(vm)
        incarnation = self.now_ms + 1
        sequence = 1_000_000 * incarnation
        own = Member(vm, incarnation, sequence, MemberState.ALIVE, zone, vm, ())
        membership = Membership(
            MemberDirectory(own),
            MembersSettings(),
            PeersSettings("", seed_addresses=self._seeds),
            random.Random(self.rng.random()),
            self.now_ms,
        )
        self.nodes[vm] = Node(vm, zone, membership)

    def kill(self, vm: str) -> None:
        """Stop a daemon without a word."""
        self.nodes[vm].is_up = False
        self.close_streams(vm)

    def close_streams(self, vm: str) -> None:
        """Break every stream of a daemon."""
        for pair in [pair for pair in self.streams if vm in pair]:
            self.break_stream(pair)

    def break_stream(self, pair: frozenset[str]) -> None:
        """Break one stream for both of its ends."""
        self.streams.discard(pair)
        one, other = sorted(pair)
        ends = [(one, other), (other, one)]
        decided = [
            (vm, list(self.nodes[vm].membership.close(peer, self.now_ms)))
            for vm, peer in ends
            if self.nodes[vm].is_up
        ]
        for vm, actions in decided:
            self.act(vm, actions)

    def touch(self, vm: str) -> None:
        """Change a daemon's own record, as a target that comes or goes does."""
        membership = self.nodes[vm].membership
        own = membership.directory.own()
        self.act(vm, membership.publish(replace(own, sequence=own.sequence + 1)))

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            self._deliver()
            for node in list(self.nodes.values()):
                if node.is_up:
                    self.act(node.vm, node.membership.tick(self.now_ms))
                    self._flush(node)

    def act(self, vm: str, actions: Any) -> None:
        """Carry out what a node's membership decided."""
        for action in list(actions):
            if isinstance(action, Send):
                self._send(vm, action.vm, action.frame)
            elif isinstance(action, Dial):
                self._dial(vm, action.address)
            elif isinstance(action, Close):
                self.break_stream(frozenset((vm, action.vm)))

    def is_reachable(self, one: str, other: str) -> bool:
        """Return whether nothing cuts two daemons off each other."""
        zones = {self.nodes[one].zone, self.nodes[other].zone}
        return len(zones) == 1 or not zones & self.cut_zones

    def up(self) -> list[Node]:
        """Return the nodes that run."""
        return [node for node in self.nodes.values() if node.is_up]

    def _flush(self, node: Node) -> None:
        while node.membership.is_flush_due:
            self.act(node.vm, node.membership.flush(lambda vm: True, self.now_ms))

    def _dial(self, vm: str, address: str) -> None:
        other = self.nodes.get(address)
        membership = self.nodes[vm].membership
        if other is None or not other.is_up or not self.is_reachable(vm, address):
            is_refused = other is not None and not other.is_up
            self.act(vm, membership.fail(address, is_refused, self.now_ms))
            return
        pair = frozenset((vm, address))
        if pair in self.streams:
            membership.mark_reached(address)
            return
        self.streams.add(pair)
        self.act(vm, membership.open(address, address, True, self.now_ms))
        self.act(address, other.membership.open(vm, vm, False, self.now_ms))

    def _send(self, sender: str, receiver: str, frame: Any) -> None:
        name = type(frame).__name__
        self.n_frames[name] = self.n_frames.get(name, 0) + 1
        if self.rng.random() < self.drop_probability:
            return
        n_copies = 2 if self.rng.random() < self.duplicate_probability else 1
        for _ in range(n_copies):
            delay_ms = self.rng.randint(1, 2 * TICK_MS)
            self.queue.append((self.now_ms + delay_ms, sender, receiver, frame))

    def _deliver(self) -> None:
        due = [item for item in self.queue if item[0] <= self.now_ms]
        self.queue = [item for item in self.queue if item[0] > self.now_ms]
        self.rng.shuffle(due)
        for _, sender, receiver, frame in due:
            is_open = frozenset((sender, receiver)) in self.streams
            if is_open and self.is_reachable(sender, receiver):
                membership = self.nodes[receiver].membership
                self.act(receiver, membership.receive(sender, frame, self.now_ms))


__all__ = ["FakeNetwork", "Node"]
