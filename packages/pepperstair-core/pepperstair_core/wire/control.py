"""Frames of control streams: configuration, members and heartbeats.

Kind numbers 1 to 39. Every stream, control or data, opens with `Hello`, which
the listening side answers with `Welcome`.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from ..calls.quarantine import CrashRecord
from ..members import Member, MemberRank
from ..versions import Delta, Head
from .codec import Frame

PROTOCOL_VERSION: Final = 1


class StreamKind(StrEnum):
    """What a stream carries."""

    CONTROL = "control"
    DATA = "data"


class Hello(Frame, tag=1):
    """Opens a stream: who connects, and what the stream is for.

    `start_id` names the process, whatever its incarnation becomes: a call may
    be asked for again only from the process that took it. `sequence` rises with
    each stream that the process opens, and fences off the earlier ones.
    """

    protocol_version: int
    stream_kind: StreamKind
    vm: str
    start_id: int
    peer_address: str
    sequence: int


class Welcome(Frame, tag=2):
    """Answers a Hello with the identity of the listening daemon.

    Its streams may be silent for `silence_ms` without being lost, as its link is slow.
    """

    vm: str
    start_id: int
    silence_ms: int = 0


class Heartbeat(Frame, tag=3):
    """Says that the sender's loop still runs; sent on every stream.

    `loads` gives, on data streams, each local target with the requests it has
    in flight and waiting.
    """

    incarnation: int
    loads: tuple[tuple[str, int, int], ...] = ()


class Have(Frame, tag=10):
    """Says which version of a customer the sender holds, in force or not."""

    customer: str
    version: int


class DeltaPush(Frame, tag=11):
    """Carries a new version to a neighbour as a difference."""

    delta: Delta


class Pull(Frame, tag=12):
    """Asks for a customer's version; `held_version` is 0 for nothing held."""

    customer: str
    held_version: int


class SnapshotPart(Frame, tag=13):
    """Carries a piece of a full snapshot, so that none blocks the stream."""

    head: Head
    index: int
    n_parts: int
    data: bytes


class Prune(Frame, tag=14):
    """Asks the neighbour to announce this customer instead of pushing it."""

    customer: str


class Busy(Frame, tag=15):
    """Declines a Pull for now and names other daemons to ask."""

    customer: str
    retry_after_ms: int
    other_addresses: tuple[str, ...]


class Acknowledge(Frame, tag=16):
    """Tells, towards the collecting daemon, where a version is in force."""

    collector: str
    customer: str
    version: int
    vms: tuple[str, ...]


class HeadsDigest(Frame, tag=17):
    """Compares the versions that both sides hold, for repair of what was missed.

    Without `versions` it only carries the digest; where the digests differ, the
    receiver answers with its versions, and each side then pulls what it lacks.
    An empty digest asks for the answer in any case. `has_known_floor`
    says that the sender remembers what it held, unlike a daemon that has just
    started. An answer repeats the question's `number`, so that one which waited in a
    buffer while the asking process was paused isn't taken for news.
    """

    digest: bytes
    has_known_floor: bool
    number: int = 0
    is_answer: bool = False
    versions: tuple[tuple[str, int], ...] = ()


class Inquire(Frame, tag=18):
    """Asks the fleet to acknowledge a version towards the collecting daemon.

    It is passed on once by every daemon, and the way it came is the way that
    the acknowledgements go back.
    """

    collector: str
    number: int
    customer: str
    version: int


class PollerSign(Frame, tag=19):
    """Says within a zone that a poller lives, and whether the platform answers.

    `number` tells the signs of one poller apart, so that each is passed on once.
    """

    vm: str
    number: int
    is_platform_reachable: bool


class MemberUpdate(Frame, tag=20):
    """Carries member records that are new to the sender."""

    members: tuple[Member, ...]


class MembersDigest(Frame, tag=21):
    """Compares the member records of both sides, for repair of what was missed.

    `digests` holds one digest a bucket of members; the receiver answers with
    `MemberRanks` where some differ, and not at all where none does.
    """

    digests: bytes


class MemberRanks(Frame, tag=22):
    """Tells which records the sender holds in the buckets that differ.

    The receiver sends the records that are newer on its side, and asks for
    those that are older or missing there.
    """

    buckets: bytes
    ranks: tuple[MemberRank, ...]


class MembersPull(Frame, tag=23):
    """Asks for the records of some members."""

    vms: tuple[str, ...]


class DocumentHave(Frame, tag=24):
    """Says which version of the followed document the sender has in force."""

    version: int


class DocumentPull(Frame, tag=25):
    """Asks for the followed document, as the receiver's one is newer."""

    held_version: int


class DocumentCopy(Frame, tag=26):
    """Carries the followed document as it stands in its source, packed.

    `position` is how far the source's history was known when it was read there, and
    `age_ms` how long ago it was known to be the newest, -1 where that is not known.
    """

    compressed: bytes
    position: int
    age_ms: int = -1


class DocumentFresh(Frame, tag=27):
    """Says that the sender's version of the document was the newest a while ago.

    `position` is that of the source's history at that moment.
    """

    version: int
    position: int
    age_ms: int


class DocumentDelta(Frame, tag=28):
    """Carries what changed in the followed document since a version, packed.

    The other fields are those of a copy.
    """

    base_version: int
    compressed: bytes
    position: int
    age_ms: int = -1


class CrashRecords(Frame, tag=29):
    """Tells which requests were running when targets crashed."""

    records: tuple[CrashRecord, ...]


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
    "Welcome",
]
