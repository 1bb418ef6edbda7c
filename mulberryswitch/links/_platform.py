"""HTTP client for the platform's configuration and list of VMs."""

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

import aiohttp

from ._events import ConfigRead, ConfigReadFailed, ReadConfig, VmEntry, VmListRead

__all__ = ["PlatformReader", "parse_vm_list"]

RESPONSE_TIMEOUT_S = 2.0
# Responses are read up to this size, so that the rejection of an oversized value can report it.
MAX_BODY_BYTES = 1_200_000

log = logging.getLogger("platform")


def parse_vm_list(text: bytes) -> tuple[VmEntry, ...]:
    """Return the entries of the platform's list of VMs.

    Raises
    ------
    ValueError
        If the list is malformed.
    """
    try:
        entries = json.loads(text)["vms"]
        return tuple(
            VmEntry(
                vm=str(entry["vm"]),
                zone=str(entry["zone"]),
                address=str(entry["address"]),
                leaving=entry.get("leaving") is True,
            )
            for entry in entries
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"malformed list of VMs: {exc!r:.120}") from exc


class PlatformReader:
    """Reads from the platform, with at most one read of each kind at a time.

    Parameters
    ----------
    url : str
        Base URL of the platform.
    report : callable
        Called with each event for the node.
    """

    def __init__(self, *, url: str, report: Callable[[Any], None]):
        self.url = url
        self.report = report
        self._session: aiohttp.ClientSession | None = None
        self._config_task: asyncio.Task | None = None
        self._list_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Create the HTTP session."""
        self._session = aiohttp.ClientSession()

    async def stop(self) -> None:
        """Cancel running reads and close the HTTP session."""
        for task in (self._config_task, self._list_task):
            if task is not None:
                task.cancel()
        if self._session is not None:
            await self._session.close()

    def read_config(self, request: ReadConfig) -> None:
        """Start a read or a long poll of the configuration, unless one is running."""
        if self._config_task is None or self._config_task.done():
            self._config_task = asyncio.create_task(self._read_config(request))

    def read_vm_list(self) -> None:
        """Start a read of the list of VMs, unless one is running."""
        if self._list_task is None or self._list_task.done():
            self._list_task = asyncio.create_task(self._read_vm_list())

    async def _get(self, path: str, wait_s: float) -> tuple[int, dict, bytes]:
        timeout = aiohttp.ClientTimeout(total=wait_s + RESPONSE_TIMEOUT_S)
        async with self._session.get(self.url + path, timeout=timeout) as response:
            body = await response.content.read(MAX_BODY_BYTES + 1)
            while len(body) <= MAX_BODY_BYTES and (chunk := await response.content.readany()):
                body += chunk
            return response.status, dict(response.headers), body

    async def _read_config(self, request: ReadConfig) -> None:
        try:
            path = f"/v1/config?after={request.after}&wait={request.wait_s:g}"
            status, headers, body = await self._get(path, request.wait_s)
            if status == 200:
                self.report(ConfigRead(document=body, version=int(headers["X-Version"])))
            elif status in (304, 404):
                self.report(ConfigRead(document=None, version=request.after))
            else:
                self.report(ConfigReadFailed(reason=f"status {status}"))
        except (aiohttp.ClientError, TimeoutError, OSError, KeyError, ValueError) as exc:
            self.report(ConfigReadFailed(reason=f"{type(exc).__name__}: {exc}"[:200]))

    async def _read_vm_list(self) -> None:
        try:
            status, _, body = await self._get("/v1/vms", 0.0)
            if status != 200:
                raise ValueError(f"status {status}")
            self.report(VmListRead(entries=parse_vm_list(body)))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            log.info("platform: reading the list of VMs failed", extra={"reason": str(exc)[:200]})
            self.report(VmListRead(entries=None))
