"""A store that comes back from an older copy, as in the users' drill."""

import asyncio
from urllib.parse import parse_qs, urlsplit

from .store import Store


class DrillStore(Store):
    """Store with the header `Store-Era`; it can go down and come back from a copy.

    What was written after the copy is gone, revisions go back and are given out again, and a watch
    from a revision that it doesn't have gets 410.
    """

    def __init__(self, host: str, port: int):
        super().__init__(host, port)
        self.era = 1
        self.is_down = False
        self._states: list[tuple[float, int, dict[str, dict]]] = []
        self._writers: set[asyncio.StreamWriter] = set()

    def _add_event(self, event: dict) -> float:
        now = super()._add_event(event)
        self._states.append((now, self.revision, dict(self.items)))
        return now

    def go_down(self) -> None:
        """Reset all connections; calls are reset until the store is back."""
        self.is_down = True
        for writer in self._writers:
            writer.transport.abort()

    def come_back(self, copy_at: float) -> None:
        """Come back with the state of the time `copy_at`."""
        self._states = [state for state in self._states if state[0] <= copy_at]
        _, self.revision, items = self._states[-1]
        self.items = dict(items)
        self.history = []
        self.dropped_revision = self.revision
        self.era += 1
        self.is_down = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while not self.is_down:
                head = await reader.readuntil(b"\r\n\r\n")
                url = urlsplit(head.split(b" ", 2)[1].decode())
                query = {name: values[-1] for name, values in parse_qs(url.query).items()}
                if int(query.get("after") or 0 if url.path == "/-/kv-watch" else 0) > self.revision:
                    status, body = 410, b"{}"
                else:
                    status, body = await self._answer(url.path, query)
                head = b"HTTP/1.1 %d X\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
                writer.write(head % (status, self.era, len(body)) + body)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
