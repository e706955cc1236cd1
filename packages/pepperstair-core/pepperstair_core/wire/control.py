"""Frames of control streams: configuration, members and heartbeats.

Control frames have the kind numbers 1 to 39. Every stream, control or data, starts
with `Hello`, to which the listening side replies with `Welcome`.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from ..calls.quarantine import CrashRecord
from ..members import Member, MemberRank
from ..rollout.records import Evidence, RolloutState
from ..versions import Delta, Head
from .codec import Frame

PROTOCOL_VERSION: Final = 1


class StreamKind(StrEnum):
    """The kind of frames that a stream carries."""

    CONTROL = "control"
    DATA = "data"


class Hello(Frame, tag=1):
    """Opens a stream with the identity of the connecting daemon and its purpose.

    `start_id` identifies the process and, unlike the incarnation, does not change
    while it runs: the outcome of a call may be queried only from the process that
    accepted it. `sequence` rises with each stream that the process opens: once a data
    stream is open, the receiver rejects data streams with a lower sequence.
    """

    protocol_version: int
    stream_kind: StreamKind
    vm: str
    start_id: int
    peer_address: str
    sequence: int


class Welcome(Frame, tag=2):
    """Replies to a Hello with the identity of the listening daemon.

    The dialling daemon must not treat the stream as lost before it has been silent for
    `silence_ms`, because the listening daemon's link may be slow.
    """

    vm: str
    start_id: int
    silence_ms: int = 0


class Heartbeat(Frame, tag=3):
    """Shows that the sender's event loop is running; sent on every stream.

    On data streams, `loads` holds the name of each local target and the numbers of
    its requests in flight and queued.
    """

    incarnation: int
    loads: tuple[tuple[str, int, int], ...] = ()


class Have(Frame, tag=10):
    """Announces the version of a customer that the sender holds, in force or not."""

    customer: str
    version: int


class DeltaPush(Frame, tag=11):
    """Pushes a new version to a neighbour as a delta."""

    delta: Delta


class Pull(Frame, tag=12):
    """Requests a customer's version; `held_version` is 0 if none is held."""

    customer: str
    held_version: int


class SnapshotPart(Frame, tag=13):
    """Carries a part of a full snapshot.

    A large snapshot in a single frame would block the stream for other frames.
    """

    head: Head
    index: int
    n_parts: int
    data: bytes


class Prune(Frame, tag=14):
    """Requests that a customer's versions be announced instead of pushed."""

    customer: str


class Busy(Frame, tag=15):
    """Rejects a Pull for now, and names other daemons that hold the version."""

    customer: str
    retry_after_ms: int
    other_addresses: tuple[str, ...]


class Acknowledge(Frame, tag=16):
    """Reports to the collecting daemon on which VMs a version is in force."""

    collector: str
    customer: str
    version: int
    vms: tuple[str, ...]


class HeadsDigest(Frame, tag=17):
    """Compares the versions that both sides hold, to repair missed updates.

    A request carries the digest without `versions`. If the digests differ, the
    receiver answers with its versions, and each side then pulls what it lacks. A
    request with an empty digest is always answered. `has_known_floor` is set if the
    sender has determined its floor at least once since its process started; a daemon
    that has just started does not know which versions it held before. An answer repeats
    the `number` of its request, so that an answer that was buffered while the
    requesting process was paused is recognised as stale.
    """

    digest: bytes
    has_known_floor: bool
    number: int = 0
    is_answer: bool = False
    versions: tuple[tuple[str, int], ...] = ()


class Inquire(Frame, tag=18):
    """Requests that the fleet acknowledge a version to the collecting daemon.

    Every daemon forwards the inquiry once. Acknowledgements return along the path on
    which the inquiry was received.
    """

    collector: str
    number: int
    customer: str
    version: int


class PollerSign(Frame, tag=19):
    """Beacon by which a poller notifies the daemons in its zone that it is alive.

    `is_platform_reachable` states whether the platform answered the last poll. `number`
    distinguishes the beacons of one poller, so that each is forwarded once.
    """

    vm: str
    number: int
    is_platform_reachable: bool


class MemberUpdate(Frame, tag=20):
    """Carries member records that have changed or that the receiver lacks."""

    members: tuple[Member, ...]


class MembersDigest(Frame, tag=21):
    """Compares the member records of both sides, to repair missed updates.

    `digests` holds one digest per bucket of members. The receiver answers with
    `MemberRanks` if any of them differ, and does not answer otherwise.
    """

    digests: bytes


class MemberRanks(Frame, tag=22):
    """Lists the records that the sender holds in the differing buckets.

    Without `buckets` it lists changed records, for a receiver in another zone.
    The receiver sends the records that are missing or older at the sender, and
    requests those that are missing or older on its own side.
    """

    buckets: bytes
    ranks: tuple[MemberRank, ...]


class MembersPull(Frame, tag=23):
    """Requests the records of some members."""

    vms: tuple[str, ...]


class DocumentHave(Frame, tag=24):
    """Announces the version of the followed document that the sender has in force."""

    version: int


class DocumentPull(Frame, tag=25):
    """Requests the followed document from a receiver that has a newer version."""

    held_version: int


class DocumentCopy(Frame, tag=26):
    """Carries the followed document as read from its source, compressed.

    `position` is the position in the source's history up to which changes were known
    when it was read. `age_ms` is the time since the document was known to be the
    newest, -1 if unknown, when the frame was made. `platform_ms` is the same moment on
    the platform's clock, 0 if unknown, which stays exact while the frame is delayed.
    """

    compressed: bytes
    position: int
    age_ms: int = -1
    platform_ms: int = 0


class DocumentFresh(Frame, tag=27):
    """Confirms that the sender's version of the document was the newest `age_ms` ago.

    `position` is the position in the source's history at that time, and `platform_ms`
    has the same meaning as in `DocumentCopy`.
    """

    version: int
    position: int
    age_ms: int
    platform_ms: int = 0


class DocumentDelta(Frame, tag=28):
    """Carries the changes to the followed document since a version, compressed.

    `position`, `age_ms` and `platform_ms` have the same meaning as in `DocumentCopy`.
    """

    base_version: int
    compressed: bytes
    position: int
    age_ms: int = -1
    platform_ms: int = 0


class CrashRecords(Frame, tag=29):
    """Reports the requests that were running when targets crashed."""

    records: tuple[CrashRecord, ...]


class RolloutUpdate(Frame, tag=30):
    """Carries roll-outs and the evidence about their versions.

    Each daemon forwards what is new to it.
    """

    states: tuple[RolloutState, ...]
    evidence: tuple[Evidence, ...]


class DocumentAsk(Frame, tag=31):
    """Asks for a proof that the receiver's version of the document is the newest."""

    number: int


class DocumentProof(Frame, tag=32):
    """Answers the question `number`: the version was the newest `age_ms` ago.

    `age_ms` is negative if the sender has no proof.
    """

    number: int
    version: int
    age_ms: int


ControlFrame = (
    Hello
    | Welcome
    | Heartbeat
    | Have
    | DeltaPush
    | Pull
    | SnapshotPart
    | Prune
    | Busy
    | Acknowledge
    | Inquire
    | PollerSign
    | MemberUpdate
    | MembersDigest
    | MemberRanks
    | MembersPull
    | HeadsDigest
    | DocumentHave
    | DocumentPull
    | DocumentCopy
    | DocumentFresh
    | DocumentDelta
    | CrashRecords
    | RolloutUpdate
    | DocumentAsk
    | DocumentProof
)

__all__ = [
    "PROTOCOL_VERSION",
    "Acknowledge",
    "Busy",
    "ControlFrame",
    "DocumentCopy",
    "DocumentDelta",
    "DocumentFresh",
    "DocumentHave",
    "DocumentPull",
    "DeltaPush",
    "Have",
    "Heartbeat",
    "HeadsDigest",
    "Hello",
    "Inquire",
    "MemberUpdate",
    "MemberRanks",
    "MembersDigest",
    "PollerSign",
    "MembersPull",
    "Prune",
    "Pull",
    "SnapshotPart",
    "StreamKind",
    "CrashRecords",
    "DocumentAsk",
    "DocumentProof",
    "RolloutUpdate",
    "Welcome",
]
