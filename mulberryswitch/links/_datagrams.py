"""UDP endpoints that encode and decode messages and read them in batches."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from mulberryswitch.contracts import Codec, DecodeError
from mulberryswitch.transport import open_datagram_socket, parse_host_port, read_datagrams

__all__ = ["DatagramEndpoint"]

MAX_DEFERRED_DATAGRAMS = 4096


class DatagramEndpoint:
    """A UDP socket that sends messages and reports received ones in batches.

    Parameters
    ----------
    listen : str
        ``ip:port``.
    codec : Codec
        Codec of the messages on this port.
    receive : callable
        Called with a list of ``(sender, message)`` pairs per wake-up of the event loop.
    count : callable
        ``count(name, amount)`` increments a counter for sent bytes, malformed datagrams and failed
        sends.
    """

    def __init__(
        self,
        *,
        listen: str,
        codec: Codec,
        receive: Callable[[list[tuple[str, Any]]], None],
        count: Callable[[str, int], None],
    ):
        self.listen = listen
        self.codec = codec
        self.receive = receive
        self.count = count
        self._socket: socket.socket | None = None
        self._deferred: list[tuple[bytes, tuple[str, int]]] = []
        self._parsed_addresses: dict[str, tuple[str, int]] = {}

    async def start(self) -> None:
        """Bind the socket and start to read from it."""
        self._socket = open_datagram_socket(*parse_host_port(self.listen))
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._read_batch)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port to which the socket is bound."""
        return self._socket.getsockname()

    def stop(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._socket.fileno())
            loop.remove_writer(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def send(self, address: str, message: Any) -> None:
        """Send `message`; it is deferred if the socket buffer is full.

        If too many datagrams are deferred already, it is dropped and counted.
        """
        if self._socket is None:
            return
        destination = self._parsed_addresses.get(address)
        if destination is None:
            destination = self._parsed_addresses[address] = parse_host_port(address)
        data = self.codec.encode(message)
        self.count("datagram_bytes", len(data))
        if self._deferred:
            self._defer(data, destination)
            return
        try:
            self._socket.sendto(data, destination)
        except BlockingIOError:
            self._defer(data, destination)
        except OSError:
            self.count("datagrams_not_sent", 1)

    def _defer(self, data: bytes, destination: tuple[str, int]) -> None:
        if len(self._deferred) >= MAX_DEFERRED_DATAGRAMS:
            self.count("datagrams_not_sent", 1)
            return
        if not self._deferred:
            asyncio.get_running_loop().add_writer(self._socket.fileno(), self._flush)
        self._deferred.append((data, destination))

    def _flush(self) -> None:
        done_count = 0
        for data, destination in self._deferred:
            try:
                self._socket.sendto(data, destination)
            except BlockingIOError:
                break
            except OSError:  # as of a destination without a route; the others are still sent
                self.count("datagrams_not_sent", 1)
            done_count += 1
        del self._deferred[:done_count]
        if not self._deferred:
            asyncio.get_running_loop().remove_writer(self._socket.fileno())

    def _read_batch(self) -> None:
        batch: list[tuple[str, Any]] = []

        def decode(data: bytes, sender: tuple[str, int]) -> None:
            try:
                batch.append((f"{sender[0]}:{sender[1]}", self.codec.decode(data)))
            except DecodeError as exc:
                self.count("datagrams_refused", 1)
                self.count(f"datagrams_refused_{int(exc.code)}", 1)

        read_datagrams(self._socket, decode)
        if batch:
            self.receive(batch)
