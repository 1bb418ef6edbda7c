"""Request queue of a service, by class of work and by entry zone or pinned target."""

from collections import Counter, OrderedDict
from collections.abc import Iterator

from ._records import Record

__all__ = ["RequestQueue"]

# Insertion-ordered set of records: access to the first and removal of any take constant time.
_Entries = OrderedDict[Record, None]


class RequestQueue:
    """FIFO queues per (class, entry zone) and, for pinned requests, per (class, target)."""

    def __init__(self):
        self._unpinned: dict[bool, dict[str, _Entries]] = {False: {}, True: {}}
        self._pinned: dict[bool, dict[str, _Entries]] = {False: {}, True: {}}
        self.count = {False: 0, True: 0}
        self.zone_count: dict[bool, Counter[str]] = {False: Counter(), True: Counter()}

    def __len__(self) -> int:
        return self.count[False] + self.count[True]

    def __iter__(self) -> Iterator[Record]:
        for table in (self._unpinned, self._pinned):
            for by_key in table.values():
                for entries in by_key.values():
                    yield from entries

    def push(self, record: Record, *, front: bool = False) -> None:
        """Add `record` to the back, or to the front if it is to run again."""
        table, key = self._locate(record)
        entries = table.setdefault(key, OrderedDict())
        entries[record] = None
        if front:
            entries.move_to_end(record, last=False)
        self._adjust_counts(record, 1)

    def remove(self, record: Record) -> None:
        """Remove `record`."""
        table, key = self._locate(record)
        del table[key][record]
        if not table[key]:
            del table[key]
        self._adjust_counts(record, -1)

    def heads(self, is_long: bool) -> list[Record]:
        """Return the oldest unpinned request of each zone, oldest first."""
        found = [next(iter(entries)) for entries in self._unpinned[is_long].values()]
        return sorted(found, key=lambda record: record.sequence)

    def pinned_head(self, is_long: bool, target: str) -> Record | None:
        """Return the oldest request pinned to `target`."""
        entries = self._pinned[is_long].get(target)
        return next(iter(entries)) if entries else None

    def pinned_targets(self, is_long: bool) -> list[str]:
        """Return the targets that queued requests are pinned to."""
        return list(self._pinned[is_long])

    def _locate(self, record: Record) -> tuple[dict[str, _Entries], str]:
        forward = record.forward
        if forward.pinned:
            return self._pinned[record.is_long], forward.pinned
        return self._unpinned[record.is_long], forward.entry_zone

    def _adjust_counts(self, record: Record, change: int) -> None:
        self.count[record.is_long] += change
        if not record.forward.pinned:
            self.zone_count[record.is_long][record.forward.entry_zone] += change
