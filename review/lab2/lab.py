"""Stand-ins of the users' platform for the scripts of this review, with the standard library only.

Store, router, endpoints (targets) and requesters (callers) follow the users' pages. Programs of the
project run as separate processes with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import http.client
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
SYN, ACK, FIN, RST = 64, 8, 32, 4
HEADER = struct.Struct("!IIHIHIHBII")
MASK = 2**32 - 1
HEARTBEAT_S = 1.2
LEASE_S = 3 * HEARTBEAT_S
IDLE_TIMEOUT_MS = 15_000
OPENING_WAITS_S = (0.2, 0.4, 0.8)
FIRST_RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
MAX_ENDPOINT_RETRANSMITS = 8
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_KEY = b"key of requesters and endpoints"


def ip_number(host):
    return int.from_bytes(socket.inet_aton(host), "big")


def ip_text(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Record:
    """The file record.txt of a case: what was sent, answered and run, with seconds since start."""

    def __init__(self, folder):
        self.start_s = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w")

    def now(self):
        return time.monotonic() - self.start_s

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b"", echo=0):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data, self.echo = flags, seq, ack, data, echo

    def _pack(self, echo, total):
        return (
            HEADER.pack(
                echo,
                total,
                self.dport,
                ip_number(self.dst),
                self.sport,
                ip_number(self.src),
                len(self.data),
                self.flags,
                self.seq & MASK,
                self.ack & MASK,
            )
            + self.data
        )

    def encode(self):
        return self._pack(self.echo, self._sum())

    def _sum(self):
        return zlib.crc32(_KEY + self._pack(0, 0)) or 1

    @classmethod
    def decode(cls, raw):
        echo, total, dport, dst, sport, src, size, flags, seq, ack = HEADER.unpack_from(raw)
        packet = cls(
            ip_text(src), sport, ip_text(dst), dport, flags, seq, ack, raw[HEADER.size :], echo
        )
        packet.total = total
        packet.is_authentic = total == packet._sum() and size == len(packet.data)
        return packet


class UdpSocket(asyncio.DatagramProtocol):
    def __init__(self, on_datagram):
        self.on_datagram = on_datagram

    async def bind(self, host, port):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)

    def datagram_received(self, data, addr):
        self.on_datagram(data, addr)

    def error_received(self, exc):
        pass

    def send(self, data, addr):
        with contextlib.suppress(OSError):
            self.transport.sendto(data, addr)

    def close(self):
        self.transport.close()


class Store:
    """The platform's store: items with revisions, ranges, watches and leases.

    `mode` is "ok", "busy" (503), "many" (429), "reset" or "silent"; `refused` holds hosts that get
    `refused_mode` while the others are served.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.dropped_revision = 100
        self.mode = "ok"
        self.refused = {}
        self.changed = asyncio.Event()
        self.calls = 0
        self.writers = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port)

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, content):
        """Write a value (bytes, or an object as JSON); return the revision."""
        raw = content if isinstance(content, bytes) else json.dumps(content).encode()
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "rev": self.revision,
            "createRevision": old["createRevision"] if old else self.revision,
            "lease": 1 if key.startswith("servers/") else 0,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "rev": self.revision, "deleted": True})

    def drop_history(self):
        self.dropped_revision = self.revision
        self.history.clear()

    def set_mode(self, mode):
        self.mode = mode
        if mode in ("reset", "silent", "busy"):
            for writer in list(self.writers):
                if mode == "reset":
                    writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                self.calls += 1
                if not await self._answer(target, peer, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _mode(self, peer):
        return self.refused.get(peer, "ok") if self.mode == "ok" else self.mode

    async def _answer(self, target, peer, writer):
        url = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        mode = self._mode(peer)
        if mode == "silent":
            await asyncio.sleep(3600)
        if mode == "reset":
            writer.transport.abort()
            return False
        if mode in ("busy", "many"):
            return await self._send(writer, 503 if mode == "busy" else 429, {"error": mode})
        if url.path == "/-/kv-range":
            return await self._send(writer, 200, self._range(query))
        if url.path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            return await self._send(
                writer, 200 if item else 404, {**(item or {}), "storeRevision": self.revision}
            )
        if url.path == "/-/kv-watch":
            return await self._watch(query, peer, writer)
        return await self._send(writer, 404, {})

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys:
            size += len(self.items[key]["value"])
            if page and (len(page) >= 500 or size > 1_000_000):
                break
            page.append(self.items[key])
        return {
            "items": page,
            "truncated": len(page) < len(keys),
            "storeRevision": self.revision,
        }

    async def _watch(self, query, peer, writer):
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = time.monotonic() + min(30_000, int(query["waitMs"])) / 1000
        while True:
            if after < self.dropped_revision:
                return await self._send(writer, 410, {"error": "gone"})
            events = [e for e in self.history if e["rev"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()
            mode = self._mode(peer)
            if mode == "silent":
                await asyncio.sleep(3600)
            if mode != "ok":
                writer.transport.abort()
                return False
        return await self._send(writer, 200, {"events": events, "storeRevision": self.revision})

    async def _send(self, writer, status, body):
        raw = json.dumps(body).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(raw)}\r\n\r\n"
        writer.write(head.encode() + raw)
        await writer.drain()
        return True


class Endpoint:
    """One endpoint: flows, slots, and its entry in the store under a lease."""

    def __init__(self, lab, name, service, zone, host, port, *, slots=3, work_s=0.03):
        self.lab, self.name, self.service, self.zone = lab, name, service, zone
        self.host, self.port, self.slots_count, self.work_s = host, port, slots, work_s
        self.identity = int(name.rpartition("-")[2], 16)
        self.state = "ready"
        self.sequence = 0
        self.flows = {}
        # Flows that have ended here, with the sequence numbers of the last acknowledgement.
        self.ended = {}
        self.slots = asyncio.Semaphore(slots)
        self.drain_confirmed_s = None
        self.tasks = set()
        self.alive = False
        self.born = int(time.time() * 1000)
        self.last_beat_s = 0.0
        self._in_store = None

    async def start(self):
        self.socket = UdpSocket(self._receive)
        await self.socket.bind(self.host, self.port)
        self.alive = True
        self._spawn(self._beat())

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def entry(self):
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots_count,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def write_entry(self):
        """Check in; the entry changes when more than its sequence changes."""
        if self.lab.store.mode != "ok":
            return False
        self.sequence += 1
        self.last_beat_s = time.monotonic()
        key = f"servers/{self.name}"
        content = {k: v for k, v in self.entry().items() if k != "sequence"}
        if key not in self.lab.store.items or self._in_store != content:
            self.lab.store.put(key, self.entry())
            self._in_store = content
            self.lab.record.add(f"store confirmed entry of {self.name}: {self.state}")
            if self.state == "draining" and self.drain_confirmed_s is None:
                self.drain_confirmed_s = self.lab.record.now()
        return True

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S if self.lab.store.mode == "ok" else 0.5)

    def drain(self):
        self.state = "draining"
        self.write_entry()

    def stop(self):
        """End the process."""
        if self.alive:
            self.alive = False
            for task in list(self.tasks):
                task.cancel()
            self.socket.close()
            self.flows.clear()

    def leave(self):
        self.stop()
        self.lab.store.delete(f"servers/{self.name}")
        self.lab.record.add(f"{self.name} has left")

    # Flows

    def _receive(self, raw, addr):
        if len(raw) < 8 + HEADER.size:
            return
        wanted = int.from_bytes(raw[:8], "big")
        packet = Packet.decode(raw[8:])
        vm = self.lab.vm_of(addr)
        if wanted not in (0, self.identity):
            self.lab.record.add(f"{self.name} ignores a packet for {wanted:x} from {vm}")
            return
        if not packet.is_authentic:
            self.lab.violation("UNASKED", f"{self.name} got a changed packet from {vm}")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if packet.flags & ACK:
                return
            self.lab.observe_opening(self, key, packet, vm)
            if flow is None or flow["peer_isn"] != packet.seq:
                flow = self.flows[key] = {
                    "isn": random.getrandbits(32),
                    "peer_isn": packet.seq,
                    "next": None,
                    "want": (packet.seq + 1) & MASK,
                    "echo": packet.echo,
                    "open": False,
                    "vm": vm,
                    "out": None,
                    "buffer": b"",
                    "closing": False,
                }
                flow["next"] = (flow["isn"] + 1) & MASK
                self._spawn(self._confirm(key, flow))
            flow["echo"] = packet.echo
            self._send(key, flow, SYN | ACK, flow["isn"])
            return
        if flow is None or not (flow["open"] or packet.ack == (flow["isn"] + 1) & MASK):
            if packet.flags & RST:
                return
            if flow is None and key in self.ended and not packet.data:
                if packet.flags & FIN:
                    self._send(key, self.ended[key], ACK, self.ended[key]["next"])
                return
            self.lab.record.add(
                f"{self.name} resets {self.lab.flow_text(key)}: flow not held (from {vm})"
            )
            self._send_reset(key, packet)
            return
        if not flow["open"]:
            flow["open"] = True
            self.lab.record.add(f"flow {self.lab.flow_text(key)} is open at {self.name}")
        flow["echo"] = packet.echo
        self.lab.observe_packet(self, key, vm)
        if flow["out"] is not None and packet.ack == flow["next"]:
            flow["out"] = None
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data and packet.seq == flow["want"]:
            flow["want"] = (flow["want"] + len(packet.data)) & MASK
            flow["buffer"] += packet.data
            if flow["buffer"].endswith(b"\r\n\r\n"):
                request, flow["buffer"] = flow["buffer"], b""
                self._spawn(self._run(key, flow, request))
            else:
                self._send(key, flow, ACK, flow["next"])
        elif packet.data:
            self._send(key, flow, ACK, flow["next"])
            if flow["out"] is not None:
                self._send(key, flow, *flow["out"])
        if packet.flags & FIN and (packet.seq + len(packet.data)) & MASK == flow["want"]:
            flow["want"] = (flow["want"] + 1) & MASK
            if flow["closing"]:
                self._send(key, flow, ACK, flow["next"])
            else:
                self._send(key, flow, FIN | ACK, flow["next"])
                flow["next"] = (flow["next"] + 1) & MASK
            self.ended[key] = flow
            self.lab.record.add(f"flow {self.lab.flow_text(key)} closed at {self.name}")
            del self.flows[key]

    async def _confirm(self, key, flow):
        """Retransmit SYN+ACK until the flow is open."""
        wait_s = FIRST_RETRANSMIT_S
        for _ in range(3):
            await asyncio.sleep(wait_s)
            wait_s = min(MAX_RETRANSMIT_S, 2 * wait_s)
            if flow["open"] or self.flows.get(key) is not flow:
                return
            self._send(key, flow, SYN | ACK, flow["isn"])
        if not flow["open"] and self.flows.get(key) is flow:
            del self.flows[key]

    async def _run(self, key, flow, request):
        head = request.decode()
        request_id = next(
            (line.split(": ")[1] for line in head.splitlines() if line.startswith("X-Request-Id")),
            "?",
        )
        async with self.slots:
            self.lab.observe_run(self, key, request_id)
            await asyncio.sleep(self.work_s)
        if self.flows.get(key) is not flow:
            return
        body = f"{request_id} by {self.name}".encode()
        answer = (
            f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {self.name}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        # An endpoint that drains closes each flow after its next response.
        flags = FIN | ACK if self.state == "draining" else ACK
        first = flow["next"]
        flow["next"] = (first + len(answer) + (1 if flags & FIN else 0)) & MASK
        flow["closing"] = bool(flags & FIN)
        flow["out"] = (flags, first, answer)
        wait_s = FIRST_RETRANSMIT_S
        for _ in range(1 + MAX_ENDPOINT_RETRANSMITS):
            if flow["out"] is None or self.flows.get(key) is not flow:
                return
            self._send(key, flow, flags, first, answer)
            await asyncio.sleep(wait_s)
            wait_s = min(MAX_RETRANSMIT_S, 2 * wait_s)

    def _send(self, key, flow, flags, seq, data=b""):
        src, sport, dst, dport = key
        packet = Packet(dst, dport, src, sport, flags, seq, flow["want"], data, flow["echo"])
        self.socket.send(packet.encode(), (src, self.lab.packet_port))

    def _send_reset(self, key, packet):
        src, sport, dst, dport = key
        reset = Packet(dst, dport, src, sport, RST, packet.ack, packet.seq, b"", packet.echo)
        self.socket.send(reset.encode(), (src, self.lab.packet_port))


class Router:
    """The platform's routers: readiness checks twice a second, steady hash over ready machines."""

    def __init__(self, lab):
        self.lab = lab
        self.misses = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.watched = []

    async def run(self):
        async with asyncio.TaskGroup() as group:
            for vm in self.lab.vms.values():
                self.misses[vm.name] = 2
                group.create_task(self._check(vm))

    async def _check(self, vm):
        while True:
            began = time.monotonic()
            ok = await self._is_ready(vm)
            before = self.misses[vm.name]
            self.misses[vm.name] = 0 if ok else before + 1
            if (before < 2) != (self.misses[vm.name] < 2):
                self.lab.record.add(
                    f"{vm.name} is {'in' if ok else 'out of'} rotation"
                )
            await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - began)))

    async def _is_ready(self, vm):
        writer = None
        try:
            async with asyncio.timeout(0.45):
                reader, writer = await asyncio.open_connection(vm.host, self.lab.ready_port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return (await reader.readline()).split()[1:2] == [b"200"]
        except (OSError, ValueError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()

    def pick(self, key, zone):
        zoned = [vm for vm in self.lab.vms.values() if vm.zone == zone]
        ready = [vm for vm in zoned if self.misses.get(vm.name, 2) < 2]
        if not ready:
            ready = [vm for vm in self.lab.vms.values() if self.misses.get(vm.name, 2) < 2]
        elif 2 * len(ready) < len(zoned):
            ready = zoned
        text = repr(key).encode()
        return max(
            ready or zoned, key=lambda vm: zlib.crc32(text + vm.name.encode() * 3 + text)
        )

    def send(self, key, zone, packet):
        vm = self.pick(key, zone)
        with contextlib.suppress(OSError):
            self.socket.sendto(packet.encode(), (vm.host, self.lab.packet_port))
        return vm


class FlowFailed(Exception):
    pass


class Requester:
    """One requester: an address from which flows are opened."""

    def __init__(self, lab, host, zone):
        self.lab, self.host, self.zone = lab, host, zone
        self.flows = {}
        self.numbers = iter(range(1, 1_000_000))

    async def start(self):
        self.socket = UdpSocket(self._receive)
        await self.socket.bind(self.host, self.lab.packet_port)

    def _receive(self, raw, addr):
        packet = Packet.decode(raw)
        flow = self.flows.get((packet.dport, packet.src, packet.sport))
        if flow is None:
            return
        sender = self.lab.vm_of(addr)
        if packet.flags & RST and packet.total == 0:
            if flow.is_open and (packet.seq - flow.want + 76_800) & MASK > 2 * 76_800:
                return
            self.lab.observe_vm_reset(flow, sender)
        elif not packet.is_authentic:
            self.lab.violation("MIXED", f"{flow.text} got a changed packet from {sender}")
            return
        flow.inbox.put_nowait(packet)

    async def open(self, port, route):
        """Open a flow; raise FlowFailed if no endpoint answers or a reset arrives."""
        flow = Flow(self, port, route)
        self.flows[(port, *route)] = flow
        self.lab.opening_sent_s[(flow.key, flow.isn)] = self.lab.record.now()
        for number, wait_s in enumerate(OPENING_WAITS_S):
            vm = flow.send(SYN, flow.isn, number, echo=0)
            self.lab.record.add(f"{flow.text} SYN copy {number} via {vm.name}")
            packet = await flow.receive(wait_s)
            if packet is None:
                continue
            if packet.flags & RST:
                flow.forget()
                raise FlowFailed("reset")
            flow.is_open = True
            flow.opened_s = self.lab.record.now()
            flow.want = (packet.seq + 1) & MASK
            flow.endpoint_isn = packet.seq
            flow.echo = packet.echo
            flow.next = (flow.isn + 1) & MASK
            flow.send(ACK, flow.next, flow.want)
            return flow
        flow.forget()
        raise FlowFailed("no answer to the opening")


class Flow:
    def __init__(self, requester, port, route):
        self.requester, self.lab, self.port, self.route = requester, requester.lab, port, route
        self.key = (requester.host, port, *route)
        self.text = self.lab.flow_text(self.key)
        self.isn = random.getrandbits(32)
        self.next = self.isn
        self.want = 0
        self.echo = 0
        self.is_open = False
        self.opened_s = None
        self.endpoint_isn = None
        self.is_closing = False  # the endpoint has sent its FIN
        self.inbox = asyncio.Queue()

    def send(self, flags, seq, ack, data=b"", echo=None):
        packet = Packet(
            self.key[0],
            self.port,
            *self.route,
            flags,
            seq,
            ack,
            data,
            self.echo if echo is None else echo,
        )
        return self.lab.router.send(self.key, self.requester.zone, packet)

    async def receive(self, wait_s):
        until = time.monotonic() + wait_s
        while (left := until - time.monotonic()) > 0:
            try:
                async with asyncio.timeout(left):
                    packet = await self.inbox.get()
            except TimeoutError:
                return None
            if self.is_open and packet.flags & SYN:
                continue  # another endpoint's answer, or a copy
            return packet
        return None

    async def request(self, method="GET", budget_s=5.0):
        """Send one request and return (id, body or error text)."""
        request_id = f"{self.key[0]}-{self.port}-{next(self.requester.numbers)}"
        data = (
            f"{method} /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}\r\n\r\n"
        ).encode()
        self.lab.sent_ids.add(request_id)
        until, wait_s = time.monotonic() + budget_s, FIRST_RETRANSMIT_S
        acked = False
        answer = b""
        while time.monotonic() < until:
            if not acked:
                vm = self.send(ACK, self.next, self.want, data)
                self.lab.record.add(f"{self.text} sends {request_id} via {vm.name}")
            packet = await self.receive(min(wait_s, until - time.monotonic()))
            if packet is None:
                wait_s = min(MAX_RETRANSMIT_S, 2 * wait_s)
                continue
            if packet.flags & RST:
                self.lab.record.add(f"{self.text} reset while {request_id} was open")
                self.forget()
                return request_id, "reset"
            if packet.ack == (self.next + len(data)) & MASK:
                acked = True
            if packet.data and packet.seq == self.want:
                self.echo = packet.echo
                self.want = (self.want + len(packet.data)) & MASK
                answer += packet.data
                self.next = (self.next + len(data)) & MASK
                if packet.flags & FIN:
                    self.want = (self.want + 1) & MASK
                    self.is_closing = True
                self.send(ACK, self.next, self.want)
                body = answer.partition(b"\r\n\r\n")[2].decode()
                self.lab.record.add(f"{self.text} got {body!r}")
                if not body.startswith(request_id + " "):
                    self.lab.violation("MIXED", f"{request_id} was answered {body!r}")
                return request_id, body
        self.lab.record.add(f"{self.text} gave up {request_id}")
        return request_id, "timeout"

    async def close(self):
        """Send FIN and wait for the endpoint's; return whether both were exchanged."""
        wait_s = FIRST_RETRANSMIT_S
        for _ in range(5):
            vm = self.send(FIN | ACK, self.next, self.want)
            self.lab.record.add(f"{self.text} FIN via {vm.name}")
            packet = await self.receive(wait_s)
            wait_s = min(MAX_RETRANSMIT_S, 2 * wait_s)
            if packet is None:
                continue
            if packet.flags & RST:
                break
            if packet.flags & FIN and not self.is_closing:
                self.want = (self.want + 1) & MASK
                self.next = (self.next + 1) & MASK
                self.send(ACK, self.next, self.want)
                self.forget()
                return True
            if self.is_closing and packet.ack == (self.next + 1) & MASK:
                self.forget()
                return True
        self.forget()
        return False

    def forget(self):
        self.requester.flows.pop((self.port, *self.route), None)


class Vm:
    """One machine of the system with its process."""

    def __init__(self, lab, name, zone, host):
        self.lab, self.name, self.zone, self.host = lab, name, zone, host
        self.process = None
        self.troubles = []  # [from, to] in seconds
        self.expected_exit = False

    def write_settings(self):
        lab = self.lab
        lines = {
            "nodeName": self.name,
            "role": "front",
            "machineClass": "front",
            "serves": "front,control",
            "ip": self.host,
            "zone": self.zone,
            "region": "tw-north",
            **{f"zones.{zone}": "tw-north" for zone in lab.zones},
            "listen.datagramAddr": f"{self.host}:{lab.packet_port}",
            "listen.ready": f"{self.host}:{lab.ready_port}",
            "listen.control": f"{self.host}:{lab.control_port}",
            "internalPortRange": f"{lab.internal_port},{lab.internal_port + 15}",
            "seeds": ",".join(f"{vm.host}:{lab.control_port}" for vm in lab.seeds()),
            "bootstrap": "true",
            "limits.cpuShare": "0.731",
            "limits.cores": "1",
            "limits.memoryMb": "222",
            "limits.maxFds": "1535",
            "limits.linkMbps": "350.0",
            "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,recover,flows,platform",
            "bounds.reuseAfterS": "2",
            "bounds.stableWindowMs": "4000",
            "bounds.drainMs": "3000",
            "bounds.graceS": "6",
            "bounds.configMs": "3000",
            "bounds.outerMs": "12000",
            "bounds.flowReorderMs": "2000",
            "bounds.flowMaxS": "60",
            "hash": "steady",
            "forwardingMode": "echo",
            "platform.address": f"{lab.store_host}:{lab.store_port}",
            "platform.forwardingMode": "read",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            "platform.valueBytes": "1048576",
        }
        path = self.lab.folder / f"{self.name}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        return path

    def start(self):
        path = self.write_settings()
        log = (self.lab.folder / f"{self.name}.log").open("ab")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["MULBERRYSWITCH_CONFIG"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = subprocess.Popen(
            self.lab.command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.troubles.append([self.lab.record.now(), self.lab.record.now()])
        self.lab.record.add(f"{self.name} started")

    def signal(self, number):
        self.process.send_signal(number)
        self.lab.record.add(f"{self.name} gets {signal.Signals(number).name}")

    async def freeze(self, for_s):
        """Let the process stand still."""
        now = self.lab.record.now()
        trouble = [now, now + for_s]
        self.troubles.append(trouble)
        self.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(for_s)
        finally:
            self.signal(signal.SIGCONT)
            trouble[1] = self.lab.record.now()

    async def restart(self, number):
        """End the process and start it again after a short delay."""
        now = self.lab.record.now()
        trouble = [now, now + 10]
        self.troubles.append(trouble)
        self.signal(number)
        ended = asyncio.get_running_loop().run_in_executor(None, self.process.wait)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(6.0):
                await asyncio.shield(ended)
        if self.process.poll() is None:
            self.process.kill()
            await ended
        await asyncio.sleep(0.3)
        self.start()
        trouble[1] = self.lab.record.now()

    def status(self):
        """Return the status page."""
        connection = http.client.HTTPConnection(self.host, self.lab.ready_port, timeout=1)
        connection.request("GET", "/status")
        return json.loads(connection.getresponse().read())

    def is_calm(self, since_s, until_s):
        return not any(a <= until_s and b >= since_s for a, b in self.troubles)


class Lab:
    """One run: all stand-ins, the machines and the observations."""

    def __init__(self, folder, *, zones, vms):
        """`vms` maps machine names to zones."""
        self.record = Record(folder)
        # A second octet of its own lets runs stand beside each other.
        self.block = 20 + os.getpid() % 200
        self.zones = zones
        self.packet_port, self.ready_port, self.control_port = 8172, 8167, 8166
        self.internal_port = 7720
        self.store_host, self.store_port = f"127.{self.block}.9.1", 8169
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        self.command = role["run"].split()
        self.vms = {
            name: Vm(self, name, zone, f"127.{self.block}.1.{number}")
            for number, (name, zone) in enumerate(vms.items(), 1)
        }
        self.store = Store(self.record)
        self.router = Router(self)
        self.endpoints = {}
        self.requesters = []
        self.violations = []
        self.opening_sent_s = {}
        self.sent_ids = set()
        self.runs = []
        self.openings = []
        self.vm_resets = []
        self._tasks = []

    def seeds(self):
        return list(self.vms.values())[:3]

    def flow_text(self, key):
        return f"{key[0]}:{key[1]}>{key[2]}:{key[3]}"

    def vm_of(self, addr):
        return next((vm.name for vm in self.vms.values() if vm.host == addr[0]), addr[0])

    def violation(self, rule, text):
        self.violations.append((rule, text))
        self.record.add(f"BROKEN {rule}: {text}")

    # Observations; a case may replace them.

    def observe_opening(self, endpoint, key, packet, vm):
        sent_s = self.opening_sent_s.get((key, packet.seq))
        self.openings.append((self.record.now(), sent_s, endpoint, key, vm))
        self.record.add(
            f"{endpoint.name} ({endpoint.state}) gets SYN of {self.flow_text(key)} from {vm}"
        )

    def observe_packet(self, endpoint, key, vm):
        pass

    def observe_run(self, endpoint, key, request_id):
        self.runs.append((self.record.now(), endpoint, key, request_id))
        self.record.add(f"{endpoint.name} ({endpoint.service}) runs {request_id}")
        if request_id not in self.sent_ids:
            self.violation("UNASKED", f"{endpoint.name} runs {request_id}")

    def observe_vm_reset(self, flow, vm):
        self.vm_resets.append((self.record.now(), flow, vm, flow.is_open))
        self.record.add(f"{flow.text} ({'open' if flow.is_open else 'not open'}) reset by {vm}")

    # Parts

    async def start(self):
        await self.store.start(self.store_host, self.store_port)
        self._tasks.append(asyncio.create_task(self._expire()))
        for vm in self.vms.values():
            vm.start()
        self._tasks.append(asyncio.create_task(self.router.run()))

    async def _expire(self):
        """Let entries lapse after three check-in intervals of silence."""
        while True:
            await asyncio.sleep(0.1)
            for endpoint in list(self.endpoints.values()):
                key = f"servers/{endpoint.name}"
                if key in self.store.items and time.monotonic() - endpoint.last_beat_s > LEASE_S:
                    self.store.delete(key)
                    endpoint._in_store = None
                    self.record.add(f"entry of {endpoint.name} lapsed")

    def write_config(self, version, routes, services):
        """Write the manifest; `routes` are (name, host, port, type, service)."""
        document = {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "host": host,
                    "prefix": f"/{port}/",
                    "type": kind,
                    "timeoutMs": 5000,
                    "sloMs": 300,
                    "priority": 1,
                    "service": service,
                    "maxAttempts": 2,
                }
                for name, host, port, kind, service in routes
            ],
            "services": [
                {"name": name, "healthPath": "/health", "maxConns": 4250, "protocol": "h1"}
                for name in services
            ],
            "limits": {"idleTimeoutMs": IDLE_TIMEOUT_MS},
        }
        self.store.put("op/config", document)
        self.record.add(f"store confirmed manifest {version}")
        return self.record.now()

    async def add_endpoint(self, name, service, zone, number, **options):
        endpoint = Endpoint(
            self, name, service, zone, f"127.{self.block}.2.{number}", 8080, **options
        )
        self.endpoints[name] = endpoint
        await endpoint.start()
        return endpoint

    async def add_requester(self, number, zone):
        requester = Requester(self, f"127.{self.block}.3.{number}", zone)
        await requester.start()
        self.requesters.append(requester)
        return requester

    async def wait_ready(self, for_s=20.0):
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            if all(self.router.misses.get(name, 2) == 0 for name in self.vms):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the machines did not become ready")

    def stop(self):
        for vm in self.vms.values():
            if vm.process is not None and vm.process.poll() is None:
                with contextlib.suppress(OSError):
                    vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
        for vm in self.vms.values():
            if vm.process is not None:
                vm.process.wait()
                if os.environ.get("KEEP_LOGS"):
                    (Path(os.environ["KEEP_LOGS"]) / f"{vm.name}.log").write_bytes(
                        (self.folder / f"{vm.name}.log").read_bytes()
                    )
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()


ZONES = ("tw-north-a", "tw-north-b", "tw-north-c")


def build_small_lab(folder):
    """Return a deployment of ten machines in three zones, four of them in the first."""
    counts = {"tw-north-a": 4, "tw-north-b": 3, "tw-north-c": 3}
    vms = {f"front-{z}-{n}": z for z, count in counts.items() for n in range(1, count + 1)}
    return Lab(folder, zones=ZONES, vms=vms)


async def add_small_service(lab, service, **options):
    """Start eight endpoints, three of them in the first zone; return them."""
    zones = [ZONES[0]] * 3 + [ZONES[1]] * 3 + [ZONES[2]] * 2
    return [
        await lab.add_endpoint(f"i-7f3a91c{n}", service, zone, n, **options)
        for n, zone in enumerate(zones, 1)
    ]


async def open_flows(requester, route, ports):
    """Open a flow from each port, one after the other; return those that opened."""
    flows = []
    for port in ports:
        try:
            flows.append(await requester.open(port, route))
        except FlowFailed as exc:
            requester.lab.record.add(f"port {port}: opening failed: {exc}")
    return flows


def run_case(folder, play, *, limit_s=110):
    """Play a case; exit with 1 if a rule was broken, 0 if all held, 2 if it could not run."""

    async def main():
        lab = None
        try:
            async with asyncio.timeout(limit_s):
                lab = build_small_lab(folder)
                try:
                    await play(lab)
                finally:
                    lab.stop()
        except Exception as exc:  # noqa: BLE001 - reported by the exit code
            import traceback

            traceback.print_exc()
            print(f"the case could not run: {exc!r}")
            return 2
        for rule, text in lab.violations:
            print(f"broken: {rule}: {text}")
        lab.record.add(f"end: {len(lab.violations)} violations")
        return 1 if lab.violations else 0

    code = asyncio.run(main())
    sys.stdout.flush()
    os._exit(code)
