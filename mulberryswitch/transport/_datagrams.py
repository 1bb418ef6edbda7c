"""A UDP socket that hands over several datagrams per wake-up of the event loop."""

import asyncio
import logging
import socket
from collections.abc import Callable

__all__ = ["DatagramSocket"]

# One wake-up per datagram halves the packet rate; an unbounded loop would starve other tasks.
MAX_READS_PER_WAKEUP = 64
BUFFER_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65_535

log = logging.getLogger("transport")


class DatagramSocket:
    """Owner of one bound UDP socket.

    Parameters
    ----------
    host : str
    port : int
    receive : callable
        Takes the data of a datagram and the address of its sender.
    """

    def __init__(self, *, host: str, port: int, receive: Callable[[bytes, tuple[str, int]], None]):
        self.host = host
        self.port = port
        self.receive = receive
        self.unsent = 0
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Bind the socket and read it from the running event loop."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        sock.bind((self.host, self.port))
        self._socket = sock
        asyncio.get_running_loop().add_reader(sock.fileno(), self.read)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the socket is bound to."""
        return self._socket.getsockname()

    def stop(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; one that the system does not take is lost like any other, and counted.

        Callers repeat what is lost, so a queue here would only send packets late.
        """
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, address)
        except OSError as exc:
            self.unsent += 1
            log.warning("datagram not sent", extra={"error": str(exc)})

    def read(self) -> bool:
        """Hand over what has arrived; return whether nothing is left."""
        for _ in range(MAX_READS_PER_WAKEUP):
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return True
            except OSError as exc:  # an ICMP error of an earlier send
                log.info("datagram refused", extra={"error": str(exc)})
                continue
            self.receive(data, sender)
            if self._socket is None:
                return True
        return False
