"""Opening of datagram sockets; imports nothing but the standard library."""

import socket

__all__ = ["open_datagram_socket"]

BUFFER_BYTES = 4 * 1024 * 1024


def open_datagram_socket(host: str, port: int) -> socket.socket:
    """Return a bound, non-blocking UDP socket with large buffers."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
    sock.bind((host, port))
    return sock
