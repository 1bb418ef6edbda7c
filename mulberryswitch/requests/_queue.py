"""One bounded queue per service, in classes and zones, with pinned requests per target."""

from collections import Counter, OrderedDict
from collections.abc import Iterator

from ._records import Record

__all__ = ["RequestQueue"]

# Insertion-ordered set of records with a cheap first element and removal from the middle.
_Entries = OrderedDict[Record, None]


class RequestQueue:
    """First-in first-out queues by (class, entry zone) and by (class, pinned target)."""

    def __init__(self):
        self._free: dict[bool, dict[str, _Entries]] = {False: {}, True: {}}
        self._pinned: dict[bool, dict[str, _Entries]] = {False: {}, True: {}}
        self.count = {False: 0, True: 0}
        self.zone_count: dict[bool, Counter[str]] = {False: Counter(), True: Counter()}

    def __len__(self) -> int:
        return self.count[False] + self.count[True]

    def __iter__(self) -> Iterator[Record]:
        for table in (self._free, self._pinned):
            for by_place in table.values():
                for entries in by_place.values():
                    yield from entries

    def apply_push(self, record: Record, *, front: bool = False) -> None:
        """Add `record`; a request that runs again goes back to the front."""
        table, place = self._place_of(record)
        entries = table.setdefault(place, OrderedDict())
        entries[record] = None
        if front:
            entries.move_to_end(record, last=False)
        self._count(record, 1)

    def apply_removed(self, record: Record) -> None:
        """Take `record` out."""
        table, place = self._place_of(record)
        del table[place][record]
        if not table[place]:
            del table[place]
        self._count(record, -1)

    def heads(self, is_long: bool) -> list[Record]:
        """Return the oldest unpinned request of each zone, oldest first."""
        found = [next(iter(entries)) for entries in self._free[is_long].values()]
        return sorted(found, key=lambda record: record.sequence)

    def pinned_head(self, is_long: bool, target: str) -> Record | None:
        """Return the oldest request pinned to `target`."""
        entries = self._pinned[is_long].get(target)
        return next(iter(entries)) if entries else None

    def pinned_targets(self, is_long: bool) -> list[str]:
        """Return the targets that queued requests are pinned to."""
        return list(self._pinned[is_long])

    def _place_of(self, record: Record) -> tuple[dict[str, _Entries], str]:
        forward = record.forward
        if forward.pinned:
            return self._pinned[record.is_long], forward.pinned
        return self._free[record.is_long], forward.entry_zone

    def _count(self, record: Record, change: int) -> None:
        self.count[record.is_long] += change
        if not record.forward.pinned:
            self.zone_count[record.is_long][record.forward.entry_zone] += change
