"""Daemon of one VM on the direct path."""

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
from mulberryswitch.forwarding import Action, ColdGate, Forward, Forwarder
from mulberryswitch.observability import Metrics
from mulberryswitch.transport import DatagramSocket, HttpServer

from ._pages import StatusPages
from ._peers import PeerService
from ._settings import Adapter, FrontSettings, FrontSettingsError
from ._store_reader import StoreReader

__all__ = ["Front", "run_front"]

TIMER_PERIOD_S = 0.01
# Hedged openings are often a few milliseconds old.
HEDGE_TIMER_PERIOD_S = 0.004
# Has to stay below the gap between ticks that the forwarder takes for a pause of this process.
IDLE_TIMER_PERIOD_S = 0.2
SETTINGS_POLL_S = 2.0
# Delay before a failed task is restarted.
TASK_RESTART_DELAY_S = 0.2
# Routers stop sending to a VM after two failed readiness checks, half a second apart.
MIN_SHUTDOWN_S = 1.5
# Time without packets after which shutdown ends early.
SHUTDOWN_IDLE_S = 1.0
# Forwarding ends at the latest this long before `shutdown_s` has passed.
SHUTDOWN_MARGIN_S = 1.0

log = logging.getLogger("front")


class Front:
    """One VM of the direct path: its state, sockets and tasks.

    Parameters
    ----------
    settings : FrontSettings
    adapter : Adapter
        Conversions between the platform's formats and this package's types.
    rng : Random
        Source of all random choices.
    clock : callable
        Monotonic clock in seconds; ``time.monotonic`` by default.
    """

    def __init__(self, *, settings: FrontSettings, adapter: Adapter, rng: Random, clock=None):
        self.settings = settings
        self.adapter = adapter
        self.rng = rng
        self.clock = clock or time.monotonic
        self.metrics = Metrics()
        self.directory = Directory(
            decode=adapter.decode_record,
            keep_departed_s=settings.flow_lifetime_s,
            zones=settings.zones,
        )
        self.forwarder = Forwarder(
            directory=self.directory,
            zone=settings.zone,
            vm=settings.vm,
            rng=rng,
            count=self.metrics.count,
            hedge_limits=settings.hedge_limits,
            cold_gate=ColdGate(
                bounds=settings.cold_bounds,
                is_owner=lambda key, now_s: self.peers.claims.is_owner(key, now_s),
            ),
            report_unresponsive=lambda token, health: self.peers.report_unresponsive(token, health),
            report_suspicion=lambda token: self.peers.report_suspicion(token),
            report_answer=self.metrics.observe_answer,
        )
        self.is_stopping = False
        self._last_packet_s = 0.0
        self._flow_opening = asyncio.Event()
        self._packet_socket = DatagramSocket(
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
            should_read=lambda: self.peers.is_reader(),
        )
        self.peers = PeerService(
            settings=settings,
            directory=self.directory,
            loads=self.forwarder.loads,
            get_confirmed_s=lambda: self.reader.planner.confirmed_s,
            report_change=self._observe_change,
            count=self.metrics.count,
            rng=rng,
            clock=self.clock,
        )
        pages = StatusPages(front=self)
        self._servers = [
            HttpServer(host=address.host, port=address.port, handler=pages.render)
            for address in (settings.ready_address, settings.metrics_address)
        ]

    @property
    def is_ready(self) -> bool:
        """Whether routers may send packets here: the directory is loaded, and no shutdown runs."""
        return self.directory.is_loaded and not self.is_stopping

    def apply_settings(self, settings: FrontSettings) -> None:
        """Apply new seeds, store address and shutdown time; other changes need a restart."""
        if settings.store_address != self.settings.store_address:
            self.directory.forget_position()
            self.reader.replace_store(self.adapter.connect_store(settings.store_address))
        self.peers.apply_settings(seeds=settings.seeds, store_address=settings.store_address)
        self.settings = replace(
            self.settings,
            seeds=settings.seeds,
            store_address=settings.store_address,
            shutdown_s=settings.shutdown_s,
        )
        # The options are read at the start only.
        is_complete = self.settings == replace(settings, hedge_limits=self.settings.hedge_limits)
        log.info("settings applied", extra={"needs_restart": not is_complete})

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set and the shutdown is complete."""
        self._packet_socket.start()
        await self.peers.start()
        for server in self._servers:
            await server.start()
        log.info("started", extra={"zone": self.settings.zone})
        try:
            async with asyncio.TaskGroup() as group:
                runs = (
                    self._run_timers,
                    self.peers.run,
                    self.peers.run_pulls,
                    self.reader.run,
                )
                tasks = [group.create_task(_run_with_restarts(run)) for run in runs]
                await stop.wait()
                await self._shut_down()
                for task in tasks:
                    task.cancel()
        finally:
            self._packet_socket.stop()
            self.peers.stop()
            for server in self._servers:
                server.stop()
            log.info("stopped", extra={"packets": self.metrics.counts["packets"]})

    async def _shut_down(self) -> None:
        """Report not ready, leave the membership, and forward until packets cease or time is up."""
        self.is_stopping = True
        self.peers.leave()
        started_s = self.clock()
        end_s = started_s + max(0.0, self.settings.shutdown_s - SHUTDOWN_MARGIN_S)
        log.info("stopping", extra={"until_s": round(end_s - started_s, 3)})
        while (now_s := self.clock()) < end_s:
            is_quiet = now_s - self._last_packet_s > SHUTDOWN_IDLE_S
            if is_quiet and now_s - started_s > MIN_SHUTDOWN_S:
                return
            await asyncio.sleep(TIMER_PERIOD_S)

    async def _run_timers(self) -> None:
        """Run the timers of flows that are being opened; without such flows, tick rarely."""
        period_s = HEDGE_TIMER_PERIOD_S if self.forwarder.hedging.is_on else TIMER_PERIOD_S
        while True:
            if self.forwarder.flows.openings:
                await asyncio.sleep(period_s)
            else:
                await self._wait_for_opening()
            # Answers that wait in the socket are processed first, or a timer would count them as
            # missing.
            if self._packet_socket.read():
                self._send_actions(self.forwarder.decide_tick(now_s=self.clock()))

    async def _wait_for_opening(self) -> None:
        self._flow_opening.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_TIMER_PERIOD_S):
                await self._flow_opening.wait()

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        packet = self.adapter.decode_packet(data)
        if packet is None:
            self.metrics.count("packets_malformed")
            return
        self.metrics.count("packets")
        self._last_packet_s = now_s = self.clock()
        self._send_actions(self.forwarder.observe_packet(packet=packet, now_s=now_s))
        if packet.opens:
            self._flow_opening.set()

    def _send_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Forward):
                self._packet_socket.send(self.adapter.encode_forward(action), action.target.address)
            else:
                data, address = self.adapter.encode_reset(action, self.settings.packet_address.port)
                self._packet_socket.send(data, address)

    def _observe_change(self) -> None:
        self.peers.observe_change()
        self._send_actions(self.forwarder.observe_change(self.clock()))


async def _run_with_restarts(run: Callable[[], Awaitable[None]]) -> None:
    """Run a task and restart it when it fails, so that one failure does not stop all forwarding."""
    while True:
        try:
            await run()
        except Exception:
            log.exception("task failed, restarting it", extra={"task": run.__qualname__})
            await asyncio.sleep(TASK_RESTART_DELAY_S)


async def run_front(*, settings_path: Path, adapter: Adapter, settings: FrontSettings) -> None:
    """Run a VM until SIGTERM or SIGINT; reload its settings on SIGHUP."""
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
    """Apply the settings file when its content changes.

    The file is read on each signal, and every ``SETTINGS_POLL_S`` seconds without one. No error
    ends the task, since later changes would then be missed.
    """
    previous = None
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await reload.wait()
        except TimeoutError:
            pass
        reload.clear()
        try:
            text = _read_text(path)
            if text == previous:
                continue
            previous = text
            front.apply_settings(front.adapter.parse_settings(text))
        except (OSError, UnicodeDecodeError, FrontSettingsError) as exc:
            log.error("settings not applied", extra={"error": str(exc)})
        except Exception:
            log.exception("settings not applied")


def _read_text(path: Path) -> str:
    """Return the content of the settings file; it is small and local, so no thread is needed."""
    return path.read_text()
