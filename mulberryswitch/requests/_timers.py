"""Deadlines of the requests that a dispatcher holds."""

import heapq
from collections.abc import Iterator

from ._records import Record

__all__ = ["DeadlineTimers"]

MIN_TIMERS = 8192


class DeadlineTimers:
    """A heap of deadlines; those of requests that have ended are dropped when they are many."""

    def __init__(self) -> None:
        self._timers: list[tuple[float, int, Record]] = []

    def apply_added(self, record: Record, *, open_records: int) -> None:
        """Add the deadline of `record`; `open_records` bounds how many timers are kept."""
        heapq.heappush(self._timers, (record.deadline_ms / 1000.0, record.sequence, record))
        if len(self._timers) > MIN_TIMERS + 4 * open_records:
            # Timers of ended requests stay until their deadline, which may be far ahead.
            self._timers = [timer for timer in self._timers if timer[2].is_open]
            heapq.heapify(self._timers)

    def take_due(self, now_s: float) -> Iterator[Record]:
        """Remove and yield the records whose timer has run out."""
        while self._timers and self._timers[0][0] <= now_s:
            yield heapq.heappop(self._timers)[2]
