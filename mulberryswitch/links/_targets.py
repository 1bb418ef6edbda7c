"""TCP links to targets; each link serves a single service."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from mulberryswitch.contracts import TARGET_CODEC, Attach, Attached, DecodeError, Target
from mulberryswitch.transport import parse_host_port, read_messages, write_messages

from ._events import TargetFrames, TargetLost, TargetRefused, TargetUp

__all__ = ["TargetLinks"]

CONNECT_TIMEOUT_S = 1.0
INITIAL_RECONNECT_DELAY_S = 0.2
MAX_RECONNECT_DELAY_S = 2.0

log = logging.getLogger("targets")


class TargetLinks:
    """Manages the links to targets and reconnects them with exponential backoff.

    Parameters
    ----------
    vm : str
        Name of this VM, which is sent to the target.
    report : callable
        Called with each event for the node.
    """

    def __init__(self, *, vm: str, report: Callable[[Any], None]):
        self.vm = vm
        self.report = report
        self._tasks: dict[str, asyncio.Task] = {}
        self._writers: dict[str, asyncio.StreamWriter] = {}

    def attach(self, target: Target) -> None:
        """Open a link to `target` and keep it open until ``detach``."""
        if target.name not in self._tasks:
            self._tasks[target.name] = asyncio.create_task(self._keep_connected(target))

    def detach(self, name: str) -> None:
        """Close the link to target `name`."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    def stop(self) -> None:
        """Close all links."""
        for name in list(self._tasks):
            self.detach(name)

    def send(self, name: str, frame: Any) -> None:
        """Write `frame` to the link of target `name`.

        If the link is not open, the frame is dropped; ``TargetLost`` reports the loss of a link.
        """
        writer = self._writers.get(name)
        if writer is not None:
            write_messages(writer, TARGET_CODEC, [frame])

    async def _keep_connected(self, target: Target) -> None:
        retry_delay_s = INITIAL_RECONNECT_DELAY_S
        while True:
            try:
                if await self._run_link(target):
                    retry_delay_s = INITIAL_RECONNECT_DELAY_S
            except (OSError, TimeoutError, DecodeError, StopAsyncIteration) as exc:
                if isinstance(exc, ConnectionRefusedError):
                    self.report(TargetRefused(target=target.name))
                log.info("targets: link failed", extra={"target": target.name, "reason": str(exc)})
            await asyncio.sleep(retry_delay_s)
            retry_delay_s = min(retry_delay_s * 2, MAX_RECONNECT_DELAY_S)

    async def _run_link(self, target: Target) -> bool:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*parse_host_port(target.address))
        attached = False
        try:
            write_messages(writer, TARGET_CODEC, [Attach(service=target.service, vm=self.vm)])
            stream = read_messages(reader, TARGET_CODEC)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                first_frame, *other_frames = await anext(stream)
            if not isinstance(first_frame, Attached) or first_frame.service != target.service:
                raise DecodeError(f"target {target.name} does not serve {target.service}")
            self._writers[target.name] = writer
            attached = True
            self.report(TargetUp(target=target.name))
            if other_frames:
                self.report(TargetFrames(target=target.name, frames=tuple(other_frames)))
            async for frames in stream:
                self.report(TargetFrames(target=target.name, frames=tuple(frames)))
        finally:
            writer.close()
            if attached:
                self._writers.pop(target.name, None)
                self.report(TargetLost(target=target.name))
        return attached
