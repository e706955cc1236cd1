"""Passes versions of the followed document, and proofs of their age, to neighbours."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

import structlog

from pepperstair_core.events import Event
from pepperstair_core.following import Following, Offer
from pepperstair_core.shared_reading import ReadSchedule
from pepperstair_core.wire import (
    DocumentCopy,
    DocumentFresh,
    DocumentHave,
    DocumentPull,
    pack,
    unpack,
)
from pepperstair_peers import ControlPlane

from .clock import boot_ms

log = structlog.get_logger(__name__)

# A neighbour that was asked for a copy has this long before another one is.
_PULL_AGAIN_S: Final = 0.5
# How long the own watch may take to bring a version that a neighbour has
# already: asking at once would carry each version once more to everyone.
_PULL_DELAY_S: Final = 0.25


class DocumentExchange:
    """What this daemon tells its neighbours of the document, and learns from them.

    `offer` takes a document from a neighbour, and `is_watching` says whether the own
    watch brings new versions. `position` is how far the history of the table is known;
    with a `schedule`, proofs that a version was the newest are passed on as well.
    """

    def __init__(
        self,
        control: ControlPlane,
        following: Following,
        offer: Callable[[bytes, str], Offer],
        is_watching: Callable[[], bool],
        schedule: ReadSchedule | None,
    ) -> None:
        self._control = control
        self._following = following
        self._offer = offer
        self._is_watching = is_watching
        self._schedule = schedule
        self._packed = b""
        self._packed_version = 0
        self._asked_version = 0
        self._asked_s = 0.0
        self._pull_timer: asyncio.TimerHandle | None = None
        # The newest version that a neighbour has told of, and which neighbour.
        self._heard = (0, "")
        self.position: int | None = None

    def start(self) -> None:
        """Begin to listen to the neighbours."""
        self._control.on_neighbour_up = self._tell
        self._control.on_configuration_frame = self._on_frame

    def close(self) -> None:
        """Stop asking for versions."""
        if self._pull_timer is not None:
            self._pull_timer.cancel()

    def tell_all(self) -> None:
        """Tell every neighbour which version is in force."""
        for vm in self._control.neighbours:
            self._tell(vm)

    def confirm(self, position: int, as_of_ms: float, learnt_from: str = "") -> None:
        """Take a proof that the version in force was the newest, and pass it on."""
        self.position = max(self.position or 0, position)
        if self._schedule is None or not self._schedule.confirm(as_of_ms):
            return
        for vm in self._control.neighbours:
            if vm != learnt_from:
                self._control.send(vm, self._fresh())

    def _fresh(self) -> DocumentFresh:
        version, position = self._following.version, self.position or 0
        return DocumentFresh(version, position, self._age_ms())

    def _age_ms(self) -> int:
        """Return how long ago the version in force was the newest, -1 if unknown."""
        if self._schedule is None or not self._schedule.is_confirmed:
            return -1
        return max(0, int(boot_ms() - self._schedule.as_of_ms))

    def _tell(self, vm: str) -> None:
        if self._following.version:
            self._control.send(vm, DocumentHave(self._following.version))
        if self._schedule is not None and self._schedule.is_confirmed:
            self._control.send(vm, self._fresh())

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
            case DocumentPull(theirs) if theirs < version:
                packed, position = self._packed_document(), self.position or 0
                copy = DocumentCopy(packed, position, self._age_ms())
                self._control.send(vm, copy)
            case DocumentCopy():
                self._take_copy(vm, frame)
            case _:
                pass

    def _take_fresh(self, vm: str, frame: DocumentFresh) -> None:
        as_of_ms = boot_ms() - frame.age_ms
        if frame.version == self._following.version:
            self.confirm(frame.position, as_of_ms, vm)
        elif frame.version > self._following.version:
            self._hear(vm, frame.version)

    def _packed_document(self) -> bytes:
        """Return the document in force packed, once for all that ask for it."""
        if self._packed_version != self._following.version:
            self._packed = pack(self._following.document.data)
            self._packed_version = self._following.version
        return self._packed

    def _take_copy(self, vm: str, copy: DocumentCopy) -> None:
        data = unpack(copy.packed)
        if data is None:
            log.warning(Event.FRAME_REJECTED, peer=vm, reason="a damaged document")
            return
        if self._offer(data, vm) is not Offer.IN_FORCE:
            return
        # The neighbour has seen no newer one up to there; watched from an
        # earlier position, the source would send this version once more.
        self.position = max(self.position or 0, copy.position)
        if copy.age_ms >= 0:
            self.confirm(copy.position, boot_ms() - copy.age_ms, vm)
        if self._heard[0] > self._following.version:
            self._pull_soon()

    def _hear(self, vm: str, version: int) -> None:
        """Take that a neighbour has a newer version, and ask for it."""
        if version > self._heard[0] or self._pull_timer is None:
            self._heard = (version, vm)
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
        self._pull_timer = None
        version, vm = self._heard
        if version <= self._following.version:
            return
        self._asked_version = self._following.version
        self._asked_s = asyncio.get_running_loop().time()
        self._control.send(vm, DocumentPull(self._following.version))


__all__ = ["DocumentExchange"]
