"""Transport layer: HTTP/1.1, UDP datagrams and TCP streams of msgpack messages."""

from ._datagrams import DatagramSocket
from ._http import HttpClient, HttpError, HttpResponse, HttpServer
from ._streams import parse_host_port, read_messages, write_messages

__all__ = [
    "DatagramSocket",
    "HttpClient",
    "HttpError",
    "HttpResponse",
    "HttpServer",
    "parse_host_port",
    "read_messages",
    "write_messages",
]
