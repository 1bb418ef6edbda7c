"""Server of the pulls: peers that are behind fetch records and chunks of large values from here."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import replace

from mulberryswitch.contracts import (
    PULL_CODEC,
    ChunkPart,
    ChunkPull,
    DecodeError,
    DirectoryPart,
    DirectoryPull,
    HeritagePart,
)
from mulberryswitch.directory import Directory, Position, index_chunks
from mulberryswitch.transport import read_messages, write_messages

from ._pacing import TransferPacer
from ._packing import MAX_INLINE_VALUE_BYTES, pack_chunks, pack_heritage, pack_records
from ._settings import Address

__all__ = ["PullServer"]

# A peer that has nothing newer yet delays its answer for up to this time (long polling).
LONG_POLL_S = 0.4
# Time without a request or with an unread answer after which a connection is closed.
IDLE_TIMEOUT_S = 3.0

log = logging.getLogger("peers")


class PullServer:
    """Answers pulls of records and of chunks, paced to a share of this VM's link.

    Parameters
    ----------
    address : Address
        Address to listen on.
    fleet : str
        Identifier of the fleet; pulls of another fleet are refused.
    directory : Directory
    pacer : TransferPacer
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
        pacer: TransferPacer,
        count: Callable[[str, int], None],
        clock: Callable[[], float],
    ):
        self.address = address
        self.fleet = fleet
        self.directory = directory
        self.pacer = pacer
        self.count = count
        self.clock = clock
        self._server: asyncio.Server | None = None
        self._cached_part: tuple[tuple[Position, Position], DirectoryPart] | None = None
        self._chunks: dict[bytes, memoryview] | None = None
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve_peer, *self.address)

    def stop(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    def observe_change(self) -> None:
        """Drop what is cached, and wake the pulls that wait for a change of the directory."""
        self._cached_part = None
        self._chunks = None
        self._changed.set()
        self._changed = asyncio.Event()

    def get_chunks(self) -> dict[bytes, memoryview]:
        """Return the chunks of the large values that this VM holds, by digest."""
        if self._chunks is None:
            self._chunks = index_chunks(
                record.value
                for record in self.directory.list_records()
                if len(record.value or b"") > MAX_INLINE_VALUE_BYTES
            )
        return self._chunks

    async def _serve_peer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S) as limit:
                async for messages in read_messages(reader, PULL_CODEC):
                    limit.reschedule(None)
                    answer = await self._build_answer(messages[0])
                    await self._send_paced(writer, answer)
                    limit.reschedule(loop.time() + IDLE_TIMEOUT_S)
                    await writer.drain()
        except (OSError, DecodeError) as exc:
            log.info(
                "directory pull of a peer not served",
                extra={"error": str(exc) or type(exc).__name__},
            )
        finally:
            writer.close()

    async def _build_answer(
        self, pull: DirectoryPull | ChunkPull | object
    ) -> DirectoryPart | ChunkPart:
        if not isinstance(pull, DirectoryPull | ChunkPull) or pull.fleet != self.fleet:
            raise DecodeError("message is not a pull of this fleet")
        if isinstance(pull, ChunkPull):
            chunks = self.get_chunks()
            self.count("chunks_served", len(pull.digests))
            return ChunkPart(packed=pack_chunks(chunks[d] for d in pull.digests if d in chunks))
        after = Position(pull.epoch, pull.after)
        if self.directory.position <= after:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LONG_POLL_S):
                    await self._changed.wait()
        self.count("pulls_served", 1)
        return self._get_part(after)

    async def _send_paced(
        self, writer: asyncio.StreamWriter, answer: DirectoryPart | ChunkPart
    ) -> None:
        wait_s = self.pacer.reserve(len(answer.packed), self.clock())
        if wait_s:
            self.count("pulls_paced", 1)
            await asyncio.sleep(wait_s)
        self.count("pull_bytes", write_messages(writer, PULL_CODEC, [answer]))

    def _get_part(self, after: Position) -> DirectoryPart:
        """Return the answer to a pull; the last one is cached as several peers request the same."""
        position = self.directory.position
        if self._cached_part is None or self._cached_part[0] != (after, position):
            self._cached_part = ((after, position), self._build_part(after, position))
        part = self._cached_part[1]
        if not part.is_whole:
            return part
        # The age of the heritage goes on while the records are cached.
        return replace(part, heritage=pack_heritage(self.directory.build_heritage(self.clock())))

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
