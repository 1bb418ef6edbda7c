"""UDP endpoints that read several datagrams per wake-up of the event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

from mulberryswitch.contracts import Codec, DecodeError
from mulberryswitch.transport import parse_host_port

__all__ = ["DatagramEndpoint"]

# One wake-up per datagram halves the packet rate; an unbounded loop would starve other tasks.
MAX_READS_PER_WAKEUP = 64
BUFFER_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65_535
DEFERRED_LIMIT = 4096


class DatagramEndpoint:
    """A UDP socket that decodes what arrives and reports it in batches.

    Parameters
    ----------
    listen : str
        ``ip:port``.
    codec : Codec
        Message types of this port.
    receive : callable
        Takes a list of ``(sender, message)`` per wake-up.
    count : callable
        ``count(name, amount)`` for malformed datagrams and failed sends.
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
        self._endpoints: dict[str, tuple[str, int]] = {}

    async def start(self) -> None:
        """Bind the socket."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        sock.bind(parse_host_port(self.listen))
        self._socket = sock
        asyncio.get_running_loop().add_reader(sock.fileno(), self._read)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the socket is bound to."""
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
        """Send `message`; a full socket buffer defers it, a full deferral list drops it."""
        if self._socket is None:
            return
        endpoint = self._endpoints.get(address)
        if endpoint is None:
            endpoint = self._endpoints[address] = parse_host_port(address)
        data = self.codec.encode(message)
        self.count("datagram_bytes", len(data))
        if self._deferred:
            self._defer(data, endpoint)
            return
        try:
            self._socket.sendto(data, endpoint)
        except BlockingIOError:
            self._defer(data, endpoint)
        except OSError:
            self.count("datagrams_not_sent", 1)

    def _defer(self, data: bytes, endpoint: tuple[str, int]) -> None:
        if len(self._deferred) >= DEFERRED_LIMIT:
            self.count("datagrams_not_sent", 1)
            return
        if not self._deferred:
            asyncio.get_running_loop().add_writer(self._socket.fileno(), self._flush)
        self._deferred.append((data, endpoint))

    def _flush(self) -> None:
        sent = 0
        try:
            for data, endpoint in self._deferred:
                with contextlib.suppress(ConnectionError):
                    self._socket.sendto(data, endpoint)
                sent += 1
        except BlockingIOError:
            pass
        del self._deferred[:sent]
        if not self._deferred:
            asyncio.get_running_loop().remove_writer(self._socket.fileno())

    def _read(self) -> None:
        batch = []
        for _ in range(MAX_READS_PER_WAKEUP):
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:  # nothing left, or an ICMP error of an earlier send
                break
            try:
                batch.append((f"{sender[0]}:{sender[1]}", self.codec.decode(data)))
            except DecodeError as exc:
                self.count("datagrams_refused", 1)
                self.count(f"datagrams_refused_{int(exc.code)}", 1)
        if batch:
            self.receive(batch)
