"""Tests of the simulated platform over HTTP."""

import asyncio
import unittest
from unittest import mock

from aiohttp.test_utils import TestClient, TestServer

from standins import platform
from standins.platform import Fault, Platform, build_app


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    """Long polls, faults and the rate limit must work, as the tests of readers rely on them."""

    async def asyncSetUp(self):
        self.platform = Platform(list_lag_s=2.0)
        self.client = TestClient(TestServer(build_app(self.platform, clock=lambda: 100.0)))
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def get(self, after: int, wait: float = 0) -> tuple[int, str | None, bytes]:
        response = await self.client.get(f"/v1/config?after={after}&wait={wait}")
        return response.status, response.headers.get("X-Version"), await response.read()

    async def test_status_codes(self):
        self.assertEqual((await self.get(0))[0], 404)
        self.platform.publish_document(b"one")
        self.assertEqual(await self.get(0), (200, "1", b"one"))
        self.assertEqual((await self.get(1))[0], 304)
        self.assertEqual((await self.get(1, 0.01))[0], 304)

    async def test_long_poll_gets_a_new_version(self):
        self.platform.publish_document(b"one")
        waiting = asyncio.Event()
        original = self.platform.wait_version

        async def wait_version(after: int, wait_s: float) -> int:
            waiting.set()
            return await original(after, wait_s)

        with mock.patch.object(self.platform, "wait_version", wait_version):
            poll = asyncio.create_task(self.get(1, 30))
            await waiting.wait()
            self.platform.publish_document(b"two")
            self.assertEqual(await poll, (200, "2", b"two"))

    async def test_faults(self):
        self.platform.publish_document(b"one")
        self.platform.publish_document(b"two")
        self.platform.set_fault(Fault.STALE)
        self.platform.publish_document(b"three")
        self.assertEqual((await self.get(2))[0], 304)
        self.platform.set_fault(Fault.REPLAY_OLD)
        self.assertEqual(await self.get(3), (200, "2", b"two"))
        self.platform.set_fault(Fault.DOWN)
        self.assertEqual((await self.get(0))[0], 503)
        self.platform.set_fault(Fault.OK)
        self.assertEqual(await self.get(2), (200, "3", b"three"))

    async def test_reads_above_the_rate_limit_are_refused(self):
        self.platform.publish_document(b"one")
        with mock.patch.object(platform, "MAX_READS_PER_S", 2):
            statuses = [(await self.get(0))[0] for _ in range(3)]
        self.assertEqual(statuses, [200, 200, 503])
        self.assertEqual((self.platform.reads, self.platform.refused_reads), (3, 1))

    def test_vm_list_is_delayed(self):
        self.platform.publish_vm_list([{"vm": "vm-1"}], 10.0)
        self.assertEqual(self.platform.read_vm_list(11.9), [])
        self.assertEqual(self.platform.read_vm_list(12.0), [{"vm": "vm-1"}])
