"""Tests of what a run observes beside the records."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from standins._cluster import ClusterError
from standins._run import VersionWatch, open_directory


class VersionWatchTest(unittest.TestCase):
    """Guards the check that an accepted version never reverts."""

    def test_only_a_lower_version_of_the_same_process_is_a_revert(self):
        watch = VersionWatch()
        for vm, pid, version in (("vm-1", 1, 1), ("vm-1", 1, 2), ("vm-2", 2, 1), ("vm-1", 3, 1)):
            watch.observe_status(vm, pid, version)
        self.assertEqual(watch.reverted, 0)
        watch.observe_status("vm-1", 1, 1)
        self.assertEqual(watch.reverted, 1)


class DirectoryTest(unittest.TestCase):
    """Guards the counts against records of an earlier run."""

    def test_directory_with_files_is_refused(self):
        with TemporaryDirectory() as directory:
            path = Path(directory) / "kept"
            with open_directory(path) as opened:
                (opened / "one.jsonl").touch()
            with self.assertRaises(ClusterError), open_directory(path):
                self.fail("opened")
