"""Tests of a whole VM against stand-ins on loopback addresses."""

import asyncio
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from random import Random
from unittest.mock import patch

from mulberryswitch.contracts import MemberState, TargetSilent
from mulberryswitch.front import Front
from mulberryswitch.front._node import _watch_settings
from mulberryswitch.front.tests.builders import (
    CALLER_HOST,
    RST,
    RunningFront,
    Sink,
    build_bytes,
    build_config,
    build_entry,
    build_opening,
    build_settings,
    start_store,
    wait_until,
)
from mulberryswitch.platform import ADAPTER
from mulberryswitch.platform.tests.test_settings import TEXT
from mulberryswitch.transport import HttpClient
from mulberryswitch.vms import Member, rank_readers
from standins.store import StoreFault


class FrontTestCase(unittest.IsolatedAsyncioTestCase):
    """A store, two targets and the settings of a VM."""

    page_items = 500

    async def asyncSetUp(self):
        self.targets = [await Sink().start() for _ in range(2)]
        ports = [target.port for target in self.targets]
        self.store = await start_store(*ports, page_items=self.page_items)
        self.settings = build_settings(self.store.port)
        self.caller = await Sink().start(CALLER_HOST, self.settings.packet_address.port)

    async def asyncTearDown(self):
        self.store.fault = StoreFault.NONE
        for sink in (*self.targets, self.caller):
            sink.stop()
        await self.store.stop()

    @property
    def received(self) -> list[bytes]:
        return [data for target in self.targets for data in target.received]

    def send(self, data: bytes) -> None:
        self.caller.send(data, self.settings.packet_address)


class ServingTest(FrontTestCase):
    """Guards the path of a packet and the pages of a VM."""

    async def test_an_opening_reaches_a_target_with_its_identity_and_token(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            self.send(build_opening())
            await wait_until(lambda: self.received)
            data = self.received[0]
            self.assertIn(int.from_bytes(data[:8], "big"), (1, 2))
            token = int.from_bytes(data[8:12], "big")
            self.assertTrue(token)
            self.assertEqual(data[12:], build_opening()[4:])
            self.send(build_bytes(token=token))
            await wait_until(lambda: any(d[8:] == build_bytes(token=token) for d in self.received))

    async def test_an_unknown_route_is_reset(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            self.send(build_opening(port=999))
            await wait_until(lambda: self.caller.received)
            self.assertEqual(self.caller.received[0][22], RST)

    async def test_bytes_that_are_no_packet_are_counted(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            self.send(b"nonsense")
            await wait_until(lambda: front.metrics.counts["packets_malformed"])

    async def test_pages(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            client = HttpClient(host="127.0.0.1", port=self.settings.ready_address.port)
            answers = {
                path: await client.get(path=path, timeout_s=2.0)
                for path in ("/-/ready", "/metrics", "/status", "/other")
            }
            client.close()
            self.assertEqual([answer.status for answer in answers.values()], [200, 200, 200, 404])
            self.assertIn(b"mulberryswitch_state", answers["/metrics"].body)

    async def test_answer_times_reach_the_histogram(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            self.send(build_opening())
            await wait_until(lambda: self.received)
            token = int.from_bytes(self.received[0][8:12], "big")
            for changes in ({}, {"payload": b"x" * 9}, {"seq": 16, "ack": 600}):
                self.send(build_bytes(token=token, **changes))
            await wait_until(lambda: front.metrics.counts["packets"] == 4)
            body, _ = front.metrics.render({})
            self.assertIn(b'mulberryswitch_answer_seconds_count{service="feeds"} 1', body)


class ChangeTest(FrontTestCase):
    """Guards news of the store, and what comes of its troubles."""

    page_items = 1

    async def test_changes_come_into_force(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: len(front.directory.targets) == 2)
            self.store.put("op/config", build_config(9, {443: "feeds", 80: "feeds"}))
            self.store.put("servers/i-2", build_entry(self.targets[1].port, state="draining"))
            await wait_until(lambda: front.directory.version == 9, timeout_s=3.0)
            await wait_until(
                lambda: [t.key for t in front.directory.list_serving("feeds", 0.0)]
                == ["servers/i-1"],
                timeout_s=3.0,
            )

    async def test_versions_in_quick_succession_never_go_back(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: len(front.directory.targets) == 2)
            seen = []
            for version in range(10, 30):
                self.store.put("op/config", build_config(version))
                await asyncio.sleep(0.01)
                seen.append(front.directory.version)
            await wait_until(lambda: front.directory.version == 29, timeout_s=3.0)
            self.assertEqual(seen, sorted(seen))

    async def test_lost_history_is_made_up_for_by_a_whole_read(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: len(front.directory.targets) == 2)
            self.store.fault = StoreFault.BUSY
            await asyncio.sleep(0.1)
            self.store.delete("servers/i-2")
            self.store.put("op/config", build_config(9))
            self.store.drop_history()
            self.store.fault = StoreFault.NONE
            await wait_until(lambda: front.directory.version == 9)
            self.assertEqual(list(front.directory.targets), ["servers/i-1"])

    async def test_an_old_first_read_is_caught_up_by_the_watch(self):
        self.store.freeze_stale_reads()
        self.store.put("op/config", build_config(9))
        self.store.delete("servers/i-1")
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.directory.version == 9, timeout_s=3.0)
            self.assertEqual(list(front.directory.targets), ["servers/i-2"])

    async def test_a_silent_store_is_noticed_and_its_return_too(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            self.store.fault = StoreFault.SILENT
            self.store.put("op/config", build_config(9))
            await wait_until(lambda: front.reader.planner.failures > 0)
            self.assertTrue(front.is_ready)
            self.store.fault = StoreFault.NONE
            await wait_until(lambda: front.directory.version == 9)


class StartTest(FrontTestCase):
    """Guards a VM that starts while the store is away."""

    async def test_it_is_not_ready_and_holds_openings_until_the_store_answers(self):
        for trouble in (StoreFault.BUSY, StoreFault.RESET):
            with self.subTest(trouble):
                self.store.fault = trouble
                settings = replace(self.settings)
                async with RunningFront(settings) as front:
                    await asyncio.sleep(0.3)
                    self.assertFalse(front.is_ready)
                    self.send(build_opening())
                    await asyncio.sleep(0.1)
                    self.store.fault = StoreFault.NONE
                    await wait_until(lambda: self.received, timeout_s=1.2)
                for target in self.targets:
                    target.received.clear()

    async def test_it_learns_from_a_peer(self):
        async with RunningFront(self.settings) as first:
            await wait_until(lambda: first.is_ready)
            self.store.fault = StoreFault.BUSY
            settings = build_settings(
                self.store.port, number=2, seeds=(self.settings.peer_address,)
            )
            async with RunningFront(settings) as second:
                await wait_until(lambda: second.is_ready, timeout_s=3.0)
                self.assertEqual(second.directory.revision, first.directory.revision)


class PeerTest(FrontTestCase):
    """Guards VMs that learn from others."""

    async def test_a_vm_that_the_store_refuses_hears_of_changes(self):
        """The store may refuse one VM and serve the others."""
        refused = await start_store(9)
        refused.fault = StoreFault.BUSY
        try:
            async with RunningFront(self.settings) as first:
                settings = build_settings(
                    self.store.port, number=2, seeds=(self.settings.peer_address,)
                )
                async with RunningFront(settings) as second:
                    await wait_until(lambda: first.is_ready and second.is_ready)
                    second.reader.store._http.port = refused.port
                    second.reader.store.close()
                    await wait_until(lambda: len(second.peers.membership.live()) == 2)
                    self.store.put("op/config", build_config(9))
                    await wait_until(lambda: second.directory.version == 9, timeout_s=3.0)
        finally:
            await refused.stop()

    async def test_vms_hear_of_each_others_flows_and_of_signs_of_life(self):
        """A VM must not reset a flow for a target that answers others, nor place blindly."""
        async with RunningFront(self.settings) as first:
            settings = build_settings(
                self.store.port, number=2, seeds=(self.settings.peer_address,)
            )
            async with RunningFront(settings) as second:
                await wait_until(lambda: first.is_ready and second.is_ready)
                await wait_until(lambda: len(second.peers.membership.live()) == 2)
                self.send(build_opening())
                await wait_until(lambda: self.received)
                token = int.from_bytes(self.received[0][8:12], "big")
                self.send(build_bytes(token=token))
                loads = second.forwarder.loads
                await wait_until(lambda: loads.list_peer_loads(token, second.clock()))
                self.assertEqual(loads.list_peer_loads(token, second.clock())[0].long_flows, 1)
                self.assertGreater(loads.find(token).health.last_answer_s, 0.0)
                self.assertTrue(loads.has_peers)

    async def test_a_stranger_learns_nothing(self):
        async with RunningFront(self.settings) as first:
            await wait_until(lambda: first.is_ready)
            other = await start_store(9)
            other.fault = StoreFault.BUSY
            settings = build_settings(other.port, number=2, seeds=(self.settings.peer_address,))
            async with RunningFront(settings) as second:
                await asyncio.sleep(1.0)
                self.assertFalse(second.directory.is_loaded)
            await other.stop()


class RelayTest(unittest.TestCase):
    """Guards targets against one lost opening that passes for several."""

    def relay(self, rank: int) -> tuple[list[str], list[str]]:
        """Return whom a VM of this rank tells of a silent target elsewhere, and all but readers."""
        members = tuple(
            Member(
                vm=f"front-{number}",
                zone="za",
                address=f"127.0.0.1:{number}",
                incarnation=1,
                state=MemberState.ALIVE,
            )
            for number in range(4)
        )
        ranked = rank_readers(zone="za", members=members)
        settings = replace(build_settings(9), vm=ranked[rank].vm)
        peers = Front(settings=settings, adapter=ADAPTER, rng=Random(1)).peers
        told = []
        with (
            patch.object(peers.membership, "live", lambda: members),
            patch.object(peers, "_send", lambda address, message: told.append(address)),
        ):
            silent = TargetSilent(
                fleet=peers.fleet, vm="other", zone="zb", token=1, ejection_ms=500, is_dark=False
            )
            peers._observe_silent(silent, 1.0)
        return sorted(told), sorted(member.address for member in ranked[2:])

    def test_each_vm_of_another_zone_hears_of_a_proof_once(self):
        told, others = self.relay(0)
        self.assertEqual(told, others)
        for rank in (1, 2, 3):
            self.assertEqual(self.relay(rank)[0], [])


class StopTest(FrontTestCase):
    """Guards flows through a VM that is asked to stop."""

    async def test_it_forwards_while_it_stops(self):
        running = RunningFront(self.settings)
        async with running as front:
            await wait_until(lambda: front.is_ready)
            running.ask_to_stop()
            await wait_until(lambda: not front.is_ready)
            self.send(build_opening())
            await wait_until(lambda: self.received)


class ReloadTest(FrontTestCase):
    """Guards settings that change while a VM runs."""

    async def test_the_file_is_applied_with_and_without_a_signal(self):
        text = TEXT.replace("10.1.0.10", "127.0.0.1")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "node.conf")
            write = path.write_text
            write(text)
            async with RunningFront(self.settings) as front:
                signal = asyncio.Event()
                watcher = asyncio.create_task(_watch_settings(front, path, signal))
                await asyncio.sleep(0.05)
                write(text.replace("graceS=6", "graceS=9"))
                signal.set()
                await wait_until(lambda: front.settings.shutdown_s == 9.0, timeout_s=1.0)
                write("nonsense")
                signal.set()
                await asyncio.sleep(0.1)
                self.assertEqual(front.settings.shutdown_s, 9.0)
                write(text.replace("graceS=6", "graceS=2"))
                await wait_until(lambda: front.settings.shutdown_s == 2.0)
                watcher.cancel()

    async def test_a_new_store_address(self):
        other = await start_store(9)
        for _ in range(9):
            other.put("servers/i-9", build_entry(9))
        other.put("op/config", build_config(30))
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            address = self.settings.store_address._replace(port=other.port)
            front.apply_settings(replace(self.settings, store_address=address))
            await wait_until(lambda: front.directory.version == 30)
        await other.stop()


if __name__ == "__main__":
    unittest.main()
