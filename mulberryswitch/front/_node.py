"""The daemon of one VM on the direct path."""

import asyncio
import contextlib
import logging
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from random import Random

from mulberryswitch.directory import Directory
from mulberryswitch.forwarding import Action, Forward, Forwarder
from mulberryswitch.observability import Metrics
from mulberryswitch.transport import DatagramSocket, HttpServer

from ._pages import Pages
from ._peers import Peers
from ._settings import Adapter, FrontSettings, FrontSettingsError
from ._store_reader import StoreReader

__all__ = ["Front", "run_front"]

TICK_S = 0.01
# Below the gap that the forwarder takes for a pause of this process.
IDLE_TICK_S = 0.2
RELOAD_CHECK_S = 2.0
# Pause before a task that failed starts again.
RESTART_S = 0.2
# Routers take a VM that is not ready out of rotation after two checks, half a second apart.
MIN_SHUTDOWN_S = 1.5
QUIET_SHUTDOWN_S = 1.0
SHUTDOWN_MARGIN_S = 1.0

log = logging.getLogger("front")


class Front:
    """State and tasks of one VM.

    Parameters
    ----------
    settings : FrontSettings
    adapter : Adapter
        Translations of the platform.
    rng : Random
        Source of all choices.
    clock : callable
        Returns seconds that never go back.
    """

    def __init__(self, *, settings: FrontSettings, adapter: Adapter, rng: Random, clock=None):
        self.settings = settings
        self.adapter = adapter
        self.rng = rng
        self.clock = clock or time.monotonic
        self.metrics = Metrics()
        self.directory = Directory(
            decode=adapter.decode_record, keep_departed_s=settings.flow_life_s
        )
        self.forwarder = Forwarder(
            directory=self.directory,
            zone=settings.zone,
            rng=rng,
            count=self.metrics.count,
            report_unresponsive=lambda token, health: self.peers.report_unresponsive(token, health),
            report_suspicion=lambda token: self.peers.report_suspicion(token),
            report_answer=self.metrics.observe_answer,
        )
        self.is_stopping = False
        self._packet_s = 0.0
        self._opening = asyncio.Event()
        self._packets = DatagramSocket(
            host=settings.packet_address.host,
            port=settings.packet_address.port,
            receive=self._receive,
        )
        self.reader = StoreReader(
            directory=self.directory,
            store=adapter.connect_store(settings.store_address),
            rng=rng,
            clock=self.clock,
            report_change=self._observe_change,
            count=self.metrics.count,
            is_needed=lambda: self.peers.is_reader(),
        )
        self.peers = Peers(
            settings=settings,
            directory=self.directory,
            loads=self.forwarder.loads,
            get_confirmed_s=lambda: self.reader.planner.confirmed_s,
            report_change=self._observe_change,
            count=self.metrics.count,
            rng=rng,
            clock=self.clock,
        )
        pages = Pages(front=self)
        self._servers = [
            HttpServer(host=address.host, port=address.port, handler=pages.answer)
            for address in (settings.ready_address, settings.metrics_address)
        ]

    @property
    def is_ready(self) -> bool:
        """Whether routers may send packets here."""
        return self.directory.is_loaded and not self.is_stopping

    def apply_settings(self, settings: FrontSettings) -> None:
        """Take over new settings; addresses that this VM listens on stay until it restarts."""
        if settings.store_address != self.settings.store_address:
            self.reader.replace_store(self.adapter.connect_store(settings.store_address))
        self.peers.apply_seeds(settings.seeds)
        self.settings = replace(
            self.settings,
            seeds=settings.seeds,
            store_address=settings.store_address,
            shutdown_s=settings.shutdown_s,
        )
        is_whole = self.settings == settings
        log.info("settings applied", extra={"needs_restart": not is_whole})

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set and the flows have moved to other VMs."""
        self._packets.start()
        await self.peers.start()
        for server in self._servers:
            await server.start()
        log.info("started", extra={"zone": self.settings.zone})
        try:
            async with asyncio.TaskGroup() as group:
                steps = (self._tick, self.peers.run, self.reader.run)
                tasks = [group.create_task(_keep_running(step)) for step in steps]
                await stop.wait()
                await self._shut_down()
                for task in tasks:
                    task.cancel()
        finally:
            self._packets.stop()
            self.peers.stop()
            for server in self._servers:
                server.stop()
            log.info("stopped", extra={"packets": self.metrics.counts["packets"]})

    async def _shut_down(self) -> None:
        """Leave the rotation, and forward until no packets come or the time is up."""
        self.is_stopping = True
        self.peers.leave()
        started_s = self.clock()
        end_s = started_s + max(0.0, self.settings.shutdown_s - SHUTDOWN_MARGIN_S)
        log.info("stopping", extra={"until_s": round(end_s - started_s, 3)})
        while (now_s := self.clock()) < end_s:
            is_quiet = now_s - self._packet_s > QUIET_SHUTDOWN_S
            if is_quiet and now_s - started_s > MIN_SHUTDOWN_S:
                return
            await asyncio.sleep(TICK_S)

    async def _tick(self) -> None:
        """Follow up openings, which only a busy VM needs often."""
        while True:
            if self.forwarder.flows.openings:
                await asyncio.sleep(TICK_S)
            else:
                await self._wait_for_opening()
            # Answers that have arrived go before the timers that miss them.
            if self._packets.read():
                self._perform(self.forwarder.decide_tick(now_s=self.clock()))

    async def _wait_for_opening(self) -> None:
        self._opening.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_TICK_S):
                await self._opening.wait()

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        packet = self.adapter.decode_packet(data)
        if packet is None:
            self.metrics.count("packets_malformed")
            return
        self.metrics.count("packets")
        self._packet_s = now_s = self.clock()
        self._perform(self.forwarder.observe_packet(packet=packet, now_s=now_s))
        if packet.opens:
            self._opening.set()

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Forward):
                self._packets.send(self.adapter.encode_forward(action), action.target.address)
            else:
                data, address = self.adapter.encode_reset(action, self.settings.packet_address.port)
                self._packets.send(data, address)

    def _observe_change(self) -> None:
        self.peers.observe_change()
        self._perform(self.forwarder.observe_change(self.clock()))


async def _keep_running(step: Callable[[], Awaitable[None]]) -> None:
    """Run a task for ever; a fault in one of them must not stop the packets of all flows."""
    while True:
        try:
            await step()
        except Exception:
            log.exception("task failed and starts again", extra={"task": step.__qualname__})
            await asyncio.sleep(RESTART_S)


async def run_front(*, settings_path: Path, adapter: Adapter, settings: FrontSettings) -> None:
    """Run a VM until it is asked to stop."""
    front = Front(settings=settings, adapter=adapter, rng=Random())
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    watcher = asyncio.create_task(_watch_settings(front, settings_path, reload))
    try:
        await front.run(stop)
    finally:
        watcher.cancel()


async def _watch_settings(front: Front, path: Path, reload: asyncio.Event) -> None:
    """Apply the settings file when it changes, with or without a signal."""
    former = _read_text(path)
    while True:
        try:
            async with asyncio.timeout(RELOAD_CHECK_S):
                await reload.wait()
        except TimeoutError:
            pass
        reload.clear()
        try:
            text = _read_text(path)
            if text == former:
                continue
            former = text
            front.apply_settings(front.adapter.parse_settings(text))
        except (OSError, UnicodeDecodeError, FrontSettingsError) as exc:
            log.error("settings not applied", extra={"error": str(exc)})


def _read_text(path: Path) -> str:
    """Return the content of a small local file, which needs no thread."""
    return path.read_text()
