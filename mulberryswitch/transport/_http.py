"""HTTP/1.1 client and server over asyncio streams, based on h11.

A full HTTP library is avoided because a VM has only 96 MB and each import costs memory.
"""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import h11

__all__ = ["BodyTooLargeError", "HttpClient", "HttpError", "HttpResponse", "HttpServer"]

READ_BYTES = 64 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_EVENT_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
# A response that has begun may take longer than its timeout as long as bytes keep arriving: a large
# one needs seconds on a small link.
STALL_TIMEOUT_S = 0.8
MAX_EXTENSION_S = 8.0
IDLE_TIMEOUT_S = 30.0

log = logging.getLogger("transport")


class HttpError(OSError):
    """A request failed or received no complete response."""


class BodyTooLargeError(HttpError):
    """The body of a response exceeds the limit of the request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """Status and body of a response; `headers` of a received one, with names in lower case."""

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: Mapping[str, str] = field(default_factory=dict)


class HttpClient:
    """Client for one server; it sends one request at a time over a persistent connection.

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

    async def get(
        self, *, path: str, timeout_s: float, max_bytes: int = MAX_BODY_BYTES
    ) -> HttpResponse:
        """Return the response to ``GET path``.

        Raises
        ------
        BodyTooLargeError
            If the body exceeds `max_bytes`; it is not read further.
        HttpError
            If the connection fails, or no complete response arrives within `timeout_s` seconds. A
            response that has begun may take ``MAX_EXTENSION_S`` longer while it keeps arriving. The
            connection is then closed, because a late response could be taken for that of the next
            request.
        """
        try:
            async with asyncio.timeout(timeout_s) as limit:
                await self._connect()
                return await self._send_request(path, limit, max_bytes)
        except BodyTooLargeError:
            self.close()
            raise
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
        """Open a connection unless there is one that is still usable.

        Bytes that arrived since the last response, such as a second copy of it, would be taken for
        the response to the next request.
        """
        if self._streams is not None:
            reader, writer = self._streams
            if not writer.is_closing() and not await _is_readable(reader):
                return
            self.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self._streams = await asyncio.open_connection(self.host, self.port)
        self._protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_EVENT_BYTES)

    async def _send_request(
        self, path: str, limit: asyncio.Timeout, max_bytes: int
    ) -> HttpResponse:
        # ``close`` may reset the attributes while the response is awaited.
        protocol, (reader, writer) = self._protocol, self._streams
        request = h11.Request(
            method="GET", target=path, headers=[("Host", f"{self.host}:{self.port}")]
        )
        writer.write(protocol.send(request) + protocol.send(h11.EndOfMessage()))
        response = await _read_response(protocol, _build_reader(reader, limit), max_bytes)
        is_done = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        if is_done and not protocol.trailing_data[0]:
            protocol.start_next_cycle()
        else:
            self.close()
        return response


async def _is_readable(reader: asyncio.StreamReader) -> bool:
    """Return whether a stream has unread data or has ended; unread data is discarded."""
    # Lets the event loop read what has already arrived.
    await asyncio.sleep(0)
    try:
        async with asyncio.timeout(0):
            await reader.read(READ_BYTES)
    except TimeoutError:
        return False
    return True


def _build_reader(
    reader: asyncio.StreamReader, limit: asyncio.Timeout
) -> Callable[[], Awaitable[bytes]]:
    """Return a function that reads bytes and defers `limit` while they keep arriving."""
    latest_s = limit.when() + MAX_EXTENSION_S

    async def read() -> bytes:
        data = await reader.read(READ_BYTES)
        if data:
            stalled_s = asyncio.get_running_loop().time() + STALL_TIMEOUT_S
            limit.reschedule(min(latest_s, max(limit.when(), stalled_s)))
        return data

    return read


async def _read_response(
    protocol: h11.Connection, read: Callable[[], Awaitable[bytes]], max_bytes: int
) -> HttpResponse:
    status, headers, body = 0, {}, bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await read())
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {
                name.decode("ascii"): value.decode("latin-1") for name, value in event.headers
            }
            _check_size(int(headers.get("content-length", "0")), max_bytes)
        elif isinstance(event, h11.Data):
            body += event.data
            _check_size(len(body), max_bytes)
        elif isinstance(event, h11.EndOfMessage):
            return HttpResponse(status=status, body=bytes(body), headers=headers)
        elif isinstance(event, h11.ConnectionClosed):
            raise HttpError("connection closed before a complete response")


def _check_size(size_bytes: int, max_bytes: int) -> None:
    if size_bytes > max_bytes:
        raise BodyTooLargeError(f"response body of {size_bytes} bytes exceeds {max_bytes}")


class HttpServer:
    """HTTP server for GET requests; used for readiness, metrics and status.

    Parameters
    ----------
    host : str
    port : int
    handler : callable
        Called with the path, including its query; returns the response.
    """

    def __init__(self, *, host: str, port: int, handler: Callable[[str], HttpResponse]):
        self.host = host
        self.port = port
        self.handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve_connection, self.host, self.port)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port to which the server is bound."""
        return self._server.sockets[0].getsockname()

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        protocol = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(protocol, reader, writer):
                protocol.start_next_cycle()
        except (OSError, h11.ProtocolError) as exc:
            log.debug("HTTP connection failed", extra={"error": str(exc) or type(exc).__name__})
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _serve_request(self, protocol, reader, writer) -> bool:
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
