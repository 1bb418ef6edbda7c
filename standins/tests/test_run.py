"""Tests of the version monitor and the directory of a run."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from standins._cluster import ClusterError
from standins._run import VersionMonitor, open_run_directory


class VersionMonitorTest(unittest.TestCase):
    """A VM process that reverts to a lower configuration version must be detected."""

    def test_only_a_lower_version_of_the_same_process_is_a_revert(self):
        monitor = VersionMonitor()
        for vm, pid, version in (("vm-1", 1, 1), ("vm-1", 1, 2), ("vm-2", 2, 1), ("vm-1", 3, 1)):
            monitor.observe_status(vm, pid, version)
        self.assertEqual(monitor.reverted, 0)
        monitor.observe_status("vm-1", 1, 1)
        self.assertEqual(monitor.reverted, 1)


class DirectoryTest(unittest.TestCase):
    """Records of an earlier run must not be counted again."""

    def test_non_empty_directory_is_refused(self):
        with TemporaryDirectory() as directory:
            path = Path(directory) / "kept"
            with open_run_directory(path) as opened:
                (opened / "one.jsonl").touch()
            with self.assertRaises(ClusterError), open_run_directory(path):
                self.fail("opened")
