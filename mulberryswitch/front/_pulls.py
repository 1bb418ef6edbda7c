"""Pulls: a VM that is behind takes the difference from a peer over TCP."""

import asyncio
import contextlib
import logging
import zlib
from collections.abc import Callable, Iterable, Sequence

import msgpack

from mulberryswitch.contracts import (
    MAX_PULL_BYTES,
    PULL_CODEC,
    DecodeError,
    DirectoryPart,
    DirectoryPull,
)
from mulberryswitch.directory import Directory, Feed, Record, Source
from mulberryswitch.transport import parse_host_port, read_messages, write_messages
from mulberryswitch.vms import Member

from ._settings import Address

__all__ = ["Pulls", "pack_records", "unpack_records"]

PULL_TIMEOUT_S = 1.0
# A peer that is asked before it has the news itself waits for them.
PULL_WAIT_S = 0.4

log = logging.getLogger("peers")


def pack_records(records: Iterable[Record]) -> bytes:
    """Return records compressed for a pull."""
    rows = [(r.key, r.revision, r.created_revision, r.value) for r in records]
    return zlib.compress(msgpack.packb(rows), level=1)


def unpack_records(packed: bytes) -> list[Record]:
    """Return the records of a pull.

    Raises
    ------
    DecodeError
        If the bytes are not what ``pack_records`` returns, or too many.
    """
    try:
        unzip = zlib.decompressobj()
        data = unzip.decompress(packed, MAX_PULL_BYTES)
        if unzip.unconsumed_tail:
            raise DecodeError(f"records of more than {MAX_PULL_BYTES} bytes")
        return [_build_record(*row) for row in msgpack.unpackb(data)]
    except DecodeError:
        raise
    except Exception as exc:  # zlib and msgpack raise unrelated types on bad input
        raise DecodeError(f"bad records: {type(exc).__name__}") from exc


def _build_record(key: str, revision: int, created: int, value: bytes | None) -> Record:
    if (type(key), type(revision), type(created)) != (str, int, int):
        raise DecodeError("a record has fields of the wrong type")
    if value is not None and type(value) is not bytes:
        raise DecodeError("a record has a value that is no bytes")
    return Record(key=key, revision=revision, created_revision=created, value=value)


class Pulls:
    """Both ends of the pulls of one VM.

    Parameters
    ----------
    address : Address
        Where peers connect.
    fleet : str
        Pulls of another fleet are refused.
    directory : Directory
    feed : Feed
    report_change : callable
        Called after the directory has changed.
    count : callable
        ``count(name, amount)`` adds to a counter.
    clock : callable
        Returns seconds that never go back.
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
        self._part: DirectoryPart | None = None
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Open the server."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def stop(self) -> None:
        """Close the server."""
        if self._server is not None:
            self._server.close()

    def observe_change(self) -> None:
        """The directory has changed: answer the peers that wait for it."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def pull(self, *, members: Sequence[Member], now_s: float) -> None:
        """Catch up with a peer that is ahead, if there is one."""
        source = self.feed.pick_source(
            members=members, revision=self.directory.revision, now_s=now_s
        )
        if source is None:
            return
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                part = await self._exchange(source.address)
            records = unpack_records(part.packed)
        except (OSError, DecodeError) as exc:
            log.info("pull failed", extra={"peer": source.vm, "error": str(exc) or "timeout"})
            self.feed.observe_pull_failure(vm=source.vm, now_s=self.clock())
            return
        self._apply(part, records, source)

    def _apply(self, part: DirectoryPart, records: list[Record], source: Source) -> None:
        apply = self.directory.apply_snapshot if part.is_whole else self.directory.apply_records
        former = self.directory.revision
        has_gap = not part.is_whole and part.after > former
        if not has_gap and apply(records=records, revision=part.revision, now_s=self.clock()):
            self.report_change()
        if self.directory.revision <= former:
            self.feed.observe_pull_failure(vm=source.vm, now_s=self.clock())

    async def _exchange(self, address: str) -> DirectoryPart:
        reader, writer = await asyncio.open_connection(*parse_host_port(address))
        try:
            pull = DirectoryPull(fleet=self.fleet, after=self.directory.revision)
            write_messages(writer, PULL_CODEC, [pull])
            async for messages in read_messages(reader, PULL_CODEC):
                if isinstance(messages[0], DirectoryPart):
                    return messages[0]
            raise DecodeError("stream ended without an answer")
        finally:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                async for messages in read_messages(reader, PULL_CODEC):
                    await self._answer(messages[0], writer)
                    await writer.drain()
        except (OSError, DecodeError) as exc:
            log.info("pull not served", extra={"error": str(exc) or type(exc).__name__})
        finally:
            writer.close()

    async def _answer(self, pull, writer: asyncio.StreamWriter) -> None:
        if not isinstance(pull, DirectoryPull) or pull.fleet != self.fleet:
            raise DecodeError("not a pull of this fleet")
        if self.directory.revision <= pull.after:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PULL_WAIT_S):
                    await self._changed.wait()
        self.count("pulls_served", 1)
        write_messages(writer, PULL_CODEC, [self._build_part(pull.after)])

    def _build_part(self, after: int) -> DirectoryPart:
        """Return the answer to a pull; several peers ask for the same one."""
        part = self._part
        if part is not None and (part.after, part.revision) == (after, self.directory.revision):
            return part
        changes = self.directory.list_changes(after)
        is_whole = changes is None
        self._part = DirectoryPart(
            revision=self.directory.revision,
            after=after,
            is_whole=is_whole,
            packed=pack_records(self.directory.list_records() if is_whole else changes),
        )
        return self._part
