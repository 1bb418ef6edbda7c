"""Pulls: a VM whose directory is behind fetches the missing records from a peer over TCP."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

from mulberryswitch.contracts import (
    PULL_CODEC,
    ChunkPart,
    ChunkPull,
    DecodeError,
    DirectoryPart,
    DirectoryPull,
)
from mulberryswitch.directory import (
    START,
    ChunkError,
    ChunkStore,
    Directory,
    Feed,
    Outline,
    Position,
    Record,
    Source,
)
from mulberryswitch.transport import parse_host_port, read_messages, write_messages
from mulberryswitch.vms import Member

from ._packing import unpack_chunks, unpack_heritage, unpack_part
from ._pull_server import PullServer

__all__ = ["DirectorySync"]

PULL_TIMEOUT_S = 1.0
# A peer with a small link serves several VMs in turn, so chunks take longer than records.
CHUNK_TIMEOUT_S = 2.0
# What arrives in one answer is kept if a later one fails.
CHUNKS_PER_PULL = 32

log = logging.getLogger("peers")


class _Connection:
    """Connection to a peer's pull server, for one request at a time."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._writer = writer
        self._messages = read_messages(reader, PULL_CODEC)

    async def request(self, message: Any, answer_type: type, *, timeout_s: float) -> Any:
        """Send a message and return the answer.

        Raises
        ------
        OSError
            If the connection fails, or no answer arrives within `timeout_s` seconds.
        DecodeError
            If the answer is malformed or of another type.
        """
        async with asyncio.timeout(timeout_s):
            write_messages(self._writer, PULL_CODEC, [message])
            answers = await anext(self._messages, None)
        if answers is None:
            raise DecodeError("connection closed before an answer")
        if not isinstance(answers[0], answer_type):
            raise DecodeError(f"answer is not a {answer_type.__name__}")
        return answers[0]


@asynccontextmanager
async def _connect(address: str) -> AsyncIterator[_Connection]:
    async with asyncio.timeout(PULL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*parse_host_port(address))
    try:
        yield _Connection(reader=reader, writer=writer)
    finally:
        writer.transport.abort()


class DirectorySync:
    """Keeps the directory of one VM up to date with its peers.

    Parameters
    ----------
    server : PullServer
        This VM's own server, which knows the chunks that the VM holds.
    directory : Directory
    feed : Feed
    report_change : callable
        Called after the directory has changed.
    count : callable
        ``count(name, amount)`` adds to a counter.
    clock : callable
        Monotonic clock in seconds.

    Attributes
    ----------
    failure : str
        Cause of the last failed pull; empty after one that succeeded.
    """

    def __init__(
        self,
        *,
        server: PullServer,
        directory: Directory,
        feed: Feed,
        report_change: Callable[[], None],
        count: Callable[[str, int], None],
        clock: Callable[[], float],
    ):
        self.server = server
        self.directory = directory
        self.feed = feed
        self.report_change = report_change
        self.count = count
        self.clock = clock
        self.failure = ""
        self._fetched = ChunkStore()

    async def pull(self, *, members: Sequence[Member], now_s: float) -> None:
        """Fetch the missing records from a peer that is ahead, if there is one."""
        source = self.feed.pick_source(members=members, is_ahead=self._is_ahead, now_s=now_s)
        if source is None:
            self.feed.observe_up_to_date()
            return
        try:
            async with _connect(source.address) as conn:
                part = await self._fetch_part(conn, source)
                records = await self._fetch_values(conn, part)
        except (OSError, DecodeError, ChunkError) as exc:
            self.feed.observe_pull_failure(vm=source.vm, now_s=self.clock())
            self._report_failure(source, str(exc) or type(exc).__name__)
            self._fetched.trim()
            return
        self.failure = ""
        self._fetched.clear()
        self._apply_part(part, records, source)

    def _report_failure(self, source: Source, cause: str) -> None:
        self.failure = cause
        self.count("pulls_failed", 1)
        now_s = self.clock()
        log.warning(
            "directory pull failed",
            extra={
                "peer": source.vm,
                "error": cause,
                "failing_s": round(self.feed.get_failing_s(now_s), 1),
                "revision": self.directory.revision,
                "peer_revision": source.position.revision,
            },
        )

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

    async def _fetch_part(self, conn: _Connection, source: Source) -> DirectoryPart:
        # What is known from before a restore comes with all records only.
        after = START if self._has_heritage(source) else self.directory.position
        pull = DirectoryPull(fleet=self.server.fleet, epoch=after.epoch, after=after.revision)
        return await conn.request(pull, DirectoryPart, timeout_s=PULL_TIMEOUT_S)

    async def _fetch_values(self, conn: _Connection, part: DirectoryPart) -> list[Record]:
        """Return the records of a part with the large values that it only outlines."""
        return [
            (
                item.record
                if item.outline is None
                else replace(item.record, value=await self._fetch_value(conn, item.outline))
            )
            for item in unpack_part(part.packed)
        ]

    async def _fetch_value(self, conn: _Connection, outline: Outline) -> bytes:
        known = self.server.get_chunks()
        missing = self._fetched.list_missing(outline, known)
        for start in range(0, len(missing), CHUNKS_PER_PULL):
            digests = tuple(missing[start : start + CHUNKS_PER_PULL])
            pull = ChunkPull(fleet=self.server.fleet, digests=digests)
            answer = await conn.request(pull, ChunkPart, timeout_s=CHUNK_TIMEOUT_S)
            chunks = unpack_chunks(answer.packed)
            self.count("chunks_fetched", len(chunks))
            if self._fetched.add(chunks):
                self.feed.observe_pull_progress()
        if self._fetched.list_missing(outline, known):
            # The peer has a newer value by now, of which the next pull gets the outline.
            raise ChunkError("peer no longer holds all chunks of the value")
        return self._fetched.assemble(outline, known)

    def _apply_part(self, part: DirectoryPart, records: list[Record], source: Source) -> None:
        previous = self.directory.position
        if self._apply_records(part, records):
            self.report_change()
        if self.directory.position > previous or not self._is_ahead(source):
            self.feed.observe_pull_progress()
        elif self.feed.observe_pull_without_news(vm=source.vm, now_s=self.clock()):
            self._report_failure(source, "peer has nothing newer")

    def _apply_records(self, part: DirectoryPart, records: list[Record]) -> bool:
        """Apply the records of a part without a gap; return whether any was new."""
        position = Position(part.epoch, part.revision)
        now_s = self.clock()
        if part.is_whole:
            return self.directory.apply_snapshot(
                records=records,
                position=position,
                now_s=now_s,
                heritage=unpack_heritage(part.heritage),
            )
        if part.after > self.directory.revision:
            return False
        return self.directory.apply_records(records=records, position=position, now_s=now_s)
