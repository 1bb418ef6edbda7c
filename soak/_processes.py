"""The VMs of a run: processes that this run starts and ends, each by its own id."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

from ._layout import GRACE_S, Layout, VmPlace
from ._records import Context

__all__ = ["VmProcesses"]

ROOT = Path(__file__).resolve().parent.parent
RESTART_S = 0.3
MAX_RESIDENT_KB = 96 * 1024
# A killed process needs processor time to end, which a busy machine may be late to give.
END_TIMEOUT_S = 30.0


class VmProcesses:
    """Starts VMs, sends them signals and notes those that end by themselves.

    Parameters
    ----------
    layout : Layout
    context : Context
    """

    def __init__(self, *, layout: Layout, context: Context):
        self.layout = layout
        self.records = context.records
        self.clock = context.clock
        self.places: dict[str, VmPlace] = {}
        self._processes: dict[str, subprocess.Popen] = {}
        self._expected_ends: set[int] = set()
        self._paused: dict[str, int] = {}

    def start(self, place: VmPlace) -> None:
        """Start the process of a VM."""
        self.places[place.vm] = place
        env = os.environ | {"MULBERRYSWITCH_CONFIG": str(self.layout.get_settings_path(place.vm))}
        with (self.layout.folder / f"{place.vm}.log").open("ab") as log:
            self._processes[place.vm] = subprocess.Popen(
                [sys.executable, "-m", "mulberryswitch.platform"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.records.boots[place.vm].append(self.clock())

    async def watch(self) -> None:
        """Restart what has ended, and note what ended by itself; runs for ever."""
        while True:
            await asyncio.sleep(RESTART_S)
            for vm, process in list(self._processes.items()):
                if process.poll() is None:
                    self._check_memory(vm, process.pid)
                    continue
                if process.pid not in self._expected_ends:
                    self.records.violations.append(f"{vm} ended with code {process.returncode}")
                    self.disturb(vm, 0.0)
                self.start(self.places[vm])

    def _check_memory(self, vm: str, pid: int) -> None:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
        peak_kb = next((int(line.split()[1]) for line in lines if line.startswith("VmHWM")), 0)
        if peak_kb > MAX_RESIDENT_KB:
            self.records.violations.append(f"{vm} needs {peak_kb} KB")

    def disturb(self, vm: str, for_s: float) -> None:
        """Note that a VM is in trouble from now on."""
        now_s = self.clock()
        self.records.disturbed[vm].append((now_s, now_s + for_s))

    def kill(self, vm: str) -> None:
        """End a VM at once; it is started again a moment later."""
        process = self._processes[vm]
        self._expected_ends.add(process.pid)
        self.disturb(vm, RESTART_S)
        process.kill()

    def terminate(self, vm: str) -> None:
        """Ask a VM to stop; it has its grace time for it."""
        process = self._processes[vm]
        self._expected_ends.add(process.pid)
        self.disturb(vm, GRACE_S + RESTART_S)
        process.terminate()

    async def pause(self, vm: str, for_s: float) -> None:
        """Suspend a VM."""
        process = self._processes[vm]
        self.disturb(vm, for_s)
        # Pauses may overlap; the last one that ends lets the process go on.
        self._paused[vm] = self._paused.get(vm, 0) + 1
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self._paused[vm] -= 1
        if not self._paused[vm]:
            process.send_signal(signal.SIGCONT)

    def reload(self, vm: str) -> None:
        """Tell a VM that its settings changed."""
        self._processes[vm].send_signal(signal.SIGHUP)

    def stop(self) -> None:
        """End all VMs."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait(END_TIMEOUT_S)
