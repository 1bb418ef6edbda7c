"""Non-blocking UDP sockets that read several datagrams per wake-up."""

import asyncio
import socket
from collections.abc import Callable

__all__ = ["Address", "Receive", "open_datagram_socket", "send_datagram", "watch_datagrams"]

BUFFER_BYTES = 4 * 1024 * 1024  # absorbs a burst while the loop runs other tasks
MAX_DATAGRAMS_PER_WAKEUP = 64  # a longer batch would starve timers
MAX_RECEIVE_BYTES = 64 * 1024

Address = tuple[str, int]
Receive = Callable[[bytes, Address], None]


def open_datagram_socket(host: str, port: int) -> socket.socket:
    """Return a bound, non-blocking UDP socket with large buffers."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind((host, port))
    return sock


def send_datagram(sock: socket.socket, data: bytes, address: Address) -> bool:
    """Send `data`; return False when the kernel refused it, which counts as loss."""
    try:
        sock.sendto(data, address)
    except OSError:
        return False
    return True


def _read_batch(sock: socket.socket, receive: Receive) -> None:
    for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
        try:
            data, address = sock.recvfrom(MAX_RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:  # ICMP error of an earlier send to a port that closed
            continue
        receive(data, address)


def watch_datagrams(sock: socket.socket, receive: Receive) -> None:
    """Call `receive` for each datagram that arrives on `sock`."""
    asyncio.get_running_loop().add_reader(sock.fileno(), _read_batch, sock, receive)
