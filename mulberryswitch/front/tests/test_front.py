"""Integration tests of a VM of the direct path against stand-ins on loopback addresses."""

import asyncio
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from random import Random
from unittest.mock import patch

from mulberryswitch.contracts import (
    FEED_CODEC,
    MemberState,
    MemberUpdate,
    Ping,
    TargetSilent,
)
from mulberryswitch.front import Address, Front
from mulberryswitch.front._node import _watch_settings
from mulberryswitch.front.tests.builders import (
    RST,
    FrontTestCase,
    RunningFront,
    build_config,
    build_settings,
    build_target_entry,
    encode_packet,
    encode_syn,
    start_store,
    wait_until,
)
from mulberryswitch.platform import ADAPTER
from mulberryswitch.platform.tests.test_settings import SETTINGS_TEXT
from mulberryswitch.transport import HttpClient
from mulberryswitch.vms import Member, rank_readers
from standins.store import StoreFault


class ServingTest(FrontTestCase):
    """Guards against altered packets, unknown routes without a reset and missing HTTP pages."""

    async def test_opening_is_forwarded_with_target_identity_and_token(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            self.send(encode_syn())
            await wait_until(lambda: self.received)
            data = self.received[0]
            self.assertIn(int.from_bytes(data[:8], "big"), (1, 2))
            token = int.from_bytes(data[8:12], "big")
            self.assertTrue(token)
            self.assertEqual(data[12:], encode_syn()[4:])
            self.send(encode_packet(token=token))
            await wait_until(
                lambda: any(d[8:] == encode_packet(token=token) for d in self.received)
            )

    async def test_opening_of_unknown_route_is_reset(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            self.send(encode_syn(port=999))
            await wait_until(lambda: self.caller.received)
            self.assertEqual(self.caller.received[0][22], RST)

    async def test_malformed_datagram_is_counted(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            self.send(b"nonsense")
            await wait_until(lambda: front.metrics.counts["packets_malformed"])

    async def test_http_pages(self):
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
            self.send(encode_syn())
            await wait_until(lambda: self.received)
            token = int.from_bytes(self.received[0][8:12], "big")
            for changes in ({}, {"payload": b"x" * 9}, {"seq": 16, "ack": 600}):
                self.send(encode_packet(token=token, **changes))
            await wait_until(lambda: front.metrics.counts["packets"] == 4)
            body, _ = front.metrics.render({})
            self.assertIn(b'mulberryswitch_answer_seconds_count{service="feeds"} 1', body)


class ChangeTest(FrontTestCase):
    """Changes must arrive despite failures of the store, and the version must never decrease."""

    page_items = 1

    async def test_changes_are_applied(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: len(front.directory.targets) == 2)
            self.store.put("op/config", build_config(9, {443: "feeds", 80: "feeds"}))
            self.store.put(
                "servers/i-2", build_target_entry(self.targets[1].port, state="draining")
            )
            await wait_until(lambda: front.directory.version == 9, timeout_s=3.0)
            await wait_until(
                lambda: [t.key for t in front.directory.list_serving("feeds", 0.0)]
                == ["servers/i-1"],
                timeout_s=3.0,
            )

    async def test_version_never_decreases_during_rapid_changes(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: len(front.directory.targets) == 2)
            seen = []
            for version in range(10, 30):
                self.store.put("op/config", build_config(version))
                await asyncio.sleep(0.01)
                seen.append(front.directory.version)
            await wait_until(lambda: front.directory.version == 29, timeout_s=3.0)
            self.assertEqual(seen, sorted(seen))

    async def test_lost_history_causes_full_read(self):
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

    async def test_starting_vm_reads_the_present_state(self):
        self.store.freeze_stale_reads()
        self.store.put("op/config", build_config(9))
        self.store.delete("servers/i-1")
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.directory.version == 9, timeout_s=3.0)
            self.assertEqual(list(front.directory.targets), ["servers/i-2"])

    async def test_starting_vm_does_not_use_a_target_that_has_left(self):
        """A read that may be stale would still list it."""
        self.store.freeze_stale_reads()
        entry = build_target_entry(self.targets[0].port, state="draining")
        self.store.put("servers/i-1", entry)
        self.store.delete("servers/i-1")
        async with RunningFront(self.settings) as front:
            for port in range(1000, 1200):
                self.send(encode_syn(caller_port=port))
                await asyncio.sleep(0.002)
            self.assertTrue(front.is_ready and self.targets[1].received)
            self.assertEqual(self.targets[0].received, [])

    async def test_starting_vm_serves_while_watches_hang(self):
        self.store.watch_fault = StoreFault.SILENT
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready, timeout_s=2.0)
            self.store.watch_fault = StoreFault.NONE

    async def test_unresponsive_store_is_detected_and_recovers(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            self.store.fault = StoreFault.SILENT
            self.store.put("op/config", build_config(9))
            await wait_until(lambda: front.reader.planner.failures > 0)
            self.assertTrue(front.is_ready)
            self.store.fault = StoreFault.NONE
            await wait_until(lambda: front.directory.version == 9)


class StartTest(FrontTestCase):
    """A VM that starts while the store is unavailable must hold openings and load from peers."""

    async def test_openings_are_held_and_vm_not_ready_until_store_answers(self):
        for fault in (StoreFault.BUSY, StoreFault.RESET):
            with self.subTest(fault):
                self.store.fault = fault
                settings = replace(self.settings)
                async with RunningFront(settings) as front:
                    await asyncio.sleep(0.3)
                    self.assertFalse(front.is_ready)
                    self.send(encode_syn())
                    await asyncio.sleep(0.1)
                    self.store.fault = StoreFault.NONE
                    await wait_until(lambda: self.received, timeout_s=1.2)
                for target in self.targets:
                    target.received.clear()

    async def test_directory_is_loaded_from_peer(self):
        async with RunningFront(self.settings) as first:
            await wait_until(lambda: first.is_ready)
            self.store.fault = StoreFault.BUSY
            settings = build_settings(
                self.store.port, vm_number=2, seeds=(self.settings.peer_address,)
            )
            async with RunningFront(settings) as second:
                await wait_until(lambda: second.is_ready, timeout_s=3.0)
                self.assertEqual(second.directory.revision, first.directory.revision)


class PeerTest(FrontTestCase):
    """VMs must share changes and loads within their fleet, and nothing with another fleet."""

    async def test_changes_reach_vm_that_the_store_refuses(self):
        """The store may refuse the reads of one VM while it serves the others."""
        refused = await start_store(9)
        refused.fault = StoreFault.BUSY
        try:
            async with RunningFront(self.settings) as first:
                settings = build_settings(
                    self.store.port, vm_number=2, seeds=(self.settings.peer_address,)
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

    async def test_loads_and_target_answers_are_shared(self):
        """State of peers prevents resets of flows to healthy targets, and uninformed placement.

        Without the answers that peers saw, a VM could reset flows to a target that answers other
        VMs; without their loads it would place flows on busy targets.
        """
        async with RunningFront(self.settings) as first:
            settings = build_settings(
                self.store.port, vm_number=2, seeds=(self.settings.peer_address,)
            )
            async with RunningFront(settings) as second:
                await wait_until(lambda: first.is_ready and second.is_ready)
                await wait_until(lambda: len(second.peers.membership.live()) == 2)
                self.send(encode_syn())
                await wait_until(lambda: self.received)
                token = int.from_bytes(self.received[0][8:12], "big")
                self.send(encode_packet(token=token))
                loads = second.forwarder.loads
                await wait_until(lambda: loads.list_peer_loads(token, second.clock()))
                self.assertEqual(loads.list_peer_loads(token, second.clock())[0].long_flows, 1)
                self.assertGreater(loads.get_or_create(token).health.evidence.last_answer_s, 0.0)
                self.assertTrue(loads.has_peers)

    async def test_malformed_member_does_not_stop_announcements(self):
        """A member without a usable address made each announcement fail, also for the others."""
        async with RunningFront(self.settings) as first:
            settings = build_settings(
                self.store.port, vm_number=2, seeds=(self.settings.peer_address,)
            )
            async with RunningFront(settings) as second:
                await wait_until(lambda: len(first.peers.membership.live()) == 2)
                for address in ("nonsense", "a.example:80", "127.0.0.1:99999"):
                    update = MemberUpdate(
                        vm="front-0", zone="za", address=address, incarnation=1, state=0
                    )
                    ping = Ping(sequence=1, sender="front-0", about="", updates=(update,))
                    self.caller.send(FEED_CODEC.encode(ping), self.settings.peer_address)
                self.store.put("op/config", build_config(9))
                await wait_until(lambda: second.directory.version == 9)
                await wait_until(lambda: first.metrics.counts["peer_datagrams_refused"] == 3)
                self.assertEqual(len(first.peers.membership.live()), 2)

    async def test_vm_of_another_fleet_receives_nothing(self):
        async with RunningFront(self.settings) as first:
            await wait_until(lambda: first.is_ready)
            other = await start_store(9)
            other.fault = StoreFault.BUSY
            settings = build_settings(other.port, vm_number=2, seeds=(self.settings.peer_address,))
            async with RunningFront(settings) as second:
                await asyncio.sleep(1.0)
                self.assertFalse(second.directory.is_loaded)
            await other.stop()


class RelayTest(unittest.TestCase):
    """Relay of reports of unresponsive targets from other zones.

    A VM that receives one report twice counts one lost opening as several, which could mark a
    healthy target as unresponsive.
    """

    def relay(self, rank: int) -> tuple[list[str], list[str]]:
        """Return the addresses a VM of `rank` relays a report to, and those of all non-readers."""
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
        sent = []
        with (
            patch.object(peers.membership, "live", lambda: members),
            patch.object(peers, "_send", lambda address, message: sent.append(address)),
        ):
            report = TargetSilent(
                fleet=peers.fleet, vm="other", zone="zb", token=1, ejection_ms=500, is_dark=False
            )
            peers._observe_unresponsive(report, 1.0)
        return sorted(sent), sorted(member.address for member in ranked[2:])

    def test_each_vm_receives_a_report_of_another_zone_once(self):
        sent, others = self.relay(0)
        self.assertEqual(sent, others)
        for rank in (1, 2, 3):
            self.assertEqual(self.relay(rank)[0], [])


class StopTest(FrontTestCase):
    """Packets still arrive at a VM that is shutting down and must be forwarded."""

    async def test_packets_are_forwarded_during_shutdown(self):
        running = RunningFront(self.settings)
        async with running as front:
            await wait_until(lambda: front.is_ready)
            running.request_stop()
            await wait_until(lambda: not front.is_ready)
            self.send(encode_syn())
            await wait_until(lambda: self.received)

    async def test_every_opening_under_load_is_forwarded_until_the_end(self):
        """Routers send packets to a VM for a while after it has reported that it is not ready."""
        running = RunningFront(self.settings)
        sent: dict[int, float] = {}
        loop = asyncio.get_running_loop()
        async with running as front:
            await wait_until(lambda: front.is_ready)
            running.request_stop()
            port = 2000
            while not running.is_stopped:
                port += 1
                sent[port] = loop.time()
                self.send(encode_syn(caller_port=port))
                await asyncio.sleep(0.002)
            ended_s = loop.time()
        await asyncio.sleep(0.05)
        forwarded = {int.from_bytes(data[22:24], "big") for data in self.received}
        cut_off = [port for port, sent_s in sent.items() if port not in forwarded]
        # Only openings that arrive while the process exits are left to the callers' retries.
        self.assertGreater(len(sent), 100)
        self.assertEqual([port for port in cut_off if sent[port] < ended_s - 0.05], [])


class ReloadTest(FrontTestCase):
    """Changed settings must be applied without a restart, and an invalid file must not be."""

    async def test_settings_file_is_applied_with_and_without_signal(self):
        text = SETTINGS_TEXT.replace("10.1.0.10", "127.0.0.1")
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

    async def test_errors_do_not_end_the_watch_of_the_settings_file(self):
        """The file is missing at first, and then the new settings fail in an unexpected way."""
        text = SETTINGS_TEXT.replace("10.1.0.10", "127.0.0.1")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "node.conf")
            write = path.write_text
            async with RunningFront(self.settings) as front:
                signal = asyncio.Event()
                watcher = asyncio.create_task(_watch_settings(front, path, signal))
                await asyncio.sleep(0.05)
                signal.set()
                await asyncio.sleep(0.05)
                with patch.object(front, "apply_settings", side_effect=KeyError("x")):
                    write(text.replace("graceS=6", "graceS=8"))
                    signal.set()
                    await asyncio.sleep(0.05)
                write(text.replace("graceS=6", "graceS=9"))
                signal.set()
                await wait_until(lambda: front.settings.shutdown_s == 9.0, timeout_s=1.0)
                watcher.cancel()

    async def test_new_store_address_and_seeds_are_used_between_vms(self):
        """A VM with the old store address must not exchange records with the reloaded one."""
        async with RunningFront(self.settings) as front:
            fleet = front.peers.fleet
            changed = replace(
                self.settings,
                store_address=self.settings.store_address._replace(host="127.0.0.5"),
                seeds=(Address("127.0.0.9", 7),),
            )
            front.apply_settings(changed)
            self.assertNotEqual(front.peers.fleet, fleet)
            self.assertEqual(front.peers.pull_server.fleet, front.peers.fleet)
            self.assertEqual(front.peers.settings.seeds, changed.seeds)

    async def test_new_store_address_is_applied(self):
        """The other store's revisions may be higher or lower than those of the former one."""
        for changes in (0, 40):
            with self.subTest(changes=changes):
                other = await start_store(9)
                self.addAsyncCleanup(other.stop)
                for _ in range(changes):
                    other.put("servers/i-9", build_target_entry(9))
                other.put("op/config", build_config(30))
                for _ in range(20 - changes // 2):
                    self.store.put("servers/i-1", build_target_entry(self.targets[0].port))
                async with RunningFront(self.settings) as front:
                    await wait_until(lambda front=front: front.is_ready)
                    address = self.settings.store_address._replace(port=other.port)
                    front.apply_settings(replace(self.settings, store_address=address))
                    await wait_until(lambda front=front: front.directory.version == 30)


if __name__ == "__main__":
    unittest.main()
