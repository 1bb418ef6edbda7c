"""Recent changes of the replica, for peers that are behind."""

from collections.abc import Iterable

from ._records import START, Position, Record

__all__ = ["MAX_LOG_BYTES", "ChangeLog"]

# A peer that is beyond the start of the log gets a snapshot.
MAX_LOG_BYTES = 2 * 1024 * 1024
RECORD_OVERHEAD_BYTES = 256


def _get_size_bytes(record: Record) -> int:
    return RECORD_OVERHEAD_BYTES + len(record.key) + len(record.value or b"")


class ChangeLog:
    """Newest change of each key that changed since a position, all of one epoch.

    A peer needs the present value of a key only, so a former one is dropped when the next arrives.
    """

    def __init__(self) -> None:
        # In the order of the revisions.
        self._records: dict[str, Record] = {}
        self._size_bytes = 0
        self._floor = START

    def clear(self, position: Position) -> None:
        """Start anew at `position`."""
        self._records.clear()
        self._size_bytes = 0
        self._floor = position

    def append(self, records: Iterable[Record]) -> None:
        """Add changes in the order of their revisions."""
        for record in records:
            self._remove(record.key)
            self._records[record.key] = record
            self._size_bytes += _get_size_bytes(record)
        while self._size_bytes > MAX_LOG_BYTES:
            oldest = next(iter(self._records.values()))
            self._remove(oldest.key)
            self._floor = max(self._floor, oldest.position)

    def _remove(self, key: str) -> None:
        record = self._records.pop(key, None)
        if record is not None:
            self._size_bytes -= _get_size_bytes(record)

    def list_after(self, position: Position) -> list[Record] | None:
        """Return the changes after `position`; None if the log does not reach back to it."""
        if position.epoch != self._floor.epoch or position < self._floor:
            return None
        return [record for record in self._records.values() if record.position > position]
