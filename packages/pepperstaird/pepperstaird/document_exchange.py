"""Exchanges versions of the followed document, and their freshness, with neighbours."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

import structlog

from pepperstair_core.document_delta import apply_delta, make_delta
from pepperstair_core.events import Event
from pepperstair_core.following import FollowedDocumentState, OfferResult
from pepperstair_core.platform_clock import PlatformClock
from pepperstair_core.shared_reading import ReadSchedule
from pepperstair_core.wire import (
    DocumentAsk,
    DocumentCopy,
    DocumentDelta,
    DocumentFresh,
    DocumentHave,
    DocumentProof,
    DocumentPull,
    compress,
    decompress,
)
from pepperstair_peers import ControlPlane

from .clock import boot_ms
from .document_uploads import DocumentUploads
from .proof_exchange import ProofExchange

log = structlog.get_logger(__name__)

# Time after which a pull that was not answered is sent to another neighbour, unless a
# schedule states it.
_PULL_RETRY_S: Final = 0.75
# Delay of a pull while this daemon's own watch may deliver the version that a neighbour
# already has. Without the delay, every daemon that watches the table would receive each
# version twice.
_PULL_DELAY_S: Final = 0.25
# Time after which a version whose document was rejected is pulled again. A document
# that this release can't parse stays unreadable, a copy that was damaged does not.
REJECTED_RETRY_S: Final = 30.0
# Number of versions whose documents are kept as bases of deltas.
_N_RECENT_DOCUMENTS_MAX: Final = 3
# Maximum size of a delta as a share of the size of a full copy. If a delta is larger,
# the full copy is sent, because the delta would save too little.
_DELTA_MAX_SHARE: Final = 0.5


class DocumentExchange:
    """Announces, pulls and sends versions of the document among neighbours.

    `offer` is called with each document that a neighbour sent and with the neighbour's
    VM, `read_number` returns the version of a document even if the rest of it is
    invalid, and `is_watching` whether this daemon's own watch delivers new versions.
    `position` is the newest known position in the history of the table. With a
    `schedule`, confirmations that a version was the newest are forwarded too.
    `is_newest_known` is false after this daemon has rejected the newest version in the
    table, which other daemons may accept; meanwhile it does not confirm its own version
    as the newest. `proofs` exchanges what proves that the version in force is the
    newest, for which confirmations are not strict enough. `clock` relates the
    platform's clock, by which confirmations are dated between daemons, to this VM's.
    `on_awaiting` is called when a neighbour announces a version that is missing here.
    `upload_s` returns the seconds that the VM's link takes to send a number of bytes.
    """

    def __init__(
        self,
        control: ControlPlane,
        following: FollowedDocumentState,
        offer: Callable[[bytes, str], OfferResult],
        read_number: Callable[[bytes], int | None],
        is_watching: Callable[[], bool],
        schedule: ReadSchedule | None,
        proofs: ProofExchange,
        clock: PlatformClock,
        on_awaiting: Callable[[], None],
        upload_s: Callable[[int], float],
    ) -> None:
        self._proofs = proofs
        self._clock = clock
        self._on_awaiting = on_awaiting
        self._control = control
        self._following = following
        self._offer = offer
        self._read_number = read_number
        self._is_watching = is_watching
        self._schedule = schedule
        self._uploads = DocumentUploads(
            control.send,
            upload_s,
            lambda: following.version,
            lambda: self._pull_retry_s,
        )
        self._recent_documents: dict[int, bytes] = {}
        # The document in force, compressed, and its compressed delta by base version.
        self._compressed = b""
        self._compressed_deltas: dict[int, bytes] = {}
        # Maps each neighbour whose pull can't be answered yet to the version that the
        # neighbour holds.
        self._pending_pulls: dict[str, int] = {}
        self._announced_version = 0
        self._pulled_vm = ""
        self._pull_base_version: int | None = None
        self._pulled_s = 0.0
        self._pull_timer: asyncio.TimerHandle | None = None
        # The newest version that neighbours announced, the VMs to pull it from, and
        # those of them that are known to hold it.
        self._newest_version = 0
        self._sources: list[str] = []
        self._holders: set[str] = set()
        self._awaiting_since_ms = 0
        # Versions up to this one are not pulled until the timer runs out, because their
        # document was rejected.
        self._rejected_version = 0
        self._rejected_timer: asyncio.TimerHandle | None = None
        self.position: int | None = None
        self.is_newest_known = True
        # The neighbour that sent the newest confirmation, empty if it came from a read.
        self.confirmed_by = ""
        # The moment of that confirmation on the platform's clock, 0 if unknown.
        self._confirmed_platform_ms = 0

    def start(self) -> None:
        """Register callbacks with the control plane."""
        self._control.neighbour_up_callbacks.append(self._send_state)
        self._control.neighbour_down_callbacks.append(self._on_neighbour_down)
        self._control.on_configuration_frame = self._on_frame

    def close(self) -> None:
        """Stop pulling versions."""
        self._uploads.close()
        for timer in (self._pull_timer, self._rejected_timer):
            if timer is not None:
                timer.cancel()

    @property
    def is_superseded(self) -> bool:
        """Return whether other daemons have accepted a version rejected here."""
        return (
            not self.is_newest_known and self._newest_version > self._following.version
        )

    @property
    def announced_version(self) -> int:
        """Return the newest version that neighbours announced and none rejected."""
        return self._newest_version if self._is_awaiting else self._following.version

    @property
    def awaiting_since_ms(self) -> int | None:
        """Return since when an announced version is missing, None if none is.

        The time starts anew with each version that is put in force.
        """
        return self._awaiting_since_ms if self._is_awaiting else None

    @property
    def _is_awaiting(self) -> bool:
        known_version = max(self._following.version, self._rejected_version)
        return self._newest_version > known_version

    def publish_version(self) -> None:
        """Announce the version just put in force, and answer pending pulls of it."""
        self._awaiting_since_ms = boot_ms()
        document = self._following.document
        self._recent_documents[document.version] = document.data
        for version in sorted(self._recent_documents)[:-_N_RECENT_DOCUMENTS_MAX]:
            del self._recent_documents[version]
        self._compressed = b""
        self._compressed_deltas.clear()
        pending_pulls, self._pending_pulls = self._pending_pulls, {}
        for vm, held_version in pending_pulls.items():
            self._answer_pull(vm, held_version)
        self._announce(document.version)

    def age_ms(self) -> int:
        """Return how long ago this version was known to be newest, -1 if unknown."""
        if self._schedule is None or not self._schedule.is_confirmed:
            return -1
        if not self.is_newest_known:
            return -1
        return max(0, int(boot_ms() - self._schedule.confirmed_ms))

    def _announce(self, version: int, source_vm: str = "") -> None:
        """Announce a version to the neighbours as soon as it is known to exist.

        The neighbours pull it immediately, and their pulls are answered as soon as the
        version arrives here. Its propagation through the fleet then takes only the time
        of the transfers, without the time that each daemon on the path needs to read
        the document. `source_vm` is the neighbour that announced the version, empty if
        this daemon has put it in force.
        """
        if version <= self._announced_version:
            return
        self._announced_version = version
        for vm in self._control.neighbours:
            if vm != source_vm:
                self._control.send(vm, DocumentHave(version))

    def confirm(
        self,
        position: int,
        as_of_ms: float,
        platform_ms: int,
        source_vm: str = "",
    ) -> None:
        """Record that the version in force was the newest, and notify neighbours.

        `as_of_ms` is the moment of the confirmation on the clock of `boot_ms`,
        `platform_ms` the same on the platform's clock, 0 if unknown, and `source_vm`
        the neighbour that sent it, empty if this daemon read the table.
        """
        self._advance_position(position)
        if source_vm:
            self.is_newest_known = True
        if self._schedule is None:
            return
        if as_of_ms > self._schedule.confirmed_ms:
            self.confirmed_by = source_vm
            self._confirmed_platform_ms = platform_ms
        if not self._schedule.confirm(as_of_ms):
            return
        if not self.is_newest_known:
            return
        for vm in self._control.neighbours:
            if vm != source_vm:
                self._control.send(vm, self._freshness_frame())

    def _advance_position(self, position: int) -> None:
        self.position = max(self.position or 0, position) or None

    def _freshness_frame(self) -> DocumentFresh:
        version, position = self._following.version, self.position or 0
        platform_ms = self._confirmed_platform_ms
        return DocumentFresh(version, position, self.age_ms(), platform_ms)

    def _send_state(self, vm: str) -> None:
        version = max(self._announced_version, self._following.version)
        if version:
            self._control.send(vm, DocumentHave(version))
        if self.age_ms() >= 0:
            self._control.send(vm, self._freshness_frame())

    def _on_neighbour_down(self, vm: str) -> None:
        """Send a pull that the lost neighbour has not answered to another neighbour."""
        self._pending_pulls.pop(vm, None)
        self._uploads.drop_all(vm)
        self._proofs.forget(vm)
        if vm in self._sources:
            self._sources.remove(vm)
        if vm != self._pulled_vm:
            return
        self._pull_base_version = None
        if self._pull_timer is not None:
            self._pull_timer.cancel()
            self._pull()

    def _on_frame(self, vm: str, frame: Any) -> None:
        """Handle a frame of a neighbour.

        Without this exchange, a daemon would route by an old version as long as the
        platform rejects its requests or its watch hangs.
        """
        version = self._following.version
        match frame:
            case DocumentHave(peer_version) if peer_version > version:
                self._on_newer_version(vm, peer_version)
            case DocumentHave(peer_version) if peer_version < version:
                self._send_state(vm)
            case DocumentFresh():
                self._handle_freshness(vm, frame)
            case DocumentPull(peer_version):
                self._answer_pull(vm, peer_version)
            case DocumentCopy():
                self._handle_copy(vm, frame)
            case DocumentDelta():
                self._handle_delta(vm, frame)
            case DocumentAsk():
                self._proofs.handle_question(vm, frame)
            case DocumentProof():
                self._proofs.handle_answer(vm, frame)
            case _:
                pass

    def _handle_freshness(self, vm: str, frame: DocumentFresh) -> None:
        if self._pending_pulls.get(vm, frame.version) < frame.version:
            del self._pending_pulls[vm]
        self._uploads.drop_older(vm, frame.version)
        if frame.version == self._following.version:
            self._handle_confirmation(vm, frame)
        elif frame.version > self._following.version:
            self._on_newer_version(vm, frame.version, is_holder=True)

    def _handle_confirmation(
        self, vm: str, frame: DocumentFresh | DocumentCopy | DocumentDelta
    ) -> None:
        """Date a neighbour's confirmation of the version in force, and record it.

        The age in the frame does not count the time that the frame took, so it is used
        only if the platform's time is not known to both daemons.
        """
        now_ms = boot_ms()
        as_of_ms = now_ms - frame.age_ms
        if frame.platform_ms:
            dated_ms = self._clock.earliest_ms(frame.platform_ms, now_ms)
            as_of_ms = as_of_ms if dated_ms is None else dated_ms
        self.confirm(frame.position, as_of_ms, frame.platform_ms, vm)
        self._proofs.handle_confirmation(vm, as_of_ms)

    def _answer_pull(self, vm: str, held_version: int) -> None:
        if held_version >= self._following.version:
            self._pending_pulls[vm] = held_version
            return
        self._uploads.add(vm, held_version, lambda: self._update_since(held_version))

    def _update_since(self, held_version: int) -> DocumentCopy | DocumentDelta:
        """Return an update to the version in force for a neighbour.

        The update is a delta if `held_version` is among the recent versions and the
        delta is small enough, else a full copy. The copy, and the delta from each
        version, are compressed once for all neighbours.
        """
        data = self._following.document.data
        confirmation = (
            self.position or 0,
            self.age_ms(),
            self._confirmed_platform_ms,
        )
        self._compressed = self._compressed or compress(data)
        if held_version in self._recent_documents:
            compressed = self._compressed_deltas.get(held_version)
            if compressed is None:
                compressed = compress(
                    make_delta(self._recent_documents[held_version], data)
                )
                self._compressed_deltas[held_version] = compressed
            if len(compressed) <= _DELTA_MAX_SHARE * len(self._compressed):
                return DocumentDelta(held_version, compressed, *confirmation)
        return DocumentCopy(self._compressed, *confirmation)

    def _handle_copy(self, vm: str, copy: DocumentCopy) -> None:
        data = decompress(copy.compressed)
        if data is None:
            log.warning(Event.FRAME_REJECTED, peer=vm, reason="damaged document copy")
            return
        if self._following.document and data == self._following.document.data:
            return
        pending_pulls, self._pending_pulls = self._pending_pulls, {}
        for pulling_vm, held_version in pending_pulls.items():
            self._uploads.add(pulling_vm, held_version, lambda: copy)
        self._apply_document(vm, data, copy)
        self._uploads.record_version(pending_pulls)

    def _handle_delta(self, vm: str, delta: DocumentDelta) -> None:
        document = self._following.document
        if document is None or delta.base_version != document.version:
            return
        changes = decompress(delta.compressed)
        data = None if changes is None else apply_delta(document.data, changes)
        if data is None:
            log.warning(Event.FRAME_REJECTED, peer=vm, reason="damaged document delta")
            self._control.send(vm, DocumentPull(0))
            return
        forwarded = {
            pulling_vm: held_version
            for pulling_vm, held_version in self._pending_pulls.items()
            if held_version == delta.base_version
        }
        for pulling_vm, held_version in forwarded.items():
            del self._pending_pulls[pulling_vm]
            self._uploads.add(pulling_vm, held_version, lambda: delta)
        self._apply_document(vm, data, delta)
        self._uploads.record_version(forwarded)

    def _apply_document(
        self, vm: str, data: bytes, frame: DocumentCopy | DocumentDelta
    ) -> None:
        result = self._offer(data, vm)
        if result in (OfferResult.REJECTED, OfferResult.REJECTED_BEFORE):
            self._reject_version(data)
        if result is not OfferResult.IN_FORCE:
            return
        # This document is the newest version up to the neighbour's position in the
        # table's history. The position is adopted because a watch from an earlier
        # position would return this version again.
        self._advance_position(frame.position)
        if frame.age_ms >= 0:
            self._handle_confirmation(vm, frame)
        if self._pull_timer is not None:
            self._pull_timer.cancel()
            self._pull_timer = None
        if self._newest_version > self._following.version:
            self._schedule_pull()

    def _reject_version(self, data: bytes) -> None:
        """Pull a version no more for a while, as its document was rejected.

        A newer version may have been announced since this one was pulled.
        """
        number = self._read_number(data)
        if number is None:
            number = self._newest_version
        self._rejected_version = max(self._rejected_version, number)
        if self._rejected_timer is None:
            loop = asyncio.get_running_loop()
            self._rejected_timer = loop.call_later(
                REJECTED_RETRY_S, self._retry_rejected
            )
        if self._is_awaiting:
            self._schedule_pull()

    def _retry_rejected(self) -> None:
        self._rejected_timer = None
        self._rejected_version = 0
        if self._is_awaiting:
            self._awaiting_since_ms = boot_ms()
            self._schedule_pull()

    def _on_newer_version(self, vm: str, version: int, is_holder: bool = False) -> None:
        """Pull a newer version that a neighbour has, or is about to receive."""
        if version <= self._rejected_version:
            return
        self._announce(version, vm)
        if not self._is_awaiting:
            self._awaiting_since_ms = boot_ms()
        if version > self._newest_version:
            self._newest_version = version
            self._sources.clear()
            self._holders.clear()
        if version == self._newest_version and is_holder:
            self._holders.add(vm)
        if version == self._newest_version and vm not in self._sources:
            self._sources.append(vm)
        self._schedule_pull()
        self._on_awaiting()

    def _schedule_pull(self) -> None:
        if self._pull_timer is not None:
            return
        loop = asyncio.get_running_loop()
        delay_s = _PULL_DELAY_S if self._is_watching() else 0.0
        if self._pull_base_version == self._following.version:
            delay_s = max(delay_s, self._pulled_s + self._pull_retry_s - loop.time())
        self._pull_timer = loop.call_later(delay_s, self._pull)

    def _pull(self) -> None:
        """Pull from the next neighbour, and retry until the version has arrived."""
        self._pull_timer = None
        version = self._following.version
        if (
            self._newest_version <= max(version, self._rejected_version)
            or not self._sources
        ):
            return
        vm = self._next_source()
        loop = asyncio.get_running_loop()
        self._pulled_vm = vm
        self._pull_base_version, self._pulled_s = version, loop.time()
        self._control.send(vm, DocumentPull(version))
        self._pull_timer = loop.call_later(self._pull_retry_s, self._pull)

    def _next_source(self) -> str:
        """Return the next neighbour to pull from, each in its turn, holders first."""
        others = [vm for vm in self._sources if vm != self._pulled_vm]
        holders = [vm for vm in others if vm in self._holders]
        vm = (holders or self._sources)[0]
        self._sources.remove(vm)
        self._sources.append(vm)
        return vm

    @property
    def _pull_retry_s(self) -> float:
        if self._schedule is None:
            return _PULL_RETRY_S
        return self._schedule.pull_retry_ms / 1000


__all__ = ["DocumentExchange"]
