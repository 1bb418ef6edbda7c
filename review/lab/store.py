"""The platform's metadata store: range reads and watches over HTTP/1.1."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
VALUE_BYTES = 1_048_576
HISTORY_S = 20.0


class Store:
    """Revisioned keys in memory.

    Parameters
    ----------
    host, port : address to listen on
    """

    def __init__(self, host: str, port: int):
        self.host, self.port = host, port
        self.revision = 1
        self.items: dict[str, dict] = {}
        # Time, revision and encoded event of each change.
        self.history: list[tuple[float, int, bytes]] = []
        self.dropped_revision = 0
        self.largest_answer = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    # Writers: the operator, endpoints, and others

    def put(self, key: str, value: bytes | dict) -> float:
        """Write a key and return the time of the confirmation."""
        raw = (
            value if isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
        )
        if len(raw) > VALUE_BYTES:
            raise ValueError(f"{len(raw)} bytes, at most {VALUE_BYTES}")
        self.revision += 1
        created = self.items[key]["createRevision"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "rev": self.revision,
            "createRevision": created,
            "lease": 0,
        }
        self.items[key] = item
        return self._add_event(item)

    def value(self, key: str) -> bytes:
        """Return the value of a key, empty if it does not exist."""
        return base64.b64decode(self.items[key]["value"]) if key in self.items else b""

    def delete(self, key: str) -> float:
        if self.items.pop(key, None) is None:
            return time.monotonic()
        self.revision += 1
        return self._add_event({"key": key, "rev": self.revision, "deleted": True})

    def _add_event(self, event: dict) -> float:
        now = time.monotonic()
        self.history.append((now, self.revision, json.dumps(event).encode()))
        while self.history and now - self.history[0][0] > HISTORY_S:
            self.dropped_revision = self.history.pop(0)[1]
        self._changed.set()
        self._changed = asyncio.Event()
        return now

    # Readers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                url = urlsplit(head.split(b" ", 2)[1].decode())
                query = {name: values[-1] for name, values in parse_qs(url.query).items()}
                status, body = await self._answer(url.path, query)
                self.largest_answer = max(self.largest_answer, len(body))
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(body))
                    + body
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, bytes]:
        if path == "/-/kv-range":
            return 200, self._range(query.get("prefix", ""), query.get("after", ""))
        if path == "/-/kv-watch":
            return await self._watch(query)
        return 404, b"{}"

    def _range(self, prefix: str, after: str) -> bytes:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key]["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(self.items[key])
        return json.dumps(
            {
                "items": page,
                "truncated": len(page) < len(keys),
                "storeRevision": self.revision,
            }
        ).encode()

    async def _watch(self, query: dict[str, str]) -> tuple[int, bytes]:
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            now = time.monotonic()
            while self.history and now - self.history[0][0] > HISTORY_S:
                self.dropped_revision = self.history.pop(0)[1]
            if after < self.dropped_revision:
                return 410, b"{}"
            events = [e for _, rev, e in self.history if rev > after]
            if events or now >= end:
                return 200, b'{"events": [%s], "storeRevision": %d}' % (
                    b", ".join(events),
                    self.revision,
                )
            changed = self._changed
            try:
                async with asyncio.timeout(end - now):
                    await changed.wait()
            except TimeoutError:
                pass
