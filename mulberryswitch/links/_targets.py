"""TCP links to targets; a link is used for one service only."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from mulberryswitch.contracts import TARGET_CODEC, Attach, Attached, DecodeError, Target
from mulberryswitch.transport import parse_host_port, read_messages, write_messages

from ._events import TargetFrames, TargetLost, TargetRefused, TargetUp

__all__ = ["TargetLinks"]

CONNECT_TIMEOUT_S = 1.0
RECONNECT_S = 0.2
MAX_RECONNECT_S = 2.0

log = logging.getLogger("targets")


class TargetLinks:
    """Owner of the links to targets.

    Parameters
    ----------
    vm : str
        Name of this VM, told to the target.
    report : callable
        Takes each event for the node.
    """

    def __init__(self, *, vm: str, report: Callable[[Any], None]):
        self.vm = vm
        self.report = report
        self._tasks: dict[str, asyncio.Task] = {}
        self._writers: dict[str, asyncio.StreamWriter] = {}

    def attach(self, target: Target) -> None:
        """Keep a link to `target` open until ``detach``."""
        if target.name not in self._tasks:
            self._tasks[target.name] = asyncio.create_task(self._run(target))

    def detach(self, name: str) -> None:
        """Close the link to the target."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    def stop(self) -> None:
        """Close all links."""
        for name in list(self._tasks):
            self.detach(name)

    def send(self, name: str, frame: Any) -> None:
        """Write a frame; without a link it is dropped, and ``TargetLost`` was or will be told."""
        writer = self._writers.get(name)
        if writer is not None:
            write_messages(writer, TARGET_CODEC, [frame])

    async def _run(self, target: Target) -> None:
        wait_s = RECONNECT_S
        while True:
            try:
                if await self._serve_link(target):
                    wait_s = RECONNECT_S
            except (OSError, TimeoutError, DecodeError, StopAsyncIteration) as exc:
                if isinstance(exc, ConnectionRefusedError):
                    self.report(TargetRefused(target=target.name))
                log.info("targets: link failed", extra={"target": target.name, "reason": str(exc)})
            await asyncio.sleep(wait_s)
            wait_s = min(wait_s * 2, MAX_RECONNECT_S)

    async def _serve_link(self, target: Target) -> bool:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*parse_host_port(target.address))
        attached = False
        try:
            write_messages(writer, TARGET_CODEC, [Attach(service=target.service, vm=self.vm)])
            stream = read_messages(reader, TARGET_CODEC)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                first, *rest = await anext(stream)
            if not isinstance(first, Attached) or first.service != target.service:
                raise DecodeError(f"target {target.name} does not serve {target.service}")
            self._writers[target.name] = writer
            attached = True
            self.report(TargetUp(target=target.name))
            if rest:
                self.report(TargetFrames(target=target.name, frames=tuple(rest)))
            async for frames in stream:
                self.report(TargetFrames(target=target.name, frames=tuple(frames)))
        finally:
            writer.close()
            if attached:
                self._writers.pop(target.name, None)
                self.report(TargetLost(target=target.name))
        return attached
