"""A TCP proxy in front of the store that injects link faults."""

import asyncio
import contextlib
from enum import Enum

__all__ = ["LinkFault", "Relay"]

READ_BYTES = 64 * 1024


class LinkFault(Enum):
    """Fault of the link between the VMs and the store."""

    NONE = "none"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"
    SLOW = "slow"


class Relay:
    """Forwards TCP connections to the store.

    Parameters
    ----------
    address, store : tuple of str and int
        Listening address and address of the store.
    delay_s : float
        Delay of each chunk of an answer while the link is slow.
    """

    def __init__(self, *, address: tuple[str, int], store: tuple[str, int], delay_s: float = 0.3):
        self.address = address
        self.store = store
        self.delay_s = delay_s
        self._faults: list[LinkFault] = []
        self._server: asyncio.Server | None = None
        self._open_connections: set[asyncio.StreamWriter] = set()
        # Connections open when the link goes silent stay silent, also after the fault has ended.
        self._silenced_connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    @property
    def fault(self) -> LinkFault:
        """The fault in force: of several, the one that started last."""
        return self._faults[-1] if self._faults else LinkFault.NONE

    def end_fault(self, fault: LinkFault) -> None:
        """End a fault that ``start_fault`` started; others that overlap it stay."""
        self._faults.remove(fault)

    def start_fault(self, fault: LinkFault) -> None:
        """Start a fault of the link."""
        self._faults.append(fault)
        if fault is LinkFault.RESET:
            for writer in list(self._open_connections):
                writer.transport.abort()
        if fault is LinkFault.SILENT:
            self._silenced_connections |= self._open_connections

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        for writer in list(self._open_connections):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is LinkFault.RESET:
            writer.transport.abort()
            return
        self._open_connections.add(writer)
        try:
            store_reader, store_writer = await asyncio.open_connection(*self.store)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._forward(reader, store_writer, writer, is_answer=False))
                    group.create_task(self._forward(store_reader, writer, writer, is_answer=True))
            finally:
                store_writer.transport.abort()
        except* OSError:
            pass  # one side closed; the other connection is aborted below
        except* asyncio.CancelledError:
            pass  # the run is over
        finally:
            self._open_connections.discard(writer)
            self._silenced_connections.discard(writer)
            writer.transport.abort()

    async def _forward(self, source, sink, client, *, is_answer: bool) -> None:
        while data := await source.read(READ_BYTES):
            if client in self._silenced_connections:
                continue
            if is_answer and self.fault is LinkFault.ONE_WAY:
                continue
            if is_answer and self.fault is LinkFault.SLOW:
                await asyncio.sleep(self.delay_s)
            sink.write(data)
            with contextlib.suppress(ConnectionError):
                await sink.drain()
        raise ConnectionResetError("end of stream")
