"""UDP socket that reads datagrams in batches."""

import asyncio
import logging
import socket
from collections.abc import Callable

__all__ = ["DatagramSocket", "open_datagram_socket", "read_datagrams"]

# Reading one datagram per wake-up of the event loop halves the packet rate; reading without a limit
# starves other tasks.
MAX_READS_PER_WAKEUP = 64
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65_535

log = logging.getLogger("transport")


def open_datagram_socket(host: str, port: int) -> socket.socket:
    """Return a non-blocking UDP socket with large buffers that is bound to an address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    sock.bind((host, port))
    return sock


def read_datagrams(sock: socket.socket, receive: Callable[[bytes, tuple[str, int]], None]) -> bool:
    """Pass waiting datagrams to `receive`, which may close the socket.

    Return whether all were read; at most ``MAX_READS_PER_WAKEUP`` are.
    """
    for _ in range(MAX_READS_PER_WAKEUP):
        try:
            data, sender = sock.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return True
        except OSError as exc:  # an ICMP error caused by an earlier send
            log.info("earlier datagram was refused", extra={"error": str(exc)})
            continue
        receive(data, sender)
        if sock.fileno() < 0:
            return True
    return False


class DatagramSocket:
    """A UDP socket that is bound to one address.

    Parameters
    ----------
    host : str
    port : int
    receive : callable
        Called with the data of each datagram and the address of its sender.

    Attributes
    ----------
    unsent_count : int
        Datagrams that the operating system did not accept.
    """

    def __init__(self, *, host: str, port: int, receive: Callable[[bytes, tuple[str, int]], None]):
        self.host = host
        self.port = port
        self.receive = receive
        self.unsent_count = 0
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Bind the socket and register it with the running event loop."""
        self._socket = open_datagram_socket(self.host, self.port)
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self.read)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port to which the socket is bound."""
        return self._socket.getsockname()

    def stop(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; one that the operating system does not accept is dropped and counted.

        Callers retransmit lost datagrams, so queueing them here would only delay them.
        """
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, address)
        except OSError as exc:
            self.unsent_count += 1
            log.warning("datagram not sent", extra={"error": str(exc)})

    def read(self) -> bool:
        """Pass received datagrams to `receive`; return whether all were read."""
        return read_datagrams(self._socket, self.receive)
