"""Timers for the deadlines of queued and running requests."""

import heapq
from collections.abc import Iterator

from ._records import Record

__all__ = ["DeadlineTimers"]

COMPACT_MIN_TIMERS = 8192


class DeadlineTimers:
    """Heap of deadlines, compacted when too many of them belong to ended requests."""

    def __init__(self) -> None:
        self._timers: list[tuple[float, int, Record]] = []

    def add(self, record: Record, *, open_records: int) -> None:
        """Add the deadline of `record`; the compaction threshold grows with `open_records`."""
        heapq.heappush(self._timers, (record.deadline_ms / 1000.0, record.sequence, record))
        if len(self._timers) > COMPACT_MIN_TIMERS + 4 * open_records:
            # Timers of ended requests would otherwise stay until a deadline that may be far ahead.
            self._timers = [timer for timer in self._timers if timer[2].is_open]
            heapq.heapify(self._timers)

    def pop_due(self, now_s: float) -> Iterator[Record]:
        """Remove and yield the records whose timer has expired."""
        while self._timers and self._timers[0][0] <= now_s:
            yield heapq.heappop(self._timers)[2]
