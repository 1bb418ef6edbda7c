"""A loopback proxy before the store that delays, resets, silences and cuts connections."""

import asyncio
import contextlib
from enum import Enum

__all__ = ["LinkTrouble", "Relay"]

READ_BYTES = 64 * 1024


class LinkTrouble(Enum):
    """What happens on the way between the VMs and the store."""

    NONE = "none"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"
    SLOW = "slow"


class Relay:
    """Passes TCP connections on to the store.

    Parameters
    ----------
    address, store : tuple of str and int
        Where it listens, and where the store is.
    delay_s : float
        Delay of each piece of an answer while the link is slow.
    """

    def __init__(self, *, address: tuple[str, int], store: tuple[str, int], delay_s: float = 0.3):
        self.address = address
        self.store = store
        self.delay_s = delay_s
        self.trouble = LinkTrouble.NONE
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        # Connections that were open when the link fell silent stay silent for good.
        self._silenced: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def apply(self, trouble: LinkTrouble) -> None:
        """Switch the trouble."""
        self.trouble = trouble
        if trouble is LinkTrouble.RESET:
            for writer in list(self._open):
                writer.transport.abort()
        if trouble is LinkTrouble.SILENT:
            self._silenced |= self._open

    def stop(self) -> None:
        """Close everything."""
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.trouble is LinkTrouble.RESET:
            writer.transport.abort()
            return
        self._open.add(writer)
        try:
            store_reader, store_writer = await asyncio.open_connection(*self.store)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._pass(reader, store_writer, writer, is_answer=False))
                    group.create_task(self._pass(store_reader, writer, writer, is_answer=True))
            finally:
                store_writer.transport.abort()
        except* OSError:
            pass  # either end closed, which the other one sees as the end of its connection
        except* asyncio.CancelledError:
            pass  # the run is over
        finally:
            self._open.discard(writer)
            self._silenced.discard(writer)
            writer.transport.abort()

    async def _pass(self, source, sink, client, *, is_answer: bool) -> None:
        while data := await source.read(READ_BYTES):
            if client in self._silenced:
                continue
            if is_answer and self.trouble is LinkTrouble.ONE_WAY:
                continue
            if is_answer and self.trouble is LinkTrouble.SLOW:
                await asyncio.sleep(self.delay_s)
            sink.write(data)
            with contextlib.suppress(ConnectionError):
                await sink.drain()
        raise ConnectionResetError("end of stream")
