"""The VM processes of a run; only processes that the run started are signalled, by their id."""

import asyncio
import os
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path

from ._layout import GRACE_S, Layout, VmSpec
from ._records import Context

__all__ = ["VmProcesses"]

ROOT = Path(__file__).resolve().parent.parent
RESTART_DELAY_S = 0.3
MAX_RESIDENT_KB = 96 * 1024
# A busy host may delay the exit of a killed process, which needs CPU time.
EXIT_TIMEOUT_S = 30.0


class VmProcesses:
    """Starts, signals and restarts VM processes, and records unexpected exits.

    Parameters
    ----------
    layout : Layout
    context : Context
    """

    def __init__(self, *, layout: Layout, context: Context):
        self.layout = layout
        self.records = context.records
        self.clock = context.clock
        self.vm_specs: dict[str, VmSpec] = {}
        self._processes: dict[str, subprocess.Popen] = {}
        self._expected_exits: set[int] = set()
        self._pause_counts: Counter[int] = Counter()

    def start(self, spec: VmSpec) -> None:
        """Start the process of a VM."""
        self.vm_specs[spec.vm] = spec
        env = os.environ | {"MULBERRYSWITCH_CONFIG": str(self.layout.get_settings_path(spec.vm))}
        with (self.layout.folder / f"{spec.vm}.log").open("ab") as log:
            self._processes[spec.vm] = subprocess.Popen(
                [sys.executable, "-m", "standins.cut_vm", spec.host, self.layout.cuts_path],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.records.vm_starts_s[spec.vm].append(self.clock())

    async def watch(self) -> None:
        """Restart exited VMs until cancelled; record unexpected exits and excessive memory."""
        while True:
            await asyncio.sleep(RESTART_DELAY_S)
            for vm, process in list(self._processes.items()):
                if process.poll() is None:
                    self._check_memory(vm, process.pid)
                    continue
                if process.pid not in self._expected_exits:
                    self.records.violations.append(f"{vm} exited with code {process.returncode}")
                    self.record_disturbance(vm, 0.0)
                self.start(self.vm_specs[vm])

    def _check_memory(self, vm: str, pid: int) -> None:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
        peak_kb = next((int(line.split()[1]) for line in lines if line.startswith("VmHWM")), 0)
        if peak_kb > MAX_RESIDENT_KB:
            self.records.violations.append(f"{vm} has a peak resident set of {peak_kb} KB")

    def record_disturbance(self, vm: str, duration_s: float) -> None:
        """Record a disturbance of a VM that starts now."""
        now_s = self.clock()
        self.records.disturbances[vm].append((now_s, now_s + duration_s))

    def kill(self, vm: str) -> None:
        """Kill a VM; `watch` restarts it."""
        process = self._processes[vm]
        self._expected_exits.add(process.pid)
        self.record_disturbance(vm, RESTART_DELAY_S)
        process.kill()

    def terminate(self, vm: str) -> None:
        """Ask a VM to shut down within its grace period."""
        process = self._processes[vm]
        self._expected_exits.add(process.pid)
        self.record_disturbance(vm, GRACE_S + RESTART_DELAY_S)
        process.terminate()

    async def pause(self, vm: str, duration_s: float) -> None:
        """Suspend a VM for `duration_s`."""
        process = self._processes[vm]
        self.record_disturbance(vm, duration_s)
        # Pauses of one process may overlap; it is resumed when the last one ends. Its successor
        # after a kill is another process.
        self._pause_counts[process.pid] += 1
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self._pause_counts[process.pid] -= 1
        if not self._pause_counts[process.pid]:
            process.send_signal(signal.SIGCONT)

    def reload(self, vm: str) -> None:
        """Ask a VM to reload its settings."""
        self._processes[vm].send_signal(signal.SIGHUP)

    def stop(self) -> None:
        """Kill all VMs and wait until they have exited."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait(EXIT_TIMEOUT_S)
