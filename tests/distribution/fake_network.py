"""Distributions connected by in-memory queues, with a fake platform."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from msgspec.structs import replace

from pepperstair_core import distribution as d
from pepperstair_core.intent import Intent, Route, Service
from pepperstair_core.members import Member, MemberState
from pepperstair_core.rendezvous import weight
from pepperstair_core.versions import Head, Snapshot, digest_of, encode_intent
from pepperstair_core.wire import encode_frame

TICK_MS = 50
N_BUCKETS = 16


def make_intent(customer: str, label: str, n_routes: int = 3) -> Intent:
    """Return a document whose routes depend on the label."""
    routes = tuple(
        Route(f"route-{number}", f"/{label}/{number}", "ledger")
        for number in range(n_routes)
    )
    return Intent(customer, (Service("ledger", "app=ledger"),), routes)


@dataclass
class Node:
    """One running distribution and the versions it has put in force."""

    distribution: d.Distribution
    incarnation: int
    neighbours: set[str] = field(default_factory=set)
    in_force: dict[str, Snapshot] = field(default_factory=dict)
    history: dict[str, list[int]] = field(default_factory=dict)
    actions: list[Any] = field(default_factory=list)


class FakeNetwork:
    """Delivers frames in a seeded order.

    Frames can be dropped or duplicated, streams closed and daemons paused.
    """

    def __init__(self, seed: int = 1, timing: d.Timing | None = None) -> None:
        self.rng = random.Random(seed)
        self.timing = timing
        self.now_ms = 0
        self.nodes: dict[str, Node] = {}
        self.zones: dict[str, str] = {}
        self.heads: dict[str, Head] = {}
        self.objects: dict[str, bytes] = {}
        self.bucket_tokens: dict[int, str] = {}
        self.has_platform_outage = False
        self.n_reads = 0
        self.drop_probability = 0.0
        self.duplicate_probability = 0.0
        self.is_partitioned: Callable[[str, str], bool] = lambda a, b: False
        self.paused_vms: set[str] = set()
        self.sent: dict[str, int] = {}
        self._queue: list[tuple[int, int, str, int, str, Any]] = []
        self._n_queued = 0

    def start(self, vm: str, zone: str = "z") -> Node:
        """Start a daemon, or start a killed one again with empty state."""
        self.zones[vm] = zone
        rng = random.Random(f"{vm}/{self.now_ms}/{self.rng.random()}")
        node = Node(d.Distribution(vm, zone, rng, self.timing), self.now_ms + 1)
        self.nodes[vm] = node
        self._connect()
        return node

    def kill(self, vm: str) -> None:
        """Kill a daemon: its streams are closed and its state is lost."""
        del self.nodes[vm]
        for other, node in self.nodes.items():
            if vm in node.neighbours:
                node.neighbours.discard(vm)
                self.handle(other, d.NeighbourDown(vm))
        self._notify_member_changes()

    def set_partition(self, is_partitioned: Callable[[str, str], bool]) -> None:
        """Close the streams of partitioned pairs of daemons; reconnect all others."""
        self.is_partitioned = is_partitioned
        self._connect()

    def accept(self, vm: str, intent: Intent) -> Snapshot:
        """Commit a change on the platform and pass it to the accepting daemon."""
        snapshot = self.commit(intent, vm)
        self.handle(vm, d.ChangeAccepted(snapshot))
        return snapshot

    def commit(self, intent: Intent, accepted_by: str) -> Snapshot:
        """Commit a change on the platform without notifying any daemon.

        This simulates an accepting daemon that crashes before it announces the change.
        """
        body = encode_intent(intent)
        customer = intent.customer
        known = self.heads.get(customer)
        version = known.version + 1 if known else 1
        change_id = f"{customer}-{version}"
        head = Head(customer, version, digest_of(body), 0, accepted_by, change_id)
        self.heads[customer] = head
        self.objects[head.digest] = body
        self.bucket_tokens[bucket_of(customer)] = change_id
        return Snapshot(head, body, intent)

    def run(self, duration_ms: int) -> None:
        """Advance the virtual time."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            for vm in list(self.nodes):
                if vm not in self.paused_vms:
                    self.handle(vm, d.Tick())
            self._deliver_until(self.now_ms + TICK_MS)
            self.now_ms += TICK_MS

    def run_until(self, condition: Callable[[], bool], limit_ms: int = 30_000) -> int:
        """Advance the time until a condition holds, and return the elapsed time."""
        start_ms = self.now_ms
        while not condition():
            assert self.now_ms - start_ms < limit_ms, "condition not met in time"
            self.run(TICK_MS)
        return self.now_ms - start_ms

    def all_in_force(self, customer: str, version: int) -> bool:
        """Return whether every daemon has a version in force."""
        return all(
            customer in node.in_force
            and node.in_force[customer].head.version == version
            for node in self.nodes.values()
        )

    def handle(self, vm: str, event: d.DistributionEvent) -> None:
        """Pass an event to a daemon, and execute its actions immediately."""
        node = self.nodes[vm]
        for action in node.distribution.handle(event, self.now_ms):
            node.actions.append(action)
            self._execute(vm, node, action)
        if node.distribution.state.inbox and not isinstance(event, d.ApplyNext):
            while node.distribution.state.inbox:
                self.handle(vm, d.ApplyNext())

    def deliver(self, sender: str, receiver: str, frame: Any) -> None:
        """Deliver a frame to a daemon immediately."""
        self.handle(receiver, d.FrameReceived(sender, frame))

    def _execute(self, vm: str, node: Node, action: Any) -> None:
        match action:
            case d.Send(receiver, frame):
                self._send(vm, receiver, frame)
            case d.PutInForce(snapshot):
                head = snapshot.head
                assert digest_of(snapshot.body) == head.digest
                node.in_force[head.customer] = snapshot
                node.history.setdefault(head.customer, []).append(head.version)
            case d.ReadBucketTokens():
                bucket_tokens = dict(self.bucket_tokens)
                self._answer(
                    vm, node, d.BucketTokensRead(self._unless_outage(bucket_tokens))
                )
            case d.ReadHeads(bucket, number):
                heads = tuple(
                    head
                    for customer, head in self.heads.items()
                    if bucket in (None, bucket_of(customer))
                )
                self._answer(
                    vm, node, d.HeadsRead(bucket, self._unless_outage(heads), number)
                )
            case d.ReadHead(customer):
                head = self._unless_outage(self.heads.get(customer))
                self._answer(vm, node, d.HeadRead(customer, head))
            case d.FetchObject(head):
                body = self._unless_outage(self.objects.get(head.digest))
                self._answer(vm, node, d.ObjectFetched(head, body))

    def _unless_outage(self, answer: Any) -> Any:
        return None if self.has_platform_outage else answer

    def _answer(self, vm: str, node: Node, event: d.DistributionEvent) -> None:
        self.n_reads += 1
        self._put(vm, node.incarnation, "", event)

    def _send(self, sender: str, receiver: str, frame: Any) -> None:
        node = self.nodes.get(receiver)
        if node is None or receiver not in self.nodes[sender].neighbours:
            return
        kind = type(frame).__name__
        self.sent[kind] = self.sent.get(kind, 0) + len(encode_frame(frame))
        if self.rng.random() < self.drop_probability:
            return
        n_copies = 2 if self.rng.random() < self.duplicate_probability else 1
        for _ in range(n_copies):
            self._put(receiver, node.incarnation, sender, frame)

    def _put(self, vm: str, incarnation: int, sender: str, item: Any) -> None:
        due_ms = self.now_ms + self.rng.randrange(1, 10)
        self._n_queued += 1
        entry = (due_ms, self._n_queued, vm, incarnation, sender, item)
        heapq.heappush(self._queue, entry)

    def _deliver_until(self, until_ms: int) -> None:
        while self._queue and self._queue[0][0] < until_ms:
            due_ms, _, vm, incarnation, sender, item = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, due_ms)
            node = self.nodes.get(vm)
            if node is None or node.incarnation != incarnation or vm in self.paused_vms:
                continue
            if not sender:
                self.handle(vm, item)
            elif sender in node.neighbours:
                self.deliver(sender, vm, item)
        self.now_ms = until_ms - TICK_MS

    def _connect(self) -> None:
        """Connect every pair that isn't partitioned, and disconnect the others."""
        self._notify_member_changes()
        for vm, node in self.nodes.items():
            wanted = {
                o for o in self.nodes if o != vm and not self.is_partitioned(vm, o)
            }
            for other in sorted(node.neighbours - wanted):
                node.neighbours.discard(other)
                self.handle(vm, d.NeighbourDown(other))
            for other in sorted(wanted - node.neighbours):
                node.neighbours.add(other)
        for vm, node in self.nodes.items():
            known = node.distribution.state.fleet.neighbours
            for other in sorted(node.neighbours - known):
                self.handle(vm, d.NeighbourUp(other))

    def _notify_member_changes(self) -> None:
        for vm in self.nodes:
            members = tuple(self._members(vm))
            self.handle(vm, d.MembersChanged(members))

    def _members(self, viewer: str) -> Iterable[Member]:
        for vm, zone in self.zones.items():
            is_seen = vm in self.nodes and not self.is_partitioned(viewer, vm)
            member = Member(vm, 1, 0, MemberState.ALIVE, zone, f"{vm}:1", ())
            yield member if is_seen else replace(member, state=MemberState.GONE)


def bucket_of(customer: str) -> int:
    """Return the bucket of a customer's head."""
    return weight("bucket", customer) % N_BUCKETS


def versions_only_increase(network: FakeNetwork) -> bool:
    """Return whether no daemon ever returned to an older version."""
    return all(
        versions == sorted(set(versions))
        for node in network.nodes.values()
        for versions in node.history.values()
    )


def start_ready_network(n_nodes: int, seed: int = 1, n_zones: int = 1) -> FakeNetwork:
    """Return a network of ready daemons."""
    network = FakeNetwork(seed)
    for number in range(n_nodes):
        network.start(f"vm-{number}", f"z{number % n_zones}")
    network.run_until(
        lambda: all(n.distribution.floor.is_known for n in network.nodes.values())
    )
    return network
