"""HTTP/1.1 over asyncio streams with h11: a client that keeps one connection, and a server.

Both are small on purpose: a VM of 96 MB pays for each library that it imports.
"""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass

import h11

__all__ = ["HttpClient", "HttpError", "HttpResponse", "HttpServer"]

READ_BYTES = 64 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_EVENT_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0

log = logging.getLogger("transport")


class HttpError(OSError):
    """A call brought no complete answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """Status and body of an answer."""

    status: int
    body: bytes
    content_type: str = "application/json"


class HttpClient:
    """Calls to one server over one connection; calls follow each other.

    Parameters
    ----------
    host : str
    port : int
    """

    def __init__(self, *, host: str, port: int):
        self.host = host
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._protocol: h11.Connection | None = None

    async def get(self, *, path: str, timeout_s: float) -> HttpResponse:
        """Return the answer to ``GET path``.

        Raises
        ------
        HttpError
            If the connection fails, or no complete answer arrives within `timeout_s` seconds. The
            connection is then given up, because a late answer could pass for that of the next
            call.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._connect()
                return await self._exchange(path)
        except (OSError, h11.ProtocolError, EOFError) as exc:
            self.close()
            raise HttpError(f"GET {self.host}:{self.port}: {exc or type(exc).__name__}") from exc
        except asyncio.CancelledError:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = self._protocol = None

    async def _connect(self) -> None:
        if self._streams is not None and not self._streams[1].is_closing():
            return
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self._streams = await asyncio.open_connection(self.host, self.port)
        self._protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_EVENT_BYTES)

    async def _exchange(self, path: str) -> HttpResponse:
        # The connection may be closed while the answer is awaited, so its parts are held here.
        protocol, (reader, writer) = self._protocol, self._streams
        request = h11.Request(
            method="GET", target=path, headers=[("Host", f"{self.host}:{self.port}")]
        )
        writer.write(protocol.send(request) + protocol.send(h11.EndOfMessage()))
        response = await _read_response(protocol, reader)
        if protocol.our_state is h11.DONE and protocol.their_state is h11.DONE:
            protocol.start_next_cycle()
        else:
            self.close()
        return response


async def _read_response(protocol: h11.Connection, reader: asyncio.StreamReader) -> HttpResponse:
    status, body = 0, bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise HttpError(f"answer above {MAX_BODY_BYTES} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return HttpResponse(status=status, body=bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise HttpError("connection closed before an answer")


class HttpServer:
    """Answers GET requests; used for readiness, metrics and status.

    Parameters
    ----------
    host : str
    port : int
    handler : callable
        Takes the path with its query and returns the response.
    """

    def __init__(self, *, host: str, port: int, handler: Callable[[str], HttpResponse]):
        self.host = host
        self.port = port
        self.handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the server is bound to."""
        return self._server.sockets[0].getsockname()

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        protocol = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(protocol, reader, writer):
                protocol.start_next_cycle()
        except (OSError, h11.ProtocolError) as exc:
            log.debug("connection failed", extra={"error": str(exc) or type(exc).__name__})
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _serve_one(self, protocol, reader, writer) -> bool:
        path = None
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    protocol.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                path = event.target.decode("ascii", "replace")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        response = self.handler(path)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        writer.write(
            protocol.send(h11.Response(status_code=response.status, headers=headers))
            + protocol.send(h11.Data(data=response.body))
            + protocol.send(h11.EndOfMessage())
        )
        await writer.drain()
        return protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
