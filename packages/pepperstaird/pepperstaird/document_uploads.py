"""Sends the followed document to neighbours, one after the other over a slow link."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

import structlog
from msgspec import Struct
from msgspec.structs import replace

from pepperstair_core.wire import DocumentCopy, DocumentDelta

from .clock import boot_ms

log = structlog.get_logger(__name__)

# Number of pull timeouts for which a document is taken to be on its way. After that it
# may have been lost with the stream that carried it.
_N_TIMEOUTS_ON_THE_WAY: Final = 3

DocumentFrame = DocumentCopy | DocumentDelta
MakeFrame = Callable[[], DocumentFrame]


class _Upload(Struct, frozen=True):
    """A document for a neighbour that holds `held_version`."""

    vm: str
    held_version: int
    make_frame: MakeFrame


class _Sent(Struct, frozen=True):
    """The last document sent to a neighbour that held `held_version`."""

    held_version: int
    version: int
    at_ms: float


class DocumentUploads:
    """The documents that wait for the VM's link, and the last one sent to each VM.

    If a slow link carried several documents at once, all of them would arrive as late
    as the last one, and so would those that their receivers pass on. A second copy of a
    document that is on its way would delay the first one.

    `send` sends a frame to a VM, and `upload_s` returns the seconds that the VM's link
    takes to send a number of bytes. `version` returns the version in force, and
    `pull_retry_s` the time after which a neighbour repeats a pull.
    """

    def __init__(
        self,
        send: Callable[[str, DocumentFrame], None],
        upload_s: Callable[[int], float],
        version: Callable[[], int],
        pull_retry_s: Callable[[], float],
    ) -> None:
        self._send = send
        self._upload_s = upload_s
        self._version = version
        self._pull_retry_s = pull_retry_s
        self._waiting: deque[_Upload] = deque()
        self._sent: dict[str, _Sent] = {}
        self._timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Send nothing more."""
        if self._timer is not None:
            self._timer.cancel()

    def add(self, vm: str, held_version: int, make_frame: MakeFrame) -> None:
        """Send a document once those before it have left the VM.

        `make_frame` is called when its turn has come. Do nothing if the neighbour waits
        already or the version in force is on its way to it.
        """
        is_waiting = any(
            (upload.vm, upload.held_version) == (vm, held_version)
            for upload in self._waiting
        )
        if is_waiting or self._is_on_its_way(vm, held_version):
            return
        self._waiting.append(_Upload(vm, held_version, make_frame))
        if self._timer is None:
            self._send_next()

    def drop_older(self, vm: str, version: int) -> None:
        """Drop what waits for a neighbour that has a version by now."""
        self._waiting = deque(
            upload
            for upload in self._waiting
            if upload.vm != vm or upload.held_version >= version
        )

    def drop_all(self, vm: str) -> None:
        """Forget a neighbour that was lost."""
        self._waiting = deque(upload for upload in self._waiting if upload.vm != vm)
        self._sent.pop(vm, None)

    def record_version(self, vms: Iterable[str]) -> None:
        """Record that what was just sent to some VMs is the version in force.

        A document is forwarded before it is read, when its version is not known yet.
        """
        for vm in vms:
            if vm in self._sent:
                self._sent[vm] = replace(self._sent[vm], version=self._version())

    def _is_on_its_way(self, vm: str, held_version: int) -> bool:
        sent = self._sent.get(vm)
        if sent is None or sent.held_version != held_version:
            return False
        age_max_ms = 1000 * _N_TIMEOUTS_ON_THE_WAY * self._pull_retry_s()
        is_recent = boot_ms() - sent.at_ms < age_max_ms
        return is_recent and sent.version == self._version()

    def _send_next(self) -> None:
        self._timer = None
        if not self._waiting:
            return
        upload = self._waiting.popleft()
        frame = upload.make_frame()
        self._send(upload.vm, frame)
        self._sent[upload.vm] = _Sent(upload.held_version, self._version(), boot_ms())
        self._timer = asyncio.get_running_loop().call_later(
            self._upload_s(len(frame.compressed)), self._send_next
        )


__all__ = ["DocumentUploads"]
