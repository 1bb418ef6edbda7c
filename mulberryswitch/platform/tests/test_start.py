"""Tests of the start of a VM process."""

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from mulberryswitch.platform.tests.test_settings import SETTINGS_TEXT

START_TIMEOUT_S = 20.0
ENDED_BY_SIGTERM = (0, -signal.SIGTERM)


def is_sighup_handled(pid: int) -> bool:
    """Return whether a process ignores or catches SIGHUP."""
    status = Path(f"/proc/{pid}/status").read_text()
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return any(mask & 1 << (signal.SIGHUP - 1) for mask in masks)


def build_own_host() -> str:
    """Return a loopback address that no other test process uses; the ports are fixed."""
    pid = os.getpid()
    return f"127.{77 + (pid >> 16) % 100}.{(pid >> 8) % 256}.{pid % 254 + 1}"


class StartTest(unittest.TestCase):
    """A settings file may change, with SIGHUP, while a process starts."""

    def test_package_imports_nothing_before_the_signal_is_ignored(self):
        code = (
            "import sys; before = set(sys.modules); import mulberryswitch.platform;"
            "print(*sorted({name.split('.')[0] for name in set(sys.modules) - before}))"
        )
        output = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        ).stdout
        # Besides the project itself only what its lazy imports need.
        self.assertFalse({"asyncio", "logging", "msgspec", "ssl"} & set(output.split()))

    def test_sighup_during_the_imports_does_not_end_the_process(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.conf"
            path.write_text(SETTINGS_TEXT.replace("10.1.0.10", build_own_host()))
            process = subprocess.Popen(
                [sys.executable, "-m", "mulberryswitch.platform"],
                env=os.environ | {"MULBERRYSWITCH_CONFIG": str(path)},
                stdout=subprocess.PIPE,
                text=True,
            )
            try:
                self._send_sighups_until_started(process)
                self.assertIsNone(process.poll())
                process.terminate()
                self.assertIn(process.wait(START_TIMEOUT_S), ENDED_BY_SIGTERM)
            finally:
                process.kill()
                process.wait()
                process.stdout.close()

    def _send_sighups_until_started(self, process: subprocess.Popen) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not is_sighup_handled(process.pid) and process.poll() is None:
            self.assertLess(time.monotonic(), deadline_s)
        os.set_blocking(process.stdout.fileno(), False)
        while '"started"' not in (process.stdout.readline() or ""):
            process.send_signal(signal.SIGHUP)
            self.assertIsNone(process.poll())
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.005)


if __name__ == "__main__":
    unittest.main()
