"""Sockets of the direct path: HTTP with h11, and datagrams."""

from ._datagrams import DatagramSocket
from ._http import HttpClient, HttpError, HttpResponse, HttpServer

__all__ = ["DatagramSocket", "HttpClient", "HttpError", "HttpResponse", "HttpServer"]
