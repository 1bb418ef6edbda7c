"""Recent documents and the answers to pulls that are built from them."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from mulberryswitch.contracts import ConfigDocument, ConfigPull

from ._bindings import Tombstones
from ._delta import build_delta

__all__ = ["History", "Kept"]

MAX_KEPT = 4
# Four peer frames carry the whole table; one would exceed the frame limit with long names.
MAX_TOMBSTONES_PER_MESSAGE = 16_384


@dataclass(frozen=True, kw_only=True, slots=True)
class Kept:
    """An accepted document and the change number of the tombstones right after it."""

    version: int
    digest: bytes
    document: bytes
    sequence: int


class History:
    """The last accepted documents, so that peers that hold one of them get a delta."""

    def __init__(self):
        self._kept: deque[Kept] = deque(maxlen=MAX_KEPT)
        self._deltas: dict[bytes, bytes] = {}

    @property
    def size_bytes(self) -> int:
        """Bytes of the documents and deltas."""
        return sum(len(kept.document) for kept in self._kept) + sum(map(len, self._deltas.values()))

    def add(self, kept: Kept) -> None:
        """Add the document in force; deltas to the previous one are of no more use."""
        self._kept.append(kept)
        self._deltas.clear()

    def find(self, version: int, digest: bytes) -> Kept | None:
        """Return the document at (`version`, `digest`) if it is still kept."""
        matches = (k for k in self._kept if (k.version, k.digest) == (version, digest))
        return next(matches, None)

    def add_delta(self, base_digest: bytes, delta: bytes) -> None:
        """Keep the delta from a base to the document in force, to pass it on as received."""
        self._deltas[base_digest] = delta

    def _pick_delta(self, base: Kept, latest: Kept) -> bytes:
        if base.digest not in self._deltas:
            self._deltas[base.digest] = build_delta(base.document, latest.document)
        return self._deltas[base.digest]

    def build_tombstones(self, tombstones: Tombstones, *, whole: bool) -> list[ConfigDocument]:
        """Return all tombstones, or those that changed since the oldest kept document."""
        changed = tombstones.read_since(0 if whole else self._kept[0].sequence)
        return list(_build_messages(self._kept[-1], None, b"", changed))

    def build_answers(self, pull: ConfigPull, tombstones: Tombstones) -> list[ConfigDocument]:
        """Return the document in force for a peer, as a delta when that is shorter.

        A peer that holds the same document gets recent tombstones and no document.
        """
        latest = self._kept[-1]
        if (pull.version, pull.digest) == (latest.version, latest.digest):
            return self.build_tombstones(tombstones, whole=False)
        base = self.find(pull.version, pull.digest)
        delta = self._pick_delta(base, latest) if base else latest.document
        if base is None or len(delta) >= len(latest.document):
            changed = tombstones.read_since(0)
            return list(_build_messages(latest, None, latest.document, changed))
        changed = tombstones.read_since(base.sequence)
        return list(_build_messages(latest, base, delta, changed))


def _split(items: list) -> Iterator[list]:
    starts = range(0, len(items), MAX_TOMBSTONES_PER_MESSAGE)
    return (items[start : start + MAX_TOMBSTONES_PER_MESSAGE] for start in starts)


def _build_messages(
    latest: Kept, base: Kept | None, body: bytes, changed: list[tuple[str, str, int]]
) -> Iterator[ConfigDocument]:
    groups = list(_split(changed)) or [()]
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
