"""The open control streams, at most one to each VM."""

from __future__ import annotations

import structlog
from msgspec import Struct

from ..stream import FrameStream

log = structlog.get_logger(__name__)


class ControlLink(Struct, frozen=True):
    """A control stream, and the data for choosing between two streams to one VM."""

    stream: FrameStream
    vm: str
    start_id: int
    is_dialler: bool
    opened_ms: int


class ControlLinks:
    """Keeps one link per VM, even if both sides dial at the same time."""

    def __init__(self, own_vm: str, race_window_ms: int) -> None:
        self._own_vm = own_vm
        self._race_window_ms = race_window_ms
        self._links: dict[str, ControlLink] = {}

    @property
    def vms(self) -> tuple[str, ...]:
        """Return the VMs to which there is a link."""
        return tuple(self._links)

    def get(self, vm: str) -> ControlLink | None:
        """Return the link to a VM, or None."""
        return self._links.get(vm)

    def streams(self) -> tuple[FrameStream, ...]:
        """Return the streams of all links."""
        return tuple(link.stream for link in self._links.values())

    def is_preferred(self, link: ControlLink) -> bool:
        """Return whether a new link replaces the current link to the same VM.

        If both sides dial at the same time, each keeps the stream dialled by the
        VM with the lower name. Without a common rule each side could close the
        stream that the other side keeps, and both streams would be lost. A stream
        opened after the race window replaces the current one: the other side
        dialled again because it no longer receives anything on the first stream.
        """
        current = self._links.get(link.vm)
        if (
            current is None
            or current.stream.is_closed
            or current.start_id != link.start_id
        ):
            return True
        if link.opened_ms - current.opened_ms > self._race_window_ms:
            return True
        if link.is_dialler == current.is_dialler:
            return True
        return link.is_dialler == (self._own_vm < link.vm)

    def put(self, link: ControlLink) -> ControlLink | None:
        """Store a link and return the link that it replaces, or None."""
        current = self._links.get(link.vm)
        self._links[link.vm] = link
        return current

    def remove(self, link: ControlLink) -> bool:
        """Remove a link, and return whether it was the current link to its VM."""
        if self._links.get(link.vm) is not link:
            return False
        del self._links[link.vm]
        return True


__all__ = ["ControlLink", "ControlLinks"]
