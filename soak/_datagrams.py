"""A bound UDP socket that passes received datagrams to a callback."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

__all__ = ["DatagramSocket"]

# All callers and targets share one event loop, so datagrams may stay in the buffer for long.
BUFFER_BYTES = 1 << 20


class DatagramSocket(asyncio.DatagramProtocol):
    """UDP socket of a caller or a target.

    Parameters
    ----------
    on_datagram : callable
        Called with the data of a datagram and the address of its sender.
    """

    def __init__(self, *, on_datagram: Callable[[bytes, tuple[str, int]], None]):
        self.on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)

    def datagram_received(self, data: bytes, addr) -> None:
        """Pass a datagram to the callback."""
        self.on_datagram(data, addr)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; it is dropped if the buffer is full, and retransmitted by its sender."""
        with contextlib.suppress(OSError):
            self._transport.sendto(data, address)

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
