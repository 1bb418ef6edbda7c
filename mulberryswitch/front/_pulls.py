"""Pulls: a VM whose directory is behind fetches the missing records from a peer over TCP."""

import asyncio
import contextlib
import logging
import zlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

import msgpack

from mulberryswitch.contracts import (
    MAX_PULL_BYTES,
    PULL_CODEC,
    DecodeError,
    DirectoryPart,
    DirectoryPull,
    HeritagePart,
)
from mulberryswitch.directory import START, Directory, Feed, Heritage, Position, Record, Source
from mulberryswitch.transport import parse_host_port, read_messages, write_messages
from mulberryswitch.vms import Member

from ._settings import Address

__all__ = ["DirectorySync", "pack_records", "unpack_records"]

PULL_TIMEOUT_S = 1.0
# A peer that has nothing newer yet delays its answer for up to this time (long polling).
LONG_POLL_S = 0.4

log = logging.getLogger("peers")


def pack_records(records: Iterable[Record]) -> bytes:
    """Return records encoded and compressed for a pull."""
    rows = [(r.key, r.epoch, r.revision, r.created_revision, r.value) for r in records]
    return zlib.compress(msgpack.packb(rows), level=1)


def unpack_records(packed: bytes) -> list[Record]:
    """Return the records that ``pack_records`` encoded.

    Raises
    ------
    DecodeError
        If the bytes are malformed, or exceed ``MAX_PULL_BYTES`` when decompressed.
    """
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(packed, MAX_PULL_BYTES)
        if decompressor.unconsumed_tail:
            raise DecodeError(f"records exceed {MAX_PULL_BYTES} bytes")
        if not decompressor.eof:
            raise DecodeError("records are incomplete")
        return [_build_record(*row) for row in msgpack.unpackb(data)]
    except DecodeError:
        raise
    except Exception as exc:  # zlib and msgpack raise unrelated types on bad input
        raise DecodeError(f"malformed records: {type(exc).__name__}") from exc


def _build_record(
    key: str, epoch: int, revision: int, created_revision: int, value: bytes | None
) -> Record:
    if type(key) is not str or {*map(type, (epoch, revision, created_revision))} != {int}:
        raise DecodeError("record has a key, epoch or revision of the wrong type")
    if value is not None and type(value) is not bytes:
        raise DecodeError("record value is not bytes")
    return Record(
        key=key, epoch=epoch, revision=revision, created_revision=created_revision, value=value
    )


def _pack_heritage(heritage: Heritage) -> HeritagePart:
    return HeritagePart(
        former_epoch=heritage.former.epoch,
        former_revision=heritage.former.revision,
        age_ms=int(heritage.age_s * 1000),
        kept=tuple(heritage.kept),
        withheld=tuple(heritage.withheld),
    )


def _unpack_heritage(part: HeritagePart) -> Heritage:
    return Heritage(
        former=Position(part.former_epoch, part.former_revision),
        age_s=part.age_ms / 1000,
        kept=frozenset(part.kept),
        withheld=frozenset(part.withheld),
    )


class DirectorySync:
    """Client and server of the pulls of one VM.

    Parameters
    ----------
    address : Address
        Address on which peers connect to the server.
    fleet : str
        Identifier of the fleet; pulls of another fleet are refused.
    directory : Directory
    feed : Feed
    report_change : callable
        Called after the directory has changed.
    count : callable
        ``count(name, amount)`` adds to a counter.
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        address: Address,
        fleet: str,
        directory: Directory,
        feed: Feed,
        report_change: Callable[[], None],
        count: Callable[[str, int], None],
        clock: Callable[[], float],
    ):
        self.address = address
        self.fleet = fleet
        self.directory = directory
        self.feed = feed
        self.report_change = report_change
        self.count = count
        self.clock = clock
        self._server: asyncio.Server | None = None
        self._cached_part: tuple[tuple[Position, Position], DirectoryPart] | None = None
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Start the server."""
        self._server = await asyncio.start_server(self._serve_peer, *self.address)

    def stop(self) -> None:
        """Stop the server."""
        if self._server is not None:
            self._server.close()

    def observe_change(self) -> None:
        """Wake the pulls that wait for a change of the directory."""
        self._cached_part = None
        self._changed.set()
        self._changed = asyncio.Event()

    async def pull(self, *, members: Sequence[Member], now_s: float) -> None:
        """Fetch the missing records from a peer that is ahead, if there is one."""
        source = self.feed.pick_source(members=members, is_ahead=self._is_ahead, now_s=now_s)
        if source is None:
            return
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                part = await self._fetch_part(source)
            records = unpack_records(part.packed)
        except (OSError, DecodeError) as exc:
            log.info(
                "directory pull failed", extra={"peer": source.vm, "error": str(exc) or "timeout"}
            )
            self.feed.observe_pull_failure(vm=source.vm, now_s=self.clock())
            return
        self._apply_part(part, records, source)

    def _is_ahead(self, source: Source) -> bool:
        """Return whether a peer has records of the store, or from before a restore, to give."""
        return source.position > self.directory.position or self._has_heritage(source)

    def _has_heritage(self, source: Source) -> bool:
        """Return whether a peer of this epoch knows what the store lacks, and this VM may not."""
        directory = self.directory
        if source.position.epoch != directory.epoch:
            return False
        # A peer that is further on in the epoch has its newer version from the store.
        has_newer_config = (
            source.version > directory.version and source.position <= directory.position
        )
        return has_newer_config or (source.keeps_heritage and directory.needs_heritage)

    def _apply_part(self, part: DirectoryPart, records: list[Record], source: Source) -> None:
        previous = self.directory.position
        if self._apply_records(part, records):
            self.report_change()
        if self.directory.position <= previous and self._is_ahead(source):
            self.feed.observe_pull_failure(vm=source.vm, now_s=self.clock())

    def _apply_records(self, part: DirectoryPart, records: list[Record]) -> bool:
        """Apply the records of a part without a gap; return whether any was new."""
        position = Position(part.epoch, part.revision)
        now_s = self.clock()
        if part.is_whole:
            return self.directory.apply_snapshot(
                records=records,
                position=position,
                now_s=now_s,
                heritage=_unpack_heritage(part.heritage),
            )
        if part.after > self.directory.revision:
            return False
        return self.directory.apply_records(records=records, position=position, now_s=now_s)

    async def _fetch_part(self, source: Source) -> DirectoryPart:
        # What is known from before a restore comes with all records only.
        after = START if self._has_heritage(source) else self.directory.position
        reader, writer = await asyncio.open_connection(*parse_host_port(source.address))
        try:
            pull = DirectoryPull(fleet=self.fleet, epoch=after.epoch, after=after.revision)
            write_messages(writer, PULL_CODEC, [pull])
            async for messages in read_messages(reader, PULL_CODEC):
                if isinstance(messages[0], DirectoryPart):
                    return messages[0]
            raise DecodeError("connection closed before an answer")
        finally:
            writer.transport.abort()

    async def _serve_peer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                async for messages in read_messages(reader, PULL_CODEC):
                    await self._handle_pull(messages[0], writer)
                    await writer.drain()
        except (OSError, DecodeError) as exc:
            log.info(
                "directory pull of a peer not served",
                extra={"error": str(exc) or type(exc).__name__},
            )
        finally:
            writer.close()

    async def _handle_pull(self, pull, writer: asyncio.StreamWriter) -> None:
        if not isinstance(pull, DirectoryPull) or pull.fleet != self.fleet:
            raise DecodeError("message is not a pull of this fleet")
        after = Position(pull.epoch, pull.after)
        if self.directory.position <= after:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LONG_POLL_S):
                    await self._changed.wait()
        self.count("pulls_served", 1)
        write_messages(writer, PULL_CODEC, [self._get_part(after)])

    def _get_part(self, after: Position) -> DirectoryPart:
        """Return the answer to a pull; the last one is cached as several peers request the same."""
        position = self.directory.position
        if self._cached_part is None or self._cached_part[0] != (after, position):
            self._cached_part = ((after, position), self._build_part(after, position))
        part = self._cached_part[1]
        if not part.is_whole:
            return part
        # The age of the heritage goes on while the records are cached.
        return replace(part, heritage=_pack_heritage(self.directory.build_heritage(self.clock())))

    def _build_part(self, after: Position, position: Position) -> DirectoryPart:
        changes = self.directory.list_changes(after)
        is_whole = changes is None
        return DirectoryPart(
            epoch=position.epoch,
            revision=position.revision,
            after=after.revision,
            is_whole=is_whole,
            packed=pack_records(self.directory.list_records() if is_whole else changes),
            heritage=HeritagePart(),
        )
