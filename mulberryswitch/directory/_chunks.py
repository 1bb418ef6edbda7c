"""Division of large values into chunks, so that a peer fetches only those that it lacks.

The boundaries follow from the content, so an insertion changes the chunks around it and leaves all
others alone. It answers configurations of thousands of routes on links of a few Mbit/s: a change of
a few routes moves a few chunks, and a transfer that breaks off goes on where it stopped.
"""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

__all__ = ["ChunkError", "ChunkStore", "Outline", "build_outline", "index_chunks", "split_value"]

# Ends an element of JSON text; a value without it is divided by size alone.
SEPARATOR = b"}"
# On average one element in this many ends a chunk.
ELEMENTS_PER_CHUNK = 16
MAX_CHUNK_BYTES = 16_384
# Most that a chunk store keeps of transfers that broke off.
MAX_KEPT_BYTES = 2 * 1024 * 1024
CHECKSUM_BYTES = 16
DIGEST_BYTES = 8


class ChunkError(ValueError):
    """An outline is malformed, or its chunks do not add up to the value."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Outline:
    """A value as the digests of its chunks, with a checksum of the whole."""

    checksum: bytes
    digests: tuple[bytes, ...]

    def pack(self) -> bytes:
        """Return the outline as bytes."""
        return self.checksum + b"".join(self.digests)

    @classmethod
    def unpack(cls, packed: bytes) -> "Outline":
        """Return the outline that `pack` encoded; raise ``ChunkError`` if it is malformed."""
        if len(packed) < CHECKSUM_BYTES or (len(packed) - CHECKSUM_BYTES) % DIGEST_BYTES:
            raise ChunkError(f"outline of {len(packed)} bytes")
        starts = range(CHECKSUM_BYTES, len(packed), DIGEST_BYTES)
        digests = tuple(packed[start : start + DIGEST_BYTES] for start in starts)
        return cls(checksum=packed[:CHECKSUM_BYTES], digests=digests)


def split_value(value: bytes) -> list[memoryview]:
    """Return the chunks of a value, in order and without copies."""
    view = memoryview(value)
    chunks = []
    start = end = 0
    while end < len(value):
        limit = start + MAX_CHUNK_BYTES
        found = value.find(SEPARATOR, end, limit)
        element_start, end = end, min(len(value), limit if found < 0 else found + 1)
        is_boundary = zlib.crc32(view[element_start:end]) % ELEMENTS_PER_CHUNK == 0
        if is_boundary or end == limit or end == len(value):
            chunks.append(view[start:end])
            start = end
    return chunks


def index_chunks(values: Iterable[bytes]) -> dict[bytes, memoryview]:
    """Return the chunks of values by digest."""
    return {xxhash.xxh3_64_digest(c): c for value in values for c in split_value(value)}


def build_outline(value: bytes) -> Outline:
    """Return the outline of a value."""
    return Outline(
        checksum=xxhash.xxh3_128_digest(value),
        digests=tuple(xxhash.xxh3_64_digest(chunk) for chunk in split_value(value)),
    )


class ChunkStore:
    """Chunks that were fetched for values which are not complete yet.

    They are kept when a transfer breaks off, so the next one, from any peer and also of a newer
    value, fetches only the rest.
    """

    def __init__(self) -> None:
        self._chunks: dict[bytes, bytes] = {}
        self._size_bytes = 0

    def add(self, chunks: Iterable[bytes]) -> int:
        """Keep fetched chunks; return the number of those that were not known."""
        fetched = {xxhash.xxh3_64_digest(chunk): chunk for chunk in chunks}
        new = fetched.keys() - self._chunks.keys()
        self._size_bytes += sum(len(fetched[digest]) for digest in new)
        self._chunks |= fetched
        return len(new)

    def list_missing(
        self, outline: Outline, known: Mapping[bytes, bytes | memoryview]
    ) -> list[bytes]:
        """Return the digests of the chunks that are neither kept nor `known`, each once."""
        return [
            digest
            for digest in dict.fromkeys(outline.digests)
            if digest not in self._chunks and digest not in known
        ]

    def assemble(self, outline: Outline, known: Mapping[bytes, bytes | memoryview]) -> bytes:
        """Return the value of an outline that lacks no chunk.

        Raises
        ------
        ChunkError
            If the checksum differs, as when two chunks have one digest. The kept chunks are then
            dropped.
        """
        value = b"".join(
            self._chunks[digest] if digest in self._chunks else known[digest]
            for digest in outline.digests
        )
        if xxhash.xxh3_128_digest(value) != outline.checksum:
            self.clear()
            raise ChunkError("chunks do not add up to the value of the outline")
        return value

    def trim(self) -> None:
        """Drop all chunks if they exceed the limit; called between two transfers."""
        if self._size_bytes > MAX_KEPT_BYTES:
            self.clear()

    def clear(self) -> None:
        """Drop all chunks."""
        self._chunks.clear()
        self._size_bytes = 0
