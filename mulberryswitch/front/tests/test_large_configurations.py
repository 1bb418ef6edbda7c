"""Tests of configurations of thousands of routes: between VMs, and from the store."""

import asyncio
import contextlib
import unittest
from dataclasses import replace
from random import Random

from mulberryswitch.directory import Source
from mulberryswitch.front import Front
from mulberryswitch.front._pacing import BURST_BYTES, LINK_SHARE, TransferPacer
from mulberryswitch.front.tests.builders import (
    RunningFront,
    build_config,
    build_settings,
    wait_until,
)
from mulberryswitch.platform import ADAPTER
from mulberryswitch.transport import parse_host_port
from standins.store import FakeStore, StoreFault

ROUTES = 5_000


def build_large_config(version: int, *, routes: int = ROUTES) -> dict:
    return build_config(version, dict.fromkeys(range(1, routes + 1), "feeds"))


class PacerTest(unittest.TestCase):
    """A fleet that pulls at once must not fill the link that callers' packets use."""

    def test_rate_stays_below_the_share_of_the_link(self):
        link = 625_000
        pacer = TransferPacer(link_bytes_per_s=link)
        now_s, sent = 0.0, 0
        while now_s < 10.0:
            now_s += pacer.reserve(10_000, now_s)
            sent += 10_000
        self.assertLessEqual(sent, LINK_SHARE * link * now_s + BURST_BYTES + 10_000)
        self.assertGreater(sent, 0.9 * LINK_SHARE * link * now_s)

    def test_small_transfers_do_not_wait(self):
        pacer = TransferPacer(link_bytes_per_s=625_000)
        self.assertEqual(pacer.reserve(BURST_BYTES, 5.0), 0.0)

    def test_unknown_link_is_not_paced(self):
        pacer = TransferPacer(link_bytes_per_s=float("inf"))
        self.assertEqual([pacer.reserve(10**9, 1.0) for _ in range(3)], [0.0] * 3)


class LargeConfigTestCase(unittest.IsolatedAsyncioTestCase):
    """Fixture with a store and a VM that reads it."""

    async def asyncSetUp(self):
        self.store = FakeStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.store.put("op/config", build_large_config(1))


class StoreTest(LargeConfigTestCase):
    """Versions that pile up while a reader waits must not exceed its answer for ever."""

    async def test_newest_version_is_read_when_the_changes_are_too_large(self):
        async with RunningFront(build_settings(self.store.port)) as front:
            await wait_until(lambda: front.directory.version == 1)
            self.store.watch_fault = StoreFault.BUSY
            await wait_until(lambda: front.reader.planner.failures)
            for version in range(2, 12):
                self.store.put("op/config", build_large_config(version))
            self.store.watch_fault = StoreFault.NONE
            await wait_until(lambda: front.directory.version == 11)
            self.assertEqual(front.metrics.counts["store_answers_too_large"], 1)


class ExchangeTest(LargeConfigTestCase):
    """A VM that is behind must get the newest version, and only what it lacks of it."""

    async def start_pair(self, stack: contextlib.AsyncExitStack) -> tuple[Front, Front]:
        """Return a VM that follows the store, and one that only pulls from the first."""
        settings = build_settings(self.store.port)
        ahead = await stack.enter_async_context(RunningFront(settings))
        await wait_until(lambda: ahead.directory.version == 1)
        behind = Front(
            settings=build_settings(self.store.port, vm_number=2), adapter=ADAPTER, rng=Random(1)
        )
        return ahead, behind

    def build_source(self, ahead: Front) -> Source:
        address = ahead.settings.peer_address
        now_s = ahead.clock()
        return Source(
            vm="front-1",
            zone="za",
            address="{}:{}".format(*address),
            position=ahead.directory.position,
            heard_s=now_s,
            confirmed_s=now_s,
            is_reader=True,
            version=ahead.directory.version,
        )

    async def pull(self, behind: Front, source: Source) -> None:
        behind.peers.feed.observe_announce(source)
        await behind.peers.directory_sync.pull(members=(), now_s=behind.clock())

    async def test_only_the_difference_to_the_newest_version_is_sent(self):
        async with contextlib.AsyncExitStack() as stack:
            ahead, behind = await self.start_pair(stack)
            await self.pull(behind, self.build_source(ahead))
            self.assertEqual(behind.directory.version, 1)
            whole_bytes = ahead.metrics.counts["pull_bytes"]
            for version in range(2, 9):
                self.store.put("op/config", build_large_config(version, routes=ROUTES + version))
                await wait_until(lambda version=version: ahead.directory.version == version)
            await self.pull(behind, self.build_source(ahead))
            self.assertEqual(behind.directory.version, 8)
            self.assertEqual(len(behind.directory.routes), ROUTES + 8)
            sent_bytes = ahead.metrics.counts["pull_bytes"] - whole_bytes
            self.assertLess(sent_bytes, whole_bytes / 5)

    async def test_pull_that_breaks_off_goes_on_where_it_stopped(self):
        async with contextlib.AsyncExitStack() as stack:
            ahead, behind = await self.start_pair(stack)
            relay = await stack.enter_async_context(BreakingRelay(ahead, limit_bytes=14_000))
            source = self.build_source(ahead)
            address = "{}:{}".format(*relay.address)
            for _ in range(20):
                behind.peers.feed._failed_pulls_s.clear()
                await self.pull(behind, replace(source, address=address))
                if behind.directory.version:
                    break
            self.assertEqual(behind.directory.version, 1)
            self.assertGreater(behind.metrics.counts["pulls_failed"], 1)
            self.assertIn("chunks_fetched", behind.metrics.counts)

    async def test_failed_pull_is_reported_with_its_cause(self):
        async with contextlib.AsyncExitStack() as stack:
            ahead, behind = await self.start_pair(stack)
            relay = await stack.enter_async_context(BreakingRelay(ahead, limit_bytes=0))
            address = "{}:{}".format(*relay.address)
            source = replace(self.build_source(ahead), address=address)
            with self.assertLogs("peers", "WARNING") as logs:
                await self.pull(behind, source)
            self.assertIn("directory pull failed", logs.output[0])
            self.assertIn("closed", behind.peers.directory_sync.failure)
            now_s = behind.clock() + 10.0
            self.assertGreater(behind.peers.feed.get_failing_s(now_s), 9.0)


class BreakingRelay:
    """Passes connections on to a VM's pull server and breaks each after some bytes of answers."""

    def __init__(self, front: Front, *, limit_bytes: int):
        self.front = front
        self.limit_bytes = limit_bytes
        self.address = ("127.0.0.1", 0)
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> "BreakingRelay":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        upstream = "{}:{}".format(*self.front.settings.peer_address)
        peer_reader, peer_writer = await asyncio.open_connection(*parse_host_port(upstream))
        self._writers += [writer, peer_writer]
        requests = asyncio.create_task(_copy(reader, peer_writer))
        remaining = self.limit_bytes
        while remaining > 0 and (data := await peer_reader.read(4_096)):
            writer.write(data[:remaining])
            remaining -= len(data)
        requests.cancel()
        writer.close()
        peer_writer.close()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(4_096):
        writer.write(data)


if __name__ == "__main__":
    unittest.main()
