"""Requesters and endpoints."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

from .wire import ACK, FIN, RST, SYN, Address, Packet, decode

# Copies of a SYN follow after 200 ms and 600 ms; the attempt ends at 1.4 s.
SYN_WAITS_S = (0.2, 0.4, 0.8)
FIRST_RETRANSMIT_S, LAST_RETRANSMIT_S = 0.2, 1.6
# After so many retransmissions an endpoint gives up.
MAX_RETRANSMITS = 8


class _Udp(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.receive(data, addr)


async def open_udp(host: str, port: int, receive) -> _Udp:
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(lambda: _Udp(receive), (host, port))
    return protocol


@dataclass
class Taken:
    """A SYN that an endpoint took: sent by the requester at `sent`, forwarded by `vm`."""

    at: float
    sent: float
    vm: str
    endpoint: str
    service: str
    route: Address
    request: str


@dataclass
class Run:
    """A request on which an endpoint began to work."""

    at: float
    request: str
    endpoint: str
    service: str
    route: Address


@dataclass
class Result:
    """The end of a request."""

    sent: float
    ended: float
    request: str
    route: Address
    outcome: str
    vm: str = ""
    answered_by: str = ""


@dataclass
class World:
    """What all stand-ins of a script share, and what they saw."""

    vm_of_host: dict[str, str] = field(default_factory=dict)
    # Time at which the requester sent the first SYN, and its request, by flow.
    flows: dict[tuple, tuple[float, str]] = field(default_factory=dict)
    taken: list[Taken] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    results: list[Result] = field(default_factory=list)


@dataclass
class _Accepted:
    echo: int
    seq: int
    expected: int
    is_open: bool = False
    # Data packets since the last acknowledgement; every second one is acknowledged.
    unacknowledged: int = 0
    acknowledged: int = 0
    seen: set = field(default_factory=set)


class Endpoint:
    """One endpoint of a service."""

    def __init__(
        self,
        world: World,
        *,
        ident: str,
        service: str,
        zone: str,
        address: Address,
        requester_port: int,
        slots: int = 3,
        work_s: float = 0.047,
        cold_ms: int = 0,
    ):
        self.world, self.ident, self.service, self.zone = world, ident, service, zone
        self.address, self.requester_port = address, requester_port
        self.slots, self.work_s, self.cold_ms = slots, work_s, cold_ms
        # Work of single requests, where it is not `work_s`.
        self.work_of: dict[str, float] = {}
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.has_ended = False
        self._flows: dict[tuple, _Accepted] = {}
        self._busy = asyncio.Semaphore(slots)
        self._seqs = itertools.count(1000, 1_000_003)
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        self._udp = await open_udp(*self.address, self._receive)

    def end(self) -> None:
        """End the process: its flows and the work on requests are lost."""
        self.has_ended = True
        for task in self._tasks:
            task.cancel()
        self._udp.transport.close()

    def entry(self) -> dict:
        """Return what it writes to the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": self.cold_ms,
            "sequence": self.sequence,
            "born": self.born,
        }

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        named = int.from_bytes(data[:8], "big")
        if self.has_ended or named not in (0, int(self.ident.rpartition("-")[2], 16)):
            return
        packet = decode(data[8:])
        if not packet.valid:
            return
        key = (packet.src, packet.dst)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = _Accepted(packet.echo, next(self._seqs) % 2**32, (packet.seq + 1) % 2**32)
                self._flows[key] = flow
                sent, request = self.world.flows.get(key, (0.0, ""))
                vm = self.world.vm_of_host.get(sender[0], sender[0])
                self.world.taken.append(
                    Taken(time.monotonic(), sent, vm, self.ident, self.service, packet.dst, request)
                )
            flow.echo = packet.echo
            self._send(packet, SYN | ACK, flow.echo, flow.seq, flow.expected)
            return
        if flow is None or not (flow.is_open or packet.ack == (flow.seq + 1) % 2**32):
            self._send(packet, RST, packet.echo, 0, 0)
            return
        if not flow.is_open:
            flow.is_open = True
            flow.seq = (flow.seq + 1) % 2**32
        flow.echo = packet.echo
        flow.acknowledged = packet.ack
        if packet.flags & (FIN | RST):
            del self._flows[key]
        elif packet.data:
            self._take_data(packet, key, flow)

    def _take_data(self, packet: Packet, key: tuple, flow: _Accepted) -> None:
        flow.unacknowledged += 1
        if packet.seq not in flow.seen:
            flow.seen.add(packet.seq)
            flow.expected = (packet.seq + len(packet.data)) % 2**32
            task = asyncio.create_task(self._work(packet, key, flow))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if flow.unacknowledged == 2:
            flow.unacknowledged = 0
            self._send(packet, ACK, flow.echo, flow.seq, flow.expected)

    async def _work(self, packet: Packet, key: tuple, flow: _Accepted) -> None:
        async with self._busy:
            request = packet.data.decode()
            now = time.monotonic()
            self.world.runs.append(Run(now, request, self.ident, self.service, packet.dst))
            await asyncio.sleep(self.work_of.get(request, self.work_s))
        body = f"{request} by {self.ident} of {self.service}".encode()
        start, flow.seq = flow.seq, (flow.seq + len(body)) % 2**32
        flow.unacknowledged = 0
        wait_s = FIRST_RETRANSMIT_S
        for _ in range(1 + MAX_RETRANSMITS):
            if self._flows.get(key) is not flow or flow.acknowledged == flow.seq:
                return
            self._send(packet, ACK, flow.echo, start, flow.expected, body)
            await asyncio.sleep(wait_s)
            wait_s = min(LAST_RETRANSMIT_S, 2 * wait_s)

    def _send(
        self, packet: Packet, flags: int, echo: int, seq: int, ack: int, data: bytes = b""
    ) -> None:
        answer = Packet(packet.dst, packet.src, flags, echo, seq, ack, data)
        self._udp.transport.sendto(answer.encode(), (packet.src.host, self.requester_port))


class Flow:
    """The requester's end of one flow."""

    def __init__(self, requester: "Requester", route: Address, port: int, vm: str = ""):
        self.requester, self.route, self.vm = requester, route, vm
        self.src = Address(requester.host, port)
        self.sent_by = ""
        self.outcome = "not opened"
        self.answer = ""
        self.endpoint = Address("", 0)
        self.opened_at = 0.0
        self._inbox: asyncio.Queue = asyncio.Queue()
        self._echo = self._ack = 0
        self._seq = random.randrange(2**32)
        requester.flows[port] = self

    def receive(self, packet: Packet, vm: str, sender: tuple[str, int]) -> None:
        self._inbox.put_nowait((packet, vm, sender))

    def _send(self, flags: int, ack: int, data: bytes = b"") -> None:
        packet = Packet(self.src, self.route, flags, self._echo, self._seq, ack, data)
        self.sent_by = self.requester.router.send(packet, self.requester.zone, self.vm)

    async def open(self, request: str = "") -> bool:
        """Open the flow; return whether it is open, and leave the reason in `outcome` if not."""
        self.requester.world.flows[(self.src, self.route)] = (time.monotonic(), request)
        for copy, wait_s in enumerate(SYN_WAITS_S):
            self._send(SYN, copy)
            packet, vm, sender = await self._get(wait_s)
            if packet is None:
                continue
            if packet.flags & RST:
                self.outcome = f"reset by {vm or 'endpoint'} before it was open"
                return False
            if packet.flags & SYN:
                self._echo, self._ack = packet.echo, (packet.seq + 1) % 2**32
                self._seq = (self._seq + 1) % 2**32
                self.endpoint = Address(*sender)
                self._send(ACK, self._ack)
                self.outcome, self.opened_at = "open", time.monotonic()
                return True
        return False

    async def exchange(self, request: str, end: float) -> bool:
        """Send a request and wait for its answer; return whether it came."""
        data = request.encode()
        sent_end = (self._seq + len(data)) % 2**32
        wait_s, is_acknowledged = FIRST_RETRANSMIT_S, False
        self.outcome = "open until the time budget was over"
        resend_at = time.monotonic()
        while (now := time.monotonic()) < end:
            if not is_acknowledged and now >= resend_at:
                self._send(ACK, self._ack, data)
                resend_at, wait_s = now + wait_s, min(LAST_RETRANSMIT_S, 2 * wait_s)
            next_at = end if is_acknowledged else min(end, resend_at)
            packet, vm, _ = await self._get(next_at - time.monotonic())
            if packet is None or packet.flags & SYN:
                continue
            if packet.flags & RST:
                self.outcome = f"open and reset by {vm or 'endpoint'}"
                return False
            is_acknowledged = is_acknowledged or packet.ack == sent_end
            # Other data is a copy of an earlier answer.
            if packet.data and packet.seq == self._ack:
                self.outcome, self.answer = "answered", packet.data.decode().partition(" by ")[2]
                self._seq = sent_end
                self._ack = (packet.seq + len(packet.data)) % 2**32
                self._echo = packet.echo
                self._send(ACK, self._ack)
                return True
        return False

    def close(self) -> None:
        if self.requester.flows.pop(self.src.port, None) and self.outcome == "answered":
            self._send(FIN | ACK, self._ack)

    async def _get(self, wait_s: float):
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                return await self._inbox.get()
        except TimeoutError:
            return None, "", ("", 0)


class Requester:
    """One requester; each request opens a flow from a new port."""

    def __init__(self, world: World, *, host: str, zone: str, router, port: int):
        self.world, self.host, self.zone, self.router, self.port = world, host, zone, router, port
        self.flows: dict[int, Flow] = {}
        # Returns whether a datagram was lost on its way here.
        self.is_lost = lambda packet, sender: False
        self._ports = itertools.count(1024)
        self._numbers = itertools.count(1)

    async def start(self) -> None:
        self._udp = await open_udp(self.host, self.port, self._receive)

    def stop(self) -> None:
        self._udp.transport.close()

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        packet = decode(data)
        flow = self.flows.get(packet.dst.port)
        if flow is None or packet.src != flow.route or self.is_lost(packet, sender):
            return
        flow.receive(packet, self.world.vm_of_host.get(sender[0], ""), sender)

    def name_request(self, kind: str) -> str:
        return f"{self.host}-{kind}-{next(self._numbers)}"

    def new_flow(self, route: Address, *, vm: str = "", through: str = "") -> Flow:
        """Return a flow from a new port: sent straight to `vm`, or by way of the routers.

        With `through`, the port is one for which the routers' hash picks that machine.
        """
        port = next(self._ports)
        while through and self.router.pick(Address(self.host, port), route, self.zone) != through:
            port = next(self._ports)
        return Flow(self, route, port, vm)

    async def request(
        self,
        route: Address,
        *,
        kind: str = "safe",
        vm: str = "",
        budget_s: float = 4.0,
        retries: int = 2,
    ) -> Result:
        """Send one request on a flow of its own, with retries, and record its end."""
        start = time.monotonic()
        for _ in range(1 + retries):
            name = self.name_request(kind)
            flow = self.new_flow(route, vm=vm)
            if await flow.open(name):
                await flow.exchange(name, start + budget_s)
            flow.close()
            is_over = flow.outcome == "answered" or time.monotonic() >= start + budget_s
            if is_over or (kind == "unsafe" and flow.outcome.startswith("open ")):
                break
            await asyncio.sleep(0.05)
        result = Result(
            start, time.monotonic(), name, route, flow.outcome, flow.sent_by, flow.answer
        )
        self.world.results.append(result)
        return result
