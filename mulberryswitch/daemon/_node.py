"""The daemon of one VM: a task per link, and one task that makes all decisions."""

import asyncio
import contextlib
import logging
import signal
import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from mulberryswitch.contracts import FABRIC_CODEC, MEMBERSHIP_CODEC, DecodeError, Settings
from mulberryswitch.links import (
    AttachTarget,
    ClosePeer,
    DatagramEndpoint,
    DetachTarget,
    FabricPackets,
    MemberDatagram,
    OperatorServer,
    PeerLinks,
    PlatformReader,
    ReadConfig,
    ReadVmList,
    SendFabricMessage,
    SendMemberDatagram,
    SendPeerMessage,
    SendTargetFrame,
    TargetLinks,
    sign_hello,
)
from mulberryswitch.observability import Metrics, build_hop_recorder

from ._core import NodeCore
from ._identity import NodeIdentity, Shutdown, Tick
from ._status import build_explanation, build_gauges, build_holds, build_status

__all__ = ["Node", "run_node"]

TICK_S = 0.02
# Packets from the fabric beyond this queue length are dropped, as with a full socket buffer.
MAX_QUEUED_EVENTS = 20_000

log = logging.getLogger("node")


def build_clock() -> Callable[[], float]:
    """Return a monotonic clock that reads seconds since the epoch."""
    offset_s = time.time() - time.monotonic()
    return lambda: time.monotonic() + offset_s


class Node:
    """Daemon of one VM: the links and the event loop around a `NodeCore`.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """

    def __init__(self, *, settings: Settings):
        self.settings = settings
        self.clock = build_clock()
        self.metrics = Metrics()
        self._inbox: asyncio.Queue = asyncio.Queue()
        self._blocked_addresses: frozenset[str] = frozenset()

    def _build(self) -> None:
        cfg = self.settings
        incarnation = int(self.clock() * 1000)
        key = bytes.fromhex(cfg.node.key)
        count = self.metrics.count
        self.core = NodeCore(
            identity=NodeIdentity(
                vm=cfg.node.vm,
                zone=cfg.node.zone,
                address=cfg.peers.listen,
                incarnation=incarnation,
                seeds=cfg.peers.seed_endpoints,
            ),
            key=key,
            rng=Random(),
            max_queued=cfg.limits.queue,
            max_pending=cfg.limits.pending,
            count=count,
            observe_wait=self.metrics.observe_wait,
            record_hop=build_hop_recorder(
                exporter=cfg.tracing.exporter, vm=cfg.node.vm, zone=cfg.node.zone
            ),
        )
        hello = {"fleet": cfg.node.fleet, "vm": cfg.node.vm, "zone": cfg.node.zone}
        self.peers = PeerLinks(
            listen=cfg.peers.listen,
            fleet=cfg.node.fleet,
            key=key,
            build_hello=lambda: sign_hello(
                key=key, incarnation=incarnation, now_s=self.clock(), **hello
            ),
            clock=self.clock,
            report=self._enqueue_event,
            count=count,
        )
        self.fabric = DatagramEndpoint(
            listen=cfg.fabric.listen,
            codec=FABRIC_CODEC,
            receive=self._receive_packets,
            count=partial(self._count_link, "fabric"),
        )
        self.members = DatagramEndpoint(
            listen=cfg.peers.listen,
            codec=MEMBERSHIP_CODEC,
            receive=self._receive_member_datagrams,
            count=partial(self._count_link, "members"),
        )
        self.targets = TargetLinks(vm=cfg.node.vm, report=self._enqueue_event)
        self.platform = PlatformReader(url=cfg.platform.url, report=self._enqueue_event)
        self.operator = OperatorServer(
            listen=cfg.operator.listen,
            read_status=lambda: build_status(self.core, self.clock()),
            read_holds=lambda: build_holds(self.core),
            explain=lambda flow, address: build_explanation(self.core, flow=flow, address=address),
            render_metrics=lambda accept: self.metrics.render(
                build_gauges(self.core, self.clock()), accept
            ),
            cut=self._block_peers if cfg.testing.allow_cuts else None,
        )

    async def run(self) -> None:
        """Serve until ``SIGTERM`` or ``SIGINT``, then hand over all state and return."""
        self._build()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._enqueue_event, Shutdown())
        await self._start_links()
        ticker = asyncio.create_task(self._tick())
        log.info("node: started")
        try:
            await self._process_events()
        finally:
            ticker.cancel()
            await self._stop_links()
            log.info("node: stopped")

    async def _start_links(self) -> None:
        await self.peers.start()
        await self.members.start()
        await self.fabric.start()
        await self.platform.start()
        await self.operator.start()

    async def _stop_links(self) -> None:
        with contextlib.suppress(Exception):
            await self.peers.stop()
        self.targets.stop()
        self.fabric.stop()
        self.members.stop()
        await self.platform.stop()
        await self.operator.stop()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._enqueue_event(Tick())

    async def _process_events(self) -> None:
        """Process events one after another until this VM is drained or the shutdown times out."""
        shutdown_deadline_s = None
        while True:
            event = await self._inbox.get()
            now_s = self.clock()
            if isinstance(event, Shutdown) and shutdown_deadline_s is None:
                shutdown_deadline_s = now_s + self.settings.limits.shutdown_s
            self._handle(event, now_s)
            if self.core.membership.is_superseded:
                log.error("node: a newer process uses the name of this VM; stopping")
                return
            if shutdown_deadline_s is not None and (
                now_s >= shutdown_deadline_s or self.core.is_drained(now_s)
            ):
                return

    def _handle(self, event: Any, now_s: float) -> None:
        try:
            effects = self.core.handle(event, now_s)
        except Exception:
            # A failed event must not stop the VM. Operators can alert on the counter.
            self.metrics.count("event_failures")
            log.exception("node: event failed", extra={"event": type(event).__name__})
            return
        for effect in effects:
            try:
                self._execute(effect)
            except DecodeError as exc:
                self.metrics.count("effects_too_large")
                log.error("node: message not sent", extra={"reason": str(exc)})
            except Exception:
                self.metrics.count("effect_failures")
                log.exception("node: effect failed", extra={"effect": type(effect).__name__})

    def _execute(self, effect: Any) -> None:
        match effect:
            case SendFabricMessage():
                self.fabric.send(self.settings.fabric.fabric, effect.message)
            case SendPeerMessage():
                self.peers.send(effect.vm, effect.address, effect.message)
            case SendTargetFrame():
                self.targets.send(effect.target, effect.frame)
            case SendMemberDatagram():
                if effect.address not in self._blocked_addresses:
                    self.members.send(effect.address, effect.message)
            case ClosePeer():
                self.peers.close(effect.vm)
            case AttachTarget():
                self.targets.attach(effect.target)
            case DetachTarget():
                self.targets.detach(effect.target)
            case ReadConfig():
                self.platform.read_config(effect)
            case ReadVmList():
                self.platform.read_vm_list()

    def _enqueue_event(self, event: Any) -> None:
        self._inbox.put_nowait(event)

    def _receive_packets(self, batch: list[tuple[str, Any]]) -> None:
        if self._inbox.qsize() >= MAX_QUEUED_EVENTS:
            self.metrics.count("packets_overflow", len(batch))
            return
        self._enqueue_event(FabricPackets(packets=tuple(packet for _, packet in batch)))

    def _receive_member_datagrams(self, batch: list[tuple[str, Any]]) -> None:
        for sender, message in batch:
            if sender not in self._blocked_addresses:
                self._enqueue_event(MemberDatagram(sender=sender, message=message))

    def _count_link(self, link: str, name: str, amount: int) -> None:
        self.metrics.count(f"{link}_{name}", amount)

    def _block_peers(self, vms: frozenset[str]) -> None:
        members = self.core.membership.members
        self._blocked_addresses = frozenset(members[vm].address for vm in vms if vm in members)
        self.peers.cut(vms)


def run_node(*, settings: Settings) -> None:
    """Run the daemon in this process until a signal stops it."""
    asyncio.run(Node(settings=settings).run())
