"""Transport layer: HTTP/1.1, UDP datagrams and TCP streams of msgpack messages."""

from ._datagrams import DatagramSocket, open_datagram_socket, read_datagrams
from ._http import BodyTooLargeError, HttpClient, HttpError, HttpResponse, HttpServer
from ._streams import is_ip_port, parse_host_port, read_messages, write_messages

__all__ = [
    "BodyTooLargeError",
    "DatagramSocket",
    "HttpClient",
    "HttpError",
    "HttpResponse",
    "HttpServer",
    "is_ip_port",
    "open_datagram_socket",
    "parse_host_port",
    "read_datagrams",
    "read_messages",
    "write_messages",
]
