"""Recent documents, and answers to pulls built from them."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from mulberryswitch.contracts import ConfigDocument, ConfigPull

from ._bindings import Tombstones
from ._delta import build_delta

__all__ = ["History", "HistoryEntry"]

MAX_ENTRIES = 4
# The full table fits in four peer frames; in one frame, long names would exceed the frame limit.
MAX_TOMBSTONES_PER_MESSAGE = 16_384


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryEntry:
    """An accepted document and the change number of the tombstones after its acceptance."""

    version: int
    digest: bytes
    document: bytes
    sequence: int


class History:
    """The last accepted documents; a peer that holds one of them is sent a delta."""

    def __init__(self):
        self._entries: deque[HistoryEntry] = deque(maxlen=MAX_ENTRIES)
        self._deltas: dict[bytes, bytes] = {}

    @property
    def size_bytes(self) -> int:
        """Total size of the documents and deltas."""
        return sum(len(entry.document) for entry in self._entries) + sum(
            map(len, self._deltas.values())
        )

    def add(self, entry: HistoryEntry) -> None:
        """Add the document in force; the deltas to the previous one are obsolete and dropped."""
        self._entries.append(entry)
        self._deltas.clear()

    def find(self, version: int, digest: bytes) -> HistoryEntry | None:
        """Return the document at (`version`, `digest`) or None if it is no longer held."""
        matches = (e for e in self._entries if (e.version, e.digest) == (version, digest))
        return next(matches, None)

    def add_delta(self, base_digest: bytes, delta: bytes) -> None:
        """Store the delta from a base to the document in force, to forward it as received."""
        self._deltas[base_digest] = delta

    def _get_delta(self, base: HistoryEntry, latest: HistoryEntry) -> bytes:
        if base.digest not in self._deltas:
            self._deltas[base.digest] = build_delta(base.document, latest.document)
        return self._deltas[base.digest]

    def build_tombstone_messages(
        self, tombstones: Tombstones, *, full: bool
    ) -> list[ConfigDocument]:
        """Return messages with all tombstones or those changed since the oldest held document."""
        changed = tombstones.list_changed_since(0 if full else self._entries[0].sequence)
        return list(_build_messages(self._entries[-1], None, b"", changed))

    def build_answers(self, pull: ConfigPull, tombstones: Tombstones) -> list[ConfigDocument]:
        """Return messages with the document in force, as a delta if that is shorter.

        A peer that holds the same document gets recent tombstones only.
        """
        latest = self._entries[-1]
        if (pull.version, pull.digest) == (latest.version, latest.digest):
            return self.build_tombstone_messages(tombstones, full=False)
        base = self.find(pull.version, pull.digest)
        delta = self._get_delta(base, latest) if base else latest.document
        if base is None or len(delta) >= len(latest.document):
            changed = tombstones.list_changed_since(0)
            return list(_build_messages(latest, None, latest.document, changed))
        changed = tombstones.list_changed_since(base.sequence)
        return list(_build_messages(latest, base, delta, changed))


def _split_tombstones(items: list) -> Iterator[list]:
    starts = range(0, len(items), MAX_TOMBSTONES_PER_MESSAGE)
    return (items[start : start + MAX_TOMBSTONES_PER_MESSAGE] for start in starts)


def _build_messages(
    latest: HistoryEntry,
    base: HistoryEntry | None,
    body: bytes,
    changed: list[tuple[str, str, int]],
) -> Iterator[ConfigDocument]:
    groups = list(_split_tombstones(changed)) or [()]
    for index, group in enumerate(groups, start=1):
        last = index == len(groups)
        yield ConfigDocument(
            version=latest.version,
            digest=latest.digest,
            base_version=base.version if base and last else 0,
            base_digest=base.digest if base and last else b"",
            document=body if last else b"",
            tombstones=tuple(group),
        )
