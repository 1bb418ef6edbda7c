"""Tests of the peer streams on loopback sockets; all waits are for events, none for a duration."""

import asyncio
import socket
import unittest

from mulberryswitch.contracts import Done, Hello
from mulberryswitch.links import (
    PeerLinks,
    PeerLost,
    PeerMessages,
    PeerMessagesUnsent,
    PeerUp,
    sign_hello,
)

KEY = b"k" * 16
NOW_S = 1_000_000.0
MESSAGE = Done(flow=b"f", request_id=1, attempt=1, code=0)


def find_unused_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class PeerLinksTest(unittest.IsolatedAsyncioTestCase):
    """Guards against confusing messages that were never sent with ones that may have arrived."""

    def build(self, vm: str, listen: str, *, key: bytes = KEY, fleet: str = "fleet") -> PeerLinks:
        self.events = getattr(self, "events", {})
        self.events[vm] = asyncio.Queue()
        hello = {"fleet": fleet, "vm": vm, "zone": "a", "incarnation": 1, "now_s": NOW_S}
        return PeerLinks(
            listen=listen,
            fleet="fleet",
            key=KEY,
            build_hello=lambda: sign_hello(key=key, **hello),
            clock=lambda: NOW_S,
            report=self.events[vm].put_nowait,
            count=lambda name, amount: None,
        )

    async def start_pair(self, **options) -> tuple[PeerLinks, PeerLinks, str]:
        address = find_unused_address()
        receiver = self.build("vm2", address)
        await receiver.start()
        sender = self.build("vm1", find_unused_address(), **options)
        self.addAsyncCleanup(sender.stop)
        self.addAsyncCleanup(receiver.stop)
        return sender, receiver, address

    async def test_message_arrives_after_hello(self):
        sender, _, address = await self.start_pair()
        sender.send("vm2", address, MESSAGE)
        up = await self.events["vm2"].get()
        self.assertEqual(up, PeerUp(vm="vm1", zone="a", incarnation=1))
        event = await self.events["vm2"].get()
        self.assertEqual(event, PeerMessages(vm="vm1", messages=(MESSAGE,)))

    async def test_refused_connection_returns_the_message_as_unsent(self):
        links = self.build("vm1", find_unused_address())
        links.send("vm2", find_unused_address(), MESSAGE)
        unsent = await self.events["vm1"].get()
        lost = await self.events["vm1"].get()
        self.assertEqual(unsent, PeerMessagesUnsent(vm="vm2", messages=(MESSAGE,)))
        self.assertIsInstance(lost, PeerLost)
        self.assertEqual((lost.was_open, lost.was_refused), (False, True))

    async def test_close_before_the_task_starts_returns_the_message(self):
        """A link that was closed right after it was opened kept its queue and lost messages."""
        links = self.build("vm1", find_unused_address())
        address = find_unused_address()
        for _ in range(2):
            links.send("vm2", address, MESSAGE)
            links.close("vm2")
            unsent = await self.events["vm1"].get()
            self.assertEqual(unsent, PeerMessagesUnsent(vm="vm2", messages=(MESSAGE,)))
            await self.events["vm1"].get()

    async def test_peer_with_another_key_or_fleet_is_refused(self):
        for options in ({"key": b"x" * 16}, {"fleet": "other"}):
            with self.subTest(options):
                sender, receiver, address = await self.start_pair(**options)
                refused = asyncio.get_running_loop().create_future()
                receiver.count = lambda name, amount, done=refused: done.set_result(name)
                sender.send("vm2", address, MESSAGE)
                self.assertEqual(await refused, "peer_streams_refused")
                self.assertTrue(self.events["vm2"].empty())

    async def test_malformed_bytes_close_the_stream(self):
        _, receiver, address = await self.start_pair()
        refused = asyncio.get_running_loop().create_future()
        receiver.count = lambda name, amount: refused.set_result(name)
        reader, writer = await asyncio.open_connection(*address.split(":"))
        writer.write(b"\xc1 this is not msgpack")
        self.assertEqual(await reader.read(), b"")
        self.assertEqual(await refused, "peer_streams_refused")
        writer.close()

    def test_hello_is_signed(self):
        hello = sign_hello(key=KEY, fleet="fleet", vm="vm1", zone="a", incarnation=1, now_s=NOW_S)
        self.assertIsInstance(hello, Hello)
        self.assertEqual(len(hello.mac), 32)
