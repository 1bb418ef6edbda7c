"""Tests of overlapping faults, and of runs that share a machine or fail at their start."""

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path
from unittest.mock import Mock, patch

from soak._cuts import CutList, list_cut_links
from soak._layout import Layout, reserve_block
from soak._processes import VmProcesses
from soak._records import Context, Records
from soak._relay import LinkFault, Relay
from soak._run import run_soak


class LinkFaultTest(unittest.TestCase):
    """Guards against a fault that ends when another one ends."""

    def test_faults_overlap(self):
        relay = Relay(address=("127.0.0.1", 1), store=("127.0.0.1", 2))
        relay.start_fault(LinkFault.SILENT)
        relay.start_fault(LinkFault.SLOW)
        relay.end_fault(LinkFault.SILENT)
        self.assertIs(relay.fault, LinkFault.SLOW)
        relay.end_fault(LinkFault.SLOW)
        self.assertIs(relay.fault, LinkFault.NONE)


class CutTest(unittest.TestCase):
    """Guards against a cut that ends when another one ends."""

    def test_cuts_overlap(self):
        with tempfile.TemporaryDirectory() as folder:
            cuts = CutList(path=Path(folder) / "cuts")
            cuts.start(list_cut_links(["a"], ["b"], one_way=False))
            cuts.start(list_cut_links(["a"], ["b", "c"], one_way=True))
            cuts.end(list_cut_links(["a"], ["b"], one_way=False))
            self.assertEqual(cuts.path.read_text(), "a b\na c\n")


class PauseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a restarted VM that stays paused, or is resumed too early."""

    async def test_pause_of_a_new_process_ends_with_its_own_pause(self):
        context = Context(records=Records(), clock=lambda: 0.0, vm_by_host={})
        processes = VmProcesses(layout=Mock(), context=context)
        first, second = Mock(pid=1), Mock(pid=2)
        processes._processes["vm-1"] = first
        long_pause = asyncio.create_task(processes.pause("vm-1", 0.2))
        await asyncio.sleep(0.01)
        processes._processes["vm-1"] = second
        await processes.pause("vm-1", 0.01)
        second.send_signal.assert_called_with(signal.SIGCONT)
        first.send_signal.assert_called_once_with(signal.SIGSTOP)
        await long_pause
        first.send_signal.assert_called_with(signal.SIGCONT)


class BlockTest(unittest.TestCase):
    """Guards against runs of two checkouts that use the same addresses."""

    def test_reserved_blocks_differ(self):
        first, first_lock = reserve_block(7)
        second, second_lock = reserve_block(7)
        self.addCleanup(first_lock.close)
        second_lock.close()
        self.assertNotEqual(first, second)
        hosts = {Layout(block=b, folder=Path()).get_caller_host(0) for b in (first, second)}
        self.assertEqual(len(hosts), 2)


class StartTest(unittest.TestCase):
    """Guards against VM processes that stay when a later step of the start fails."""

    def test_failed_start_stops_the_processes(self):
        stopped = []
        with (
            tempfile.TemporaryDirectory() as folder,
            patch("soak._callers.Caller.start", side_effect=OSError("address in use")),
            patch("soak._processes.VmProcesses.start"),
            patch("soak._processes.VmProcesses.stop", lambda processes: stopped.append(processes)),
        ):
            with self.assertRaises(OSError):
                asyncio.run(run_soak(seed=3, faults=(), folder=Path(folder), vms=1))
        self.assertEqual(len(stopped), 1)


if __name__ == "__main__":
    unittest.main()
