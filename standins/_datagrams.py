"""Non-blocking UDP sockets that read datagrams in batches."""

import asyncio
import socket
from collections.abc import Callable

__all__ = ["Address", "ReceiveCallback", "open_datagram_socket", "send_datagram", "watch_datagrams"]

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024  # absorbs bursts while the event loop runs other tasks
MAX_DATAGRAMS_PER_WAKEUP = 64  # longer batches would delay timers
MAX_DATAGRAM_BYTES = 64 * 1024

Address = tuple[str, int]
ReceiveCallback = Callable[[bytes, Address], None]


def open_datagram_socket(host: str, port: int) -> socket.socket:
    """Return a bound, non-blocking UDP socket with large buffers."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind((host, port))
    return sock


def send_datagram(sock: socket.socket, data: bytes, address: Address) -> bool:
    """Send `data`; return False if the kernel rejected it, which is treated as packet loss."""
    try:
        sock.sendto(data, address)
    except OSError:
        return False
    return True


def _read_batch(sock: socket.socket, receive: ReceiveCallback) -> None:
    for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
        try:
            data, address = sock.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError:  # ICMP error from an earlier send to a closed port
            continue
        receive(data, address)


def watch_datagrams(sock: socket.socket, receive: ReceiveCallback) -> None:
    """Call `receive` for each datagram that arrives on `sock`."""
    asyncio.get_running_loop().add_reader(sock.fileno(), _read_batch, sock, receive)
