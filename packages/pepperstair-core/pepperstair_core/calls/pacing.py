"""Pacing of large answers on slow links.

A link carries bytes in the order in which they are written, so a large answer written
at once delays every small one after it: 90 KB take 0.29 s on a link of 2.5 Mbit/s.
Look-ups then take 0.3 s although their target answered in 40 ms, and the calls that
wait for them hold slots meanwhile. If large answers are written in parts, at slightly
less than the link's rate, small answers are sent in the gaps. With 66 VMs on such links
and 31 map packs a second, the 75th percentile of the look-up times in ten periods of
3 s ranges from 74 to 253 ms with pacing and from 142 to 498 ms without.
"""

from __future__ import annotations

from typing import Final

# Maximum share of the link's rate that large answers may use. The remainder is for all
# other traffic, such as small answers, requests and the overhead of the streams.
_LARGE_ANSWER_SHARE: Final = 0.85
# Time that the link takes to transfer one part of a large answer. A small answer waits
# for one or two parts, which is acceptable for look-ups of 40 ms. Each part wakes up
# both daemons, so shorter parts would use more processor time.
_PART_MS: Final = 30.0
_PART_MIN_BYTES: Final = 4_096
# A link that transfers a part of the maximum size within this time needs no pacing: a
# small answer hardly waits there, and parts of the maximum size wake up the daemons
# less often than smaller ones.
_FAST_PART_MS: Final = 5.0
_BYTES_PER_MS_OF_MBPS: Final = 125.0


class LinkPacer:
    """Schedules the parts of all large answers of a VM on its link.

    `link_mbps` is the rate of the link in megabits per second, 0 if unknown; times
    are in milliseconds. Parts are sent in the order in which `delay_ms` is called for
    them, so that concurrent answers share the link.

    >>> pacer = LinkPacer(2.5, 65_536)
    >>> pacer.part_bytes
    9375
    >>> pacer.delay_ms(9375, 0.0), round(pacer.delay_ms(9375, 0.0))
    (0.0, 35)
    """

    __slots__ = ("_bytes_per_ms", "_link_free_ms", "part_bytes")

    def __init__(self, link_mbps: float, part_max_bytes: int) -> None:
        link_bytes_per_ms = link_mbps * _BYTES_PER_MS_OF_MBPS
        self._link_free_ms = 0.0
        if link_mbps <= 0 or part_max_bytes <= _FAST_PART_MS * link_bytes_per_ms:
            self._bytes_per_ms = 0.0
            self.part_bytes = part_max_bytes
            return
        self._bytes_per_ms = _LARGE_ANSWER_SHARE * link_bytes_per_ms
        paced_bytes = int(_PART_MS * link_bytes_per_ms)
        self.part_bytes = min(part_max_bytes, max(_PART_MIN_BYTES, paced_bytes))

    def may_send_in_one_write(self, n_bytes: int) -> bool:
        """Return whether an answer may be sent in a single write, without parts."""
        return not self._bytes_per_ms or n_bytes <= self.part_bytes

    def delay_ms(self, n_bytes: int, now_ms: float) -> float:
        """Reserve the link for a part and return how long the part has to wait."""
        if not self._bytes_per_ms:
            return 0.0
        start_ms = max(now_ms, self._link_free_ms)
        self._link_free_ms = start_ms + n_bytes / self._bytes_per_ms
        return start_ms - now_ms

    def backlog_ms(self, now_ms: float) -> float:
        """Return how long a part that is sent now would have to wait."""
        return max(0.0, self._link_free_ms - now_ms) if self._bytes_per_ms else 0.0


def n_calls_of_backlog(backlog_ms: float, n_slots: int, service_ms: float) -> int:
    """Return how many waiting calls would delay an answer as long as the link does.

    A target whose link is full has free slots, as its answers are complete before they
    are sent. Unless the backlog counts as load, it attracts further large answers.

    >>> n_calls_of_backlog(200.0, 3, 100.0)
    6
    """
    return int(backlog_ms * n_slots / max(1.0, service_ms))


__all__ = ["LinkPacer", "n_calls_of_backlog"]
