"""VMs, callers and targets on loopback addresses for tests."""

import asyncio
import contextlib
import socket
import struct
import unittest
from collections.abc import Callable
from random import Random

from mulberryswitch.front import Address, Front, FrontSettings
from mulberryswitch.platform import ADAPTER
from standins.store import FakeStore, StoreFault

HEADER = struct.Struct("!IIHIHIHBII")
SYN, ACK, RST = 64, 8, 4
ROUTE_HOST = "198.18.0.1"
CALLER_HOST = "127.0.0.2"
TIMEOUT_S = 8.0


def find_free_ports(count: int) -> list[int]:
    """Return different ports that are free for TCP and UDP.

    All sockets stay open until every port is found; a port that was released could be found again.
    """
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            tcp = stack.enter_context(socket.socket())
            udp = stack.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            with contextlib.suppress(OSError):
                udp.bind(("127.0.0.1", port))
                ports.append(port)
    return ports


def build_settings(store_port: int, *, vm_number: int = 1, **changes) -> FrontSettings:
    packet_port, ready_port, peer_port, metrics_port = find_free_ports(4)
    fields = {
        "vm": f"front-{vm_number}",
        "zone": "za",
        "packet_address": Address("127.0.0.1", packet_port),
        "ready_address": Address("127.0.0.1", ready_port),
        "peer_address": Address("127.0.0.1", peer_port),
        "metrics_address": Address("127.0.0.1", metrics_port),
        "seeds": (),
        "store_address": Address("127.0.0.1", store_port),
        "shutdown_s": 2.0,
    }
    return FrontSettings(**(fields | changes))


def build_config(version: int = 1, routes: dict[int, str] | None = None) -> dict:
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{port}",
                "host": ROUTE_HOST,
                "prefix": f"/{port}/",
                "type": "safe",
                "service": service,
            }
            for port, service in (routes or {443: "feeds"}).items()
        ],
        "limits": {"idleTimeoutMs": 15000},
    }


def build_target_entry(port: int, **changes) -> dict:
    entry = {
        "service": "feeds",
        "address": f"127.0.0.1:{port}",
        "zone": "za",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    return entry | changes


def encode_syn(caller_port: int = 1000, port: int = 443) -> bytes:
    return encode_packet(caller_port=caller_port, port=port, flags=SYN)


def encode_packet(
    *,
    caller_port: int = 1000,
    port: int = 443,
    flags: int = ACK,
    token: int = 0,
    seq: int = 7,
    ack: int = 0,
    payload: bytes = b"",
) -> bytes:
    route, caller = (struct.unpack("!I", socket.inet_aton(h))[0] for h in (ROUTE_HOST, CALLER_HOST))
    size = len(payload)
    header = HEADER.pack(token, 1, port, route, caller_port, caller, size, flags, seq, ack)
    return header + payload


class DatagramRecorder(asyncio.DatagramProtocol):
    """Stand-in of a target or caller that records the datagrams it receives."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.port = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> "DatagramRecorder":
        """Bind the socket and return this object."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self.port = self._transport.get_extra_info("sockname")[1]
        return self

    def datagram_received(self, data: bytes, addr) -> None:
        """Record a datagram."""
        self.received.append(data)

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram from the bound address."""
        self._transport.sendto(data, address)

    def stop(self) -> None:
        """Close the socket."""
        self._transport.close()


class RunningFront:
    """Context manager that runs a VM in the test's event loop."""

    def __init__(self, settings: FrontSettings, *, seed: int = 1):
        self.front = Front(settings=settings, adapter=ADAPTER, rng=Random(seed))
        self._stop = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> Front:
        self._task = asyncio.create_task(self.front.run(self._stop))
        return self.front

    async def __aexit__(self, *exc) -> None:
        self._stop.set()
        await asyncio.wait_for(self._task, TIMEOUT_S)

    @property
    def is_stopped(self) -> bool:
        """Whether the VM has ended."""
        return self._task.done()

    def request_stop(self) -> None:
        """Start the shutdown, as SIGTERM does."""
        self._stop.set()


async def wait_until(condition: Callable[[], bool], *, timeout_s: float = TIMEOUT_S) -> None:
    """Wait until `condition` holds; raise ``TimeoutError`` after `timeout_s` seconds."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110 - no event covers the state of a whole VM
            await asyncio.sleep(0.01)


async def start_store(*target_ports: int, **options) -> FakeStore:
    """Return a running store with a configuration and targets of the service ``feeds``."""
    store = FakeStore(**options)
    store.put("op/config", build_config())
    for target_number, port in enumerate(target_ports, start=1):
        store.put(f"servers/i-{target_number:x}", build_target_entry(port))
    await store.start()
    return store


class FrontTestCase(unittest.IsolatedAsyncioTestCase):
    """Fixture with a store, two targets, a caller and the settings of a VM."""

    page_items = 500

    async def asyncSetUp(self):
        self.targets = [await DatagramRecorder().start() for _ in range(2)]
        ports = [target.port for target in self.targets]
        self.store = await start_store(*ports, page_items=self.page_items)
        self.settings = build_settings(self.store.port)
        self.caller = await DatagramRecorder().start(CALLER_HOST, self.settings.packet_address.port)

    async def asyncTearDown(self):
        self.store.fault = StoreFault.NONE
        for recorder in (*self.targets, self.caller):
            recorder.stop()
        await self.store.stop()

    @property
    def received(self) -> list[bytes]:
        return [data for target in self.targets for data in target.received]

    def send(self, data: bytes) -> None:
        self.caller.send(data, self.settings.packet_address)
