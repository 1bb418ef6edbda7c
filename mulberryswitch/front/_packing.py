"""Encoding of records and chunks for the exchange between VMs."""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgpack

from mulberryswitch.contracts import MAX_PULL_BYTES, DecodeError, HeritagePart
from mulberryswitch.directory import (
    ChunkError,
    Heritage,
    Outline,
    Position,
    Record,
    build_outline,
)

__all__ = [
    "MAX_INLINE_VALUE_BYTES",
    "PartialRecord",
    "pack_chunks",
    "pack_heritage",
    "pack_records",
    "unpack_chunks",
    "unpack_heritage",
    "unpack_part",
    "unpack_records",
]

# A larger value is sent as an outline. Compressed, a value of this size is a few packets.
MAX_INLINE_VALUE_BYTES = 65_536
COMPRESSION_LEVEL = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class PartialRecord:
    """A record of a peer; with `outline`, its value has still to be fetched."""

    record: Record
    outline: Outline | None = None


def pack_records(records: Iterable[Record]) -> bytes:
    """Return records encoded and compressed, large values as outlines."""
    return _pack([_build_row(record) for record in records])


def _build_row(record: Record) -> tuple:
    value, outline = record.value, b""
    if value is not None and len(value) > MAX_INLINE_VALUE_BYTES:
        value, outline = b"", build_outline(value).pack()
    return record.key, record.epoch, record.revision, record.created_revision, value, outline


def unpack_part(packed: bytes) -> list[PartialRecord]:
    """Return the records that ``pack_records`` encoded.

    Raises
    ------
    DecodeError
        If the bytes are malformed, or exceed ``MAX_PULL_BYTES`` when decompressed.
    """
    rows = _unpack(packed)
    try:
        return [_build_partial_record(*row) for row in rows]
    except (TypeError, ChunkError) as exc:
        raise DecodeError(f"malformed records: {exc}") from exc


def unpack_records(packed: bytes) -> list[Record]:
    """Return records that have no large values; raise ``DecodeError`` as `unpack_part` does."""
    partial = unpack_part(packed)
    if any(item.outline is not None for item in partial):
        raise DecodeError("record with an outline where a value is expected")
    return [item.record for item in partial]


def _build_partial_record(
    key: str, epoch: int, revision: int, created_revision: int, value: bytes | None, outline: bytes
) -> PartialRecord:
    if type(key) is not str or {*map(type, (epoch, revision, created_revision))} != {int}:
        raise DecodeError("record has a key, epoch or revision of the wrong type")
    if (value is not None and type(value) is not bytes) or type(outline) is not bytes:
        raise DecodeError("record value or outline is not bytes")
    record = Record(
        key=key, epoch=epoch, revision=revision, created_revision=created_revision, value=value
    )
    return PartialRecord(record=record, outline=Outline.unpack(outline) if outline else None)


def pack_chunks(chunks: Iterable[bytes | memoryview]) -> bytes:
    """Return chunks of values encoded and compressed."""
    return _pack([bytes(chunk) for chunk in chunks])


def unpack_chunks(packed: bytes) -> list[bytes]:
    """Return the chunks that ``pack_chunks`` encoded; raise ``DecodeError`` if malformed."""
    chunks = _unpack(packed)
    if any(type(chunk) is not bytes for chunk in chunks):
        raise DecodeError("chunk is not bytes")
    return chunks


def _pack(rows: list) -> bytes:
    return zlib.compress(msgpack.packb(rows), level=COMPRESSION_LEVEL)


def _unpack(packed: bytes) -> list[Any]:
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(packed, MAX_PULL_BYTES)
        if decompressor.unconsumed_tail:
            raise DecodeError(f"content exceeds {MAX_PULL_BYTES} bytes")
        if not decompressor.eof:
            raise DecodeError("content is incomplete")
        rows = msgpack.unpackb(data)
    except DecodeError:
        raise
    except Exception as exc:  # zlib and msgpack raise unrelated types on bad input
        raise DecodeError(f"malformed content: {type(exc).__name__}") from exc
    if type(rows) is not list:
        raise DecodeError(f"expected an array, got {type(rows).__name__}")
    return rows


def pack_heritage(heritage: Heritage) -> HeritagePart:
    """Return the message for what is known from before a restore."""
    return HeritagePart(
        former_epoch=heritage.former.epoch,
        former_revision=heritage.former.revision,
        age_ms=int(heritage.age_s * 1000),
        kept=tuple(heritage.kept),
        withheld=tuple(heritage.withheld),
    )


def unpack_heritage(part: HeritagePart) -> Heritage:
    """Return the content of such a message."""
    return Heritage(
        former=Position(part.former_epoch, part.former_revision),
        age_s=part.age_ms / 1000,
        kept=frozenset(part.kept),
        withheld=frozenset(part.withheld),
    )
