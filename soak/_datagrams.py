"""A bound UDP address that hands its datagrams to a function."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

__all__ = ["DatagramAddress"]

# One event loop serves all stand-ins, so datagrams wait longer than usual.
BUFFER_BYTES = 1 << 20


class DatagramAddress(asyncio.DatagramProtocol):
    """One address of a caller or a target.

    Parameters
    ----------
    receive : callable
        Takes the data of a datagram and the address of its sender.
    """

    def __init__(self, *, receive: Callable[[bytes, tuple[str, int]], None]):
        self.receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Bind the address."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)

    def datagram_received(self, data: bytes, addr) -> None:
        """Hand a datagram over."""
        self.receive(data, addr)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; a full buffer loses it, and its sender repeats it."""
        with contextlib.suppress(OSError):
            self._transport.sendto(data, address)

    def stop(self) -> None:
        """Give the address back."""
        if self._transport is not None:
            self._transport.close()
