"""Passes versions of the followed document, and how fresh they are, to neighbours."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

import structlog

from pepperstair_core.document_delta import apply_delta, make_delta
from pepperstair_core.events import Event
from pepperstair_core.following import FollowedDocumentState, OfferResult
from pepperstair_core.shared_reading import ReadSchedule
from pepperstair_core.wire import (
    DocumentCopy,
    DocumentDelta,
    DocumentFresh,
    DocumentHave,
    DocumentPull,
    compress,
    decompress,
)
from pepperstair_peers import ControlPlane

from .clock import boot_ms

log = structlog.get_logger(__name__)

# A neighbour that was asked for a copy has this long before another one is.
_PULL_AGAIN_S: Final = 0.75
# How long the own watch may take to bring a version that a neighbour has
# already: asking at once would carry each version once more to everyone.
_PULL_DELAY_S: Final = 0.25
# Versions whose documents are kept to tell those that hold one what has changed.
_N_KEPT_MAX: Final = 3
# A delta that saves less than this share of a copy is not worth its making.
_DELTA_MAX_SHARE: Final = 0.5


class DocumentExchange:
    """What this daemon tells its neighbours of the document, and learns from them.

    `offer` takes a document from a neighbour, and `is_watching` says whether the own
    watch brings new versions. `position` is how far the history of the table is known;
    with a `schedule`, confirmations that a version was the newest are passed on too.
    While `is_newest_known` is not set, the newest is one that this daemon can't read,
    and it confirms nothing, as others may.
    """

    def __init__(
        self,
        control: ControlPlane,
        following: FollowedDocumentState,
        offer: Callable[[bytes, str], OfferResult],
        is_watching: Callable[[], bool],
        schedule: ReadSchedule | None,
    ) -> None:
        self._control = control
        self._following = following
        self._offer = offer
        self._is_watching = is_watching
        self._schedule = schedule
        self._kept: dict[int, bytes] = {}
        # The document in force, and by older version what has changed since.
        self._compressed = b""
        self._compressed_deltas: dict[int, bytes] = {}
        # Neighbours that asked for a version that is not here yet, and what they hold.
        self._waiting: dict[str, int] = {}
        self._announced = 0
        self._asked_vm = ""
        self._asked_version: int | None = None
        self._asked_s = 0.0
        self._pull_timer: asyncio.TimerHandle | None = None
        # The newest version heard of, and the neighbours to be asked for it in turn.
        self._heard = 0
        self._sources: list[str] = []
        # Versions up to here are not asked for again: their document was no good.
        self._rejected = 0
        self.position: int | None = None
        self.is_newest_known = True

    def start(self) -> None:
        """Begin to listen to the neighbours."""
        self._control.neighbour_up_callbacks.append(self._tell)
        self._control.neighbour_down_callbacks.append(self._on_neighbour_down)
        self._control.on_configuration_frame = self._on_frame

    def close(self) -> None:
        """Stop asking for versions."""
        if self._pull_timer is not None:
            self._pull_timer.cancel()

    def put_in_force(self) -> None:
        """Take that another version is in force, and pass it on."""
        document = self._following.document
        self._kept[document.version] = document.data
        for version in sorted(self._kept)[:-_N_KEPT_MAX]:
            del self._kept[version]
        self._compressed = b""
        self._compressed_deltas.clear()
        waiting, self._waiting = self._waiting, {}
        for vm, held_version in waiting.items():
            self._answer_pull(vm, held_version)
        self._announce(document.version)

    def age_ms(self) -> int:
        """Return how long ago the version in force was the newest, -1 if unknown."""
        if self._schedule is None or not self._schedule.is_confirmed:
            return -1
        if not self.is_newest_known:
            return -1
        return max(0, int(boot_ms() - self._schedule.confirmed_ms))

    def _announce(self, version: int, source: str = "") -> None:
        """Tell the neighbours of a version as soon as it is heard of.

        They ask for it at once and get it as it arrives: the way through the fleet
        then takes as long as the sending, not the reading by each daemon on it.
        """
        if version <= self._announced:
            return
        self._announced = version
        for vm in self._control.neighbours:
            if vm != source:
                self._control.send(vm, DocumentHave(version))

    def confirm(self, position: int, as_of_ms: float, learnt_from: str = "") -> None:
        """Take that the version in force was the newest, and pass it on."""
        self._advance(position)
        if learnt_from:
            self.is_newest_known = True
        if self._schedule is None or not self._schedule.confirm(as_of_ms):
            return
        if not self.is_newest_known:
            return
        for vm in self._control.neighbours:
            if vm != learnt_from:
                self._control.send(vm, self._fresh())

    def _advance(self, position: int) -> None:
        self.position = max(self.position or 0, position) or None

    def _fresh(self) -> DocumentFresh:
        version, position = self._following.version, self.position or 0
        return DocumentFresh(version, position, self.age_ms())

    def _tell(self, vm: str) -> None:
        version = max(self._announced, self._following.version)
        if version:
            self._control.send(vm, DocumentHave(version))
        if self.age_ms() >= 0:
            self._control.send(vm, self._fresh())

    def _on_neighbour_down(self, vm: str) -> None:
        """Ask another neighbour for the version that a lost one was asked for."""
        self._waiting.pop(vm, None)
        if vm in self._sources:
            self._sources.remove(vm)
        if vm != self._asked_vm:
            return
        self._asked_version = None
        if self._pull_timer is not None:
            self._pull_timer.cancel()
            self._pull()

    def _on_frame(self, vm: str, frame: Any) -> None:
        """Spread versions among neighbours.

        A daemon that the platform turns away, or whose watch hangs, would
        otherwise route by an old version for as long as that lasts.
        """
        version = self._following.version
        match frame:
            case DocumentHave(theirs) if theirs > version:
                self._hear(vm, theirs)
            case DocumentHave(theirs) if theirs < version:
                self._tell(vm)
            case DocumentFresh():
                self._take_fresh(vm, frame)
            case DocumentPull(theirs):
                self._answer_pull(vm, theirs)
            case DocumentCopy():
                self._take_copy(vm, frame)
            case DocumentDelta():
                self._take_delta(vm, frame)
            case _:
                pass

    def _take_fresh(self, vm: str, frame: DocumentFresh) -> None:
        as_of_ms = boot_ms() - frame.age_ms
        if frame.version == self._following.version:
            self.confirm(frame.position, as_of_ms, vm)
        elif frame.version > self._following.version:
            self._hear(vm, frame.version)

    def _answer_pull(self, vm: str, held_version: int) -> None:
        if held_version >= self._following.version:
            self._waiting[vm] = held_version
            return
        self._control.send(vm, self._update_since(held_version))

    def _update_since(self, held_version: int) -> DocumentCopy | DocumentDelta:
        """Return what a neighbour with some version lacks; packed once for all."""
        data = self._following.document.data
        position, age_ms = self.position or 0, self.age_ms()
        self._compressed = self._compressed or compress(data)
        if held_version in self._kept:
            compressed = self._compressed_deltas.get(held_version)
            if compressed is None:
                compressed = compress(make_delta(self._kept[held_version], data))
                self._compressed_deltas[held_version] = compressed
            if len(compressed) <= _DELTA_MAX_SHARE * len(self._compressed):
                return DocumentDelta(held_version, compressed, position, age_ms)
        return DocumentCopy(self._compressed, position, age_ms)

    def _take_copy(self, vm: str, copy: DocumentCopy) -> None:
        data = decompress(copy.compressed)
        if data is None:
            log.warning(Event.FRAME_REJECTED, peer=vm, reason="a damaged document")
            return
        if self._following.document and data == self._following.document.data:
            return
        waiting, self._waiting = self._waiting, {}
        for waiting_vm in waiting:
            self._control.send(waiting_vm, copy)
        self._take_document(vm, data, copy)

    def _take_delta(self, vm: str, delta: DocumentDelta) -> None:
        document = self._following.document
        if document is None or delta.base_version != document.version:
            return
        changes = decompress(delta.compressed)
        data = None if changes is None else apply_delta(document.data, changes)
        if data is None:
            log.warning(Event.FRAME_REJECTED, peer=vm, reason="a damaged delta")
            self._control.send(vm, DocumentPull(0))
            return
        for waiting_vm, held_version in list(self._waiting.items()):
            if held_version == delta.base_version:
                del self._waiting[waiting_vm]
                self._control.send(waiting_vm, delta)
        self._take_document(vm, data, delta)

    def _take_document(
        self, vm: str, data: bytes, frame: DocumentCopy | DocumentDelta
    ) -> None:
        offer = self._offer(data, vm)
        if offer in (OfferResult.REJECTED, OfferResult.REJECTED_BEFORE):
            self._rejected = self._heard
        if offer is not OfferResult.IN_FORCE:
            return
        # The neighbour has seen no newer one up to there; watched from an
        # earlier position, the source would send this version once more.
        self._advance(frame.position)
        if frame.age_ms >= 0:
            self.confirm(frame.position, boot_ms() - frame.age_ms, vm)
        if self._pull_timer is not None:
            self._pull_timer.cancel()
            self._pull_timer = None
        if self._heard > self._following.version:
            self._pull_soon()

    def _hear(self, vm: str, version: int) -> None:
        """Take that a neighbour has a newer version, or will, and ask for it."""
        if version <= self._rejected:
            return
        self._announce(version, vm)
        if version > self._heard:
            self._heard = version
            self._sources.clear()
        if version == self._heard and vm not in self._sources:
            self._sources.append(vm)
        self._pull_soon()

    def _pull_soon(self) -> None:
        if self._pull_timer is not None:
            return
        loop = asyncio.get_running_loop()
        delay_s = _PULL_DELAY_S if self._is_watching() else 0.0
        if self._asked_version == self._following.version:
            delay_s = max(delay_s, self._asked_s + _PULL_AGAIN_S - loop.time())
        self._pull_timer = loop.call_later(delay_s, self._pull)

    def _pull(self) -> None:
        """Ask the next neighbour, until the version has come."""
        self._pull_timer = None
        version = self._following.version
        if self._heard <= max(version, self._rejected) or not self._sources:
            return
        vm = self._sources.pop(0)
        self._sources.append(vm)
        loop = asyncio.get_running_loop()
        self._asked_vm = vm
        self._asked_version, self._asked_s = version, loop.time()
        self._control.send(vm, DocumentPull(version))
        self._pull_timer = loop.call_later(_PULL_AGAIN_S, self._pull)


__all__ = ["DocumentExchange"]
