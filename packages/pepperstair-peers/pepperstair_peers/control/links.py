"""The open control streams, at most one to each VM."""

from __future__ import annotations

import structlog
from msgspec import Struct

from ..stream import FrameStream

log = structlog.get_logger(__name__)


class ControlLink(Struct, frozen=True):
    """A control stream and what tells it from another one to the same VM."""

    stream: FrameStream
    vm: str
    start_id: int
    is_dialler: bool
    opened_ms: int


class ControlLinks:
    """Keeps one link a VM when both sides have dialled at the same time."""

    def __init__(self, own_vm: str, race_ms: int) -> None:
        self._own_vm = own_vm
        self._race_ms = race_ms
        self._links: dict[str, ControlLink] = {}

    @property
    def vms(self) -> tuple[str, ...]:
        """Return the VMs that are linked."""
        return tuple(self._links)

    def get(self, vm: str) -> ControlLink | None:
        """Return the link to a VM, if there is one."""
        return self._links.get(vm)

    def streams(self) -> tuple[FrameStream, ...]:
        """Return every open stream."""
        return tuple(link.stream for link in self._links.values())

    def is_better(self, link: ControlLink) -> bool:
        """Return whether a new link takes the place of the one there is.

        Streams that were dialled from both sides at once race each other; each
        side keeps the one that the lower name dialled, or both would close the
        other's and lose the two. A later stream is newer knowledge: the other
        side dialled again because it no longer hears the first one.
        """
        held = self._links.get(link.vm)
        if held is None or held.stream.is_closed or held.start_id != link.start_id:
            return True
        if link.opened_ms - held.opened_ms > self._race_ms:
            return True
        if link.is_dialler == held.is_dialler:
            return True
        return link.is_dialler == (self._own_vm < link.vm)

    def put(self, link: ControlLink) -> ControlLink | None:
        """Take a link into use and return the one it replaces."""
        held = self._links.get(link.vm)
        self._links[link.vm] = link
        return held

    def remove(self, link: ControlLink) -> bool:
        """Drop a link, and say whether it was in use."""
        if self._links.get(link.vm) is not link:
            return False
        del self._links[link.vm]
        return True


__all__ = ["ControlLink", "ControlLinks"]
