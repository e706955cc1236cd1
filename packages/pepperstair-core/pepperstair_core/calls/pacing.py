"""When the next part of a large answer may leave on a slow link.

A link carries bytes in the order in which they were written. A large answer that is
written at once stands before every small one that comes after it: 90 KB take 0.29 s
of a link of 2.5 Mbit/s. One notices look-ups that take 0.3 s though their target
answered in 40 ms, and calls that wait for those hold slots meanwhile. Written in
parts, at a little less than the pace of the link, large answers leave gaps that
small ones use at once. Three quarters of the look-ups then came within 74 to 253 ms,
and within 142 to 498 ms without it: from the sampled log lines of ten spans of 3 s, on
66 VMs with such links and 31 map packs a second.
"""

from __future__ import annotations

from typing import Final

# What large answers may take of the link: the rest is for whatever else leaves,
# such as small answers, requests and the streams' own bytes.
_SHARE: Final = 0.85
# A small answer waits for a part or two: chosen beside look-ups of 40 ms. Each part
# wakes both daemons up, so that shorter ones would cost more processor time.
_PART_MS: Final = 30.0
_PART_MIN_BYTES: Final = 4_096
# Links that carry the largest part within this time need no pacing, in ms: a
# small answer hardly waits there, and larger parts wake the daemons up less.
_FAST_PART_MS: Final = 5.0
_BYTES_PER_MS_OF_MBPS: Final = 125.0


class LinkPacer:
    """Spreads the parts of all large answers of a VM over its link.

    `link_mbps` is the pace of the link in megabits a second, 0 where it is not
    known; times are in milliseconds. Parts that wait leave in the order in which
    they asked, so that answers which are sent at once share the link.

    >>> pacer = LinkPacer(2.5, 65_536)
    >>> pacer.part_bytes
    9375
    >>> pacer.delay_ms(9375, 0.0), round(pacer.delay_ms(9375, 0.0))
    (0.0, 35)
    """

    __slots__ = ("_bytes_per_ms", "_free_ms", "part_bytes")

    def __init__(self, link_mbps: float, part_max_bytes: int) -> None:
        link_bytes_per_ms = link_mbps * _BYTES_PER_MS_OF_MBPS
        self._free_ms = 0.0
        if link_mbps <= 0 or part_max_bytes <= _FAST_PART_MS * link_bytes_per_ms:
            self._bytes_per_ms = 0.0
            self.part_bytes = part_max_bytes
            return
        self._bytes_per_ms = _SHARE * link_bytes_per_ms
        paced_bytes = int(_PART_MS * link_bytes_per_ms)
        self.part_bytes = min(part_max_bytes, max(_PART_MIN_BYTES, paced_bytes))

    def may_send_whole(self, n_bytes: int) -> bool:
        """Return whether an answer needs no parts, and so costs one write."""
        return not self._bytes_per_ms or n_bytes <= self.part_bytes

    def delay_ms(self, n_bytes: int, now_ms: float) -> float:
        """Return how long the next part has to wait, and keep its place."""
        if not self._bytes_per_ms:
            return 0.0
        start_ms = max(now_ms, self._free_ms)
        self._free_ms = start_ms + n_bytes / self._bytes_per_ms
        return start_ms - now_ms


__all__ = ["LinkPacer"]
