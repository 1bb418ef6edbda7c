"""Simulated platform: configuration with long polling, delayed VM list, operator commands."""

import asyncio
import contextlib
import time
from collections import deque
from collections.abc import Callable
from configparser import ConfigParser
from enum import StrEnum
from typing import Any

from aiohttp import web

from ._process import parse_host_port, run_program

__all__ = ["Fault", "Platform", "build_app", "serve"]

MAX_READS_PER_S = 2000
# Above the 1 MB that the real platform serves, so that readers can be tested with larger values.
MAX_DOCUMENT_BYTES = 2 * 1024 * 1024
MAX_LONG_POLL_S = 60.0
FIRST_VERSION = 1
Clock = Callable[[], float]


class Fault(StrEnum):
    """Fault that the platform simulates."""

    OK = "ok"
    DOWN = "down"
    STALE = "stale"
    REPLAY_OLD = "replay_old"


class Platform:
    """State of the platform: documents, VM lists and read counters.

    Parameters
    ----------
    list_lag_s : float
        Delay after which readers see a new VM list, in seconds.
    """

    def __init__(self, *, list_lag_s: float):
        self.list_lag_s = list_lag_s
        self.documents: list[bytes] = []
        self.fault = Fault.OK
        self.reads = 0
        self.refused_reads = 0
        self._visible_version = 0
        self._scheduled_lists: deque[tuple[float, list]] = deque([(float("-inf"), [])])
        self._changed = asyncio.Event()
        self._window_s = 0
        self._window_reads = 0

    def publish_document(self, document: bytes) -> int:
        """Publish `document` and return its version."""
        self.documents.append(document)
        if self.fault in (Fault.OK, Fault.DOWN):
            self._visible_version = len(self.documents)
        self._notify_waiters()
        return len(self.documents)

    def publish_vm_list(self, vms: list[dict[str, Any]], now_s: float) -> None:
        """Publish a VM list, which readers see after `list_lag_s`."""
        self._scheduled_lists.append((now_s + self.list_lag_s, vms))

    def set_fault(self, fault: Fault) -> None:
        """Set the fault; a stale platform keeps serving what it served before."""
        self.fault = fault
        if fault is not Fault.STALE:
            self._visible_version = len(self.documents)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def admit_read(self, now_s: float) -> bool:
        """Count a read and return whether it is within the rate limit."""
        self.reads += 1
        if int(now_s) != self._window_s:
            self._window_s, self._window_reads = int(now_s), 0
        self._window_reads += 1
        is_admitted = self._window_reads <= MAX_READS_PER_S
        self.refused_reads += not is_admitted
        return is_admitted

    def select_version(self, after: int) -> int:
        """Return the version to send to a reader that has version `after`; 0 if there is none."""
        if self.fault is Fault.REPLAY_OLD and self.documents:
            return max(FIRST_VERSION, self._visible_version - 1)
        return self._visible_version if self._visible_version > after else 0

    def read_vm_list(self, now_s: float) -> list[dict[str, Any]]:
        """Return the VM list that readers see at `now_s`."""
        frozen = self.fault is Fault.STALE
        while (
            not frozen and len(self._scheduled_lists) > 1 and self._scheduled_lists[1][0] <= now_s
        ):
            self._scheduled_lists.popleft()
        return self._scheduled_lists[0][1]

    async def wait_version(self, after: int, wait_s: float) -> int:
        """Like `select_version`, but wait at most `wait_s` until there is a version to send."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self.select_version(after) and self.fault is not Fault.DOWN:
                    await self._changed.wait()
        return self.select_version(after)


def _build_reader_routes(platform: Platform, clock: Clock) -> list[web.RouteDef]:
    async def get_config(request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        wait_s = min(MAX_LONG_POLL_S, max(0.0, float(request.query.get("wait", "0"))))
        if not platform.documents and platform.fault is not Fault.DOWN:
            return web.Response(status=404)
        version = await platform.wait_version(after, wait_s)
        if platform.fault is Fault.DOWN:
            return web.Response(status=503)
        if not version:
            return web.Response(status=304)
        body = platform.documents[version - 1]
        return web.Response(body=body, headers={"X-Version": str(version)})

    async def get_vms(request: web.Request) -> web.Response:
        return web.json_response({"vms": platform.read_vm_list(clock())})

    return [web.get("/v1/config", get_config), web.get("/v1/vms", get_vms)]


def _build_operator_routes(platform: Platform, clock: Clock) -> list[web.RouteDef]:
    async def post_config(request: web.Request) -> web.Response:
        return web.json_response({"version": platform.publish_document(await request.read())})

    async def post_vms(request: web.Request) -> web.Response:
        platform.publish_vm_list((await request.json())["vms"], clock())
        return web.json_response({})

    async def post_fault(request: web.Request) -> web.Response:
        platform.set_fault(Fault((await request.json())["mode"]))
        return web.json_response({"mode": platform.fault})

    async def get_stats(request: web.Request) -> web.Response:
        return web.json_response(
            {
                "reads": platform.reads,
                "refused_reads": platform.refused_reads,
                "version": len(platform.documents),
                "mode": platform.fault,
            }
        )

    return [
        web.post("/operator/config", post_config),
        web.post("/operator/vms", post_vms),
        web.post("/operator/fault", post_fault),
        web.get("/operator/stats", get_stats),
    ]


def build_app(platform: Platform, clock: Clock = time.monotonic) -> web.Application:
    """Return the HTTP application of `platform`; `clock` gives monotonic seconds."""

    @web.middleware
    async def limit_reads(request: web.Request, handler: Any) -> web.StreamResponse:
        if not request.path.startswith("/v1/"):
            return await handler(request)
        is_admitted = platform.admit_read(clock())
        if platform.fault is Fault.DOWN or not is_admitted:
            return web.Response(status=503)
        try:
            return await handler(request)
        except ValueError:
            return web.Response(status=400)

    app = web.Application(middlewares=[limit_reads], client_max_size=MAX_DOCUMENT_BYTES)
    app.add_routes(_build_reader_routes(platform, clock))
    app.add_routes(_build_operator_routes(platform, clock))
    return app


async def serve(cfg: ConfigParser, stop: asyncio.Event) -> None:
    """Serve HTTP until `stop` is set."""
    host, port = parse_host_port(cfg["platform"]["listen"])
    platform = Platform(list_lag_s=cfg.getfloat("platform", "list_lag_s", fallback=2.0))
    # Pending long polls would otherwise delay the shutdown by up to a minute.
    runner = web.AppRunner(build_app(platform), shutdown_timeout=0.1, access_log=None)
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port).start()
        await stop.wait()
    finally:
        await runner.cleanup()


if __name__ == "__main__":
    run_program(serve)
