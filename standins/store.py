"""Fake of the users' store that speaks its published protocol and simulates its faults."""

import asyncio
import base64
import contextlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from aiohttp import web

__all__ = ["FakeStore", "StoreFault"]


class StoreFault(Enum):
    """Fault that the store simulates."""

    NONE = "none"
    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"


@dataclass(frozen=True, kw_only=True)
class _Change:
    key: str
    revision: int
    item: dict
    at_s: float


@dataclass(kw_only=True)
class _State:
    """Items at one revision."""

    revision: int = 1
    items: dict[str, dict] = field(default_factory=dict)

    def apply(self, change: _Change) -> None:
        self.revision = change.revision
        if change.item.get("deleted"):
            self.items.pop(change.key, None)
        else:
            self.items[change.key] = change.item


class FakeStore:
    """HTTP server with revisioned keys, read through ranges and watches.

    Parameters
    ----------
    page_items : int
        Maximum number of items in one page of a range.
    clock : callable
        Monotonic clock in seconds.

    Attributes
    ----------
    epoch : int
        Number of lives of the store; a restore from an older copy starts the next one.
    """

    def __init__(self, *, page_items: int = 500, clock: Callable[[], float] = time.monotonic):
        self.page_items = page_items
        self.clock = clock
        self.epoch = 1
        self.fault = StoreFault.NONE
        self.watch_fault = StoreFault.NONE
        self.calls: list[str] = []
        self.port = 0
        self._state = _State()
        self._stale_snapshot: _State | None = None
        # All changes that lead to the present state; watches see those after the compaction.
        self._changes: list[_Change] = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start to listen on a free loopback port."""
        app = web.Application()
        app.on_response_prepare.append(self._add_epoch)
        app.router.add_get("/-/kv-range", self._range)
        app.router.add_get("/-/kv-watch", self._watch)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop the server."""
        if self._runner is not None:
            await self._runner.cleanup()

    # Writes

    def put(self, key: str, content: dict) -> None:
        """Set the value of a key to `content`, encoded as JSON."""
        revision = self._state.revision + 1
        previous = self._state.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(content).encode()).decode(),
            "rev": revision,
            "createRevision": previous["createRevision"] if previous else revision,
            "lease": 0,
        }
        self._add_change(key, item)

    def delete(self, key: str) -> None:
        """Delete a key."""
        item = {"key": key, "rev": self._state.revision + 1, "deleted": True}
        self._add_change(key, item)

    def _add_change(self, key: str, item: dict) -> None:
        change = _Change(key=key, revision=item["rev"], item=item, at_s=self.clock())
        self._changes.append(change)
        self._state.apply(change)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_history(self) -> None:
        """Discard the change history; watches from an older revision fail."""
        self._compacted_revision = self._state.revision

    def freeze_stale_reads(self) -> None:
        """Serve the present state to all later reads that accept stale data."""
        self._stale_snapshot = replace(self._state, items=dict(self._state.items))

    def restore(self, *, at_s: float) -> None:
        """Come back from the copy of time `at_s`: later changes are lost, a new epoch starts.

        Revisions continue from that of the copy, so that later writes repeat some. Stale reads may
        still return a state from before.
        """
        self._changes = [change for change in self._changes if change.at_s <= at_s]
        self._state = _State()
        for change in self._changes:
            self._state.apply(change)
        self._compacted_revision = min(self._compacted_revision, self._state.revision)
        self.epoch += 1
        self._wake_watches()

    def has_key(self, key: str) -> bool:
        """Return whether the store holds an item of this key."""
        return key in self._state.items

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that start with `prefix`."""
        return [key for key in self._state.items if key.startswith(prefix)]

    # HTTP handlers

    async def _add_epoch(self, request: web.Request, response: web.StreamResponse) -> None:
        response.headers["Store-Era"] = str(self.epoch)

    async def _apply_fault(self, request: web.Request) -> web.Response | None:
        self.calls.append(request.path_qs)
        fault = self.fault
        if fault is StoreFault.NONE and request.path == "/-/kv-watch":
            fault = self.watch_fault
        if fault is StoreFault.SILENT:
            await asyncio.sleep(3600)
        if fault is StoreFault.RESET:
            request.transport.abort()
            return web.Response(status=500)
        if fault is StoreFault.BUSY:
            return web.json_response({"error": "busy"}, status=503)
        return None

    async def _range(self, request: web.Request) -> web.Response:
        if (fault_response := await self._apply_fault(request)) is not None:
            return fault_response
        state = self._state
        if request.query.get("serializable") and self._stale_snapshot:
            state = self._stale_snapshot
        after = request.query.get("after", "")
        keys = sorted(key for key in state.items if key > after)
        page = keys[: self.page_items]
        return web.json_response(
            {
                "items": [state.items[key] for key in page],
                "truncated": len(page) < len(keys),
                "storeRevision": state.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        if (fault_response := await self._apply_fault(request)) is not None:
            return fault_response
        after = int(request.query["after"])
        if not self._compacted_revision <= after <= self._state.revision:
            return web.json_response({"error": "gone"}, status=410)
        epoch = self.epoch
        events = self._list_events(after)
        if not events:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                    await self._changed.wait()
            if (fault_response := await self._apply_fault(request)) is not None:
                return fault_response
            if epoch != self.epoch:
                # The watch belongs to the former life of the store, which was cut off.
                request.transport.abort()
                return web.Response(status=500)
            events = self._list_events(after)
        return web.json_response({"events": events, "storeRevision": self._state.revision})

    def _list_events(self, after: int) -> list[dict]:
        return [change.item for change in self._changes if change.revision > after]
