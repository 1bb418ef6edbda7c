"""Manages the processes of an end-to-end run on loopback ports."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from configparser import ConfigParser
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from ._records import read_records

__all__ = [
    "Cluster",
    "ClusterError",
    "ClusterPlan",
    "ServicePlan",
    "TargetPlan",
    "VmPlan",
    "build_document",
    "find_free_ports",
]

HOST = "127.0.0.1"
# Below the ephemeral range, from which the kernel assigns ports to outgoing connections.
PORT_RANGE = range(15_000, 32_000)
KEY_HEX = "6d756c62657272797377697463682d31"
FLEET = "demo"
VM_MODULE = "mulberryswitch"
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
MAX_RUN_S = 180.0
HTTP_TIMEOUT = aiohttp.ClientTimeout(total=2.0)


class ClusterError(RuntimeError):
    """A process failed to start, ended early, or could not carry out a command."""


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetPlan:
    """One target and its address."""

    name: str
    service: str
    zone: str
    port: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ServicePlan:
    """One service and its load; `rate` is in requests per second and per caller."""

    name: str
    address: str
    slots: int
    rate: float
    long_flows: int
    idempotent_share: float
    work_ms: int
    answer_bytes: int
    connections: int = 4000


@dataclass(frozen=True, kw_only=True, slots=True)
class VmPlan:
    """One entry VM and its loopback ports."""

    name: str
    zone: str
    peer_port: int
    fabric_port: int
    operator_port: int

    @property
    def peer_address(self) -> str:
        """Address at which other VMs reach this one."""
        return f"{HOST}:{self.peer_port}"


@dataclass(frozen=True, kw_only=True, slots=True)
class ClusterPlan:
    """Everything that a run starts.

    `load_s` is the duration of the load and `flow_spread_s` the time over which long flows are
    opened, in seconds. `fabric` holds additional settings of the fabric; probabilities range
    from 0 to 1.
    """

    zones: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    targets: tuple[TargetPlan, ...]
    vms: tuple[VmPlan, ...]
    callers: int
    load_s: float
    platform_port: int
    fabric_caller_port: int
    fabric_vm_port: int
    flow_spread_s: float = 1.0
    seed: int = 1
    fabric: dict[str, float] = field(default_factory=dict)


def _is_port_free(port: int) -> bool:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        contextlib.suppress(OSError),
    ):
        tcp.bind((HOST, port))
        udp.bind((HOST, port))
        return True
    return False


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free for both TCP and UDP at the time of the call."""
    candidates = random.sample(PORT_RANGE, len(PORT_RANGE))
    return list(itertools.islice(filter(_is_port_free, candidates), count))


def build_document(
    plan: ClusterPlan, *, active: set[str], leaving: frozenset[str] = frozenset()
) -> bytes:
    """Return a configuration document with the targets named in `active` and `leaving`."""
    services = [
        {
            "name": service.name,
            "addresses": [service.address],
            "slots": service.slots,
            "connections": service.connections,
            "targets": [
                {
                    "name": target.name,
                    "zone": target.zone,
                    "address": f"{HOST}:{target.port}",
                    "state": "leaving" if target.name in leaving else "active",
                }
                for target in plan.targets
                if target.service == service.name and target.name in active | leaving
            ],
        }
        for service in plan.services
    ]
    return json.dumps({"format": 1, "zones": list(plan.zones), "services": services}).encode()


class Cluster:
    """Processes of one run; each is signalled and stopped by its process id.

    Parameters
    ----------
    plan : ClusterPlan
        Processes to start and their settings.
    directory : Path
        Directory for settings, records and logs.
    """

    def __init__(self, *, plan: ClusterPlan, directory: Path):
        self.plan = plan
        self.directory = directory
        self.processes: dict[str, subprocess.Popen] = {}
        self._platform_url = f"http://{HOST}:{plan.platform_port}"

    def _write_settings(self, name: str, sections: dict[str, dict[str, Any]]) -> Path:
        cfg = ConfigParser(interpolation=None)
        cfg.read_dict(sections)
        path = self.directory / f"{name}.ini"
        with path.open("w") as file:
            cfg.write(file)
        return path

    def _spawn(self, name: str, module: str, *args: str, **sections: dict[str, Any]) -> None:
        if not name.startswith("vm"):
            sections["process"] = {"max_run_s": MAX_RUN_S}
        path = self._write_settings(name, sections)
        command = [sys.executable, "-m", module, *args, "--config", str(path)]
        with (self.directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def start_platform(self) -> None:
        """Start the platform."""
        listen = f"{HOST}:{self.plan.platform_port}"
        self._spawn("platform", "standins.platform", platform={"listen": listen})

    def start_fabric(self) -> None:
        """Start the fabric; a partition of it separates the first zone from the others."""
        first_zone = self.plan.zones[0]
        section = {
            "callers": f"{HOST}:{self.plan.fabric_caller_port}",
            "vms": f"{HOST}:{self.plan.fabric_vm_port}",
            "seed": self.plan.seed,
            "record": self.directory / "fabric.jsonl",
            "split_vms": " ".join(vm.name for vm in self.plan.vms if vm.zone == first_zone),
            **self.plan.fabric,
        }
        self._spawn("fabric", "standins.fabric", fabric=section)

    def start_target(self, target: TargetPlan) -> None:
        """Start `target`."""
        slots = next(s.slots for s in self.plan.services if s.name == target.service)
        section = {
            "name": target.name,
            "service": target.service,
            "listen": f"{HOST}:{target.port}",
            "slots": slots,
            "record": self.directory / f"{target.name}.jsonl",
        }
        self._spawn(target.name, "standins.target", target=section)

    def start_vm(self, vm: VmPlan) -> None:
        """Start the daemon of `vm`."""
        seeds = [other.peer_address for other in self.plan.vms if other.name != vm.name]
        self._spawn(
            vm.name,
            VM_MODULE,
            "node",
            node={"vm": vm.name, "zone": vm.zone, "fleet": FLEET, "key": KEY_HEX},
            peers={"listen": vm.peer_address, "seeds": ", ".join(seeds)},
            fabric={
                "listen": f"{HOST}:{vm.fabric_port}",
                "fabric": f"{HOST}:{self.plan.fabric_vm_port}",
            },
            platform={"url": self._platform_url},
            operator={"listen": f"{HOST}:{vm.operator_port}"},
            logs={"level": "info"},
            tracing={"exporter": "none"},
            testing={"allow_cuts": "true"},
        )

    def start_callers(self) -> list[str]:
        """Start the callers and return their process names."""
        loads = {
            f"service {service.name}": {
                "address": service.address,
                "rate": service.rate,
                "long_flows": service.long_flows,
                "idempotent_share": service.idempotent_share,
                "work_ms": service.work_ms,
                "answer_bytes": service.answer_bytes,
            }
            for service in self.plan.services
        }
        names = [f"caller-{number}" for number in range(1, self.plan.callers + 1)]
        for number, name in enumerate(names):
            section = {
                "name": name,
                "fabric": f"{HOST}:{self.plan.fabric_caller_port}",
                "seconds": self.plan.load_s,
                "flow_spread_s": self.plan.flow_spread_s,
                "seed": self.plan.seed * 1000 + number,
                "record": self.directory / f"{name}.jsonl",
            }
            self._spawn(name, "standins.caller", caller=section, **loads)
        return names

    async def start(self, document: bytes) -> None:
        """Start all processes but the callers and wait until every VM has `document` in force."""
        self.start_platform()
        self.start_fabric()
        for target in self.plan.targets:
            self.start_target(target)
        await self._wait_for("platform", self.read_stats)
        await self.publish_vm_list()
        await self.publish(document)
        for vm in self.plan.vms:
            self.start_vm(vm)
        if await self.wait_version(1, START_TIMEOUT_S) is None:
            raise ClusterError(f"not every VM has version 1 in force after {START_TIMEOUT_S:.0f} s")

    async def _wait_for(self, name: str, probe: Any) -> None:
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            self.check_running(name)
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await probe()
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise ClusterError(f"{name} did not answer within {START_TIMEOUT_S:.0f} s")

    def check_running(self, name: str) -> None:
        """Raise ``ClusterError`` with the end of its log if process `name` has exited."""
        code = self.processes[name].poll()
        if code is not None:
            tail = self.read_log(name)[-2000:]
            raise ClusterError(f"{name} exited with code {code}\n{tail}")

    def read_log(self, name: str) -> str:
        """Return the log of process `name`."""
        return (self.directory / f"{name}.log").read_text(errors="replace")

    async def _request(self, method: str, url: str, **kwargs: Any) -> Any:
        async with aiohttp.ClientSession(timeout=HTTP_TIMEOUT) as session:
            async with session.request(method, url, **kwargs) as response:
                response.raise_for_status()
                return await response.json()

    async def read_stats(self) -> dict[str, Any]:
        """Return the platform's counters."""
        return await self._request("GET", f"{self._platform_url}/operator/stats")

    async def publish(self, document: bytes) -> int:
        """Publish `document` and return its version."""
        answer = await self._request("POST", f"{self._platform_url}/operator/config", data=document)
        return answer["version"]

    async def publish_vm_list(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish the list of all VMs, with those in `leaving` marked as leaving."""
        entries = [
            {
                "vm": vm.name,
                "zone": vm.zone,
                "address": vm.peer_address,
                "leaving": vm.name in leaving,
            }
            for vm in self.plan.vms
        ]
        url = f"{self._platform_url}/operator/vms"
        await self._request("POST", url, json={"vms": entries})

    async def set_fault(self, mode: str) -> None:
        """Set the fault that the platform simulates."""
        await self._request("POST", f"{self._platform_url}/operator/fault", json={"mode": mode})

    async def read_status(self, vm: VmPlan) -> dict[str, Any] | None:
        """Return the status of `vm`, or None if its operator port returns none."""
        url = f"http://{HOST}:{vm.operator_port}/v1/status"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, ValueError):
            return await self._request("GET", url)
        return None

    async def block_links(self, vm: VmPlan, others: list[str]) -> None:
        """Make `vm` drop all traffic with the VMs `others`; an empty list unblocks all links."""
        url = f"http://{HOST}:{vm.operator_port}/v1/test/cut"
        await self._request("POST", url, json={"vms": others})

    def list_live_vms(self) -> list[VmPlan]:
        """Return the VMs whose process is running."""
        return [vm for vm in self.plan.vms if self.processes[vm.name].poll() is None]

    async def read_statuses(self) -> dict[str, dict[str, Any] | None]:
        """Return the status of each live VM, keyed by name."""
        vms = self.list_live_vms()
        statuses = await asyncio.gather(*(self.read_status(vm) for vm in vms))
        return {vm.name: status for vm, status in zip(vms, statuses, strict=True)}

    async def wait_version(self, version: int, timeout_s: float) -> float | None:
        """Wait until each live VM has `version` in force.

        Returns
        -------
        float or None
            Latest ``since_s`` of the VMs, in seconds since the epoch; None on a timeout.

        Raises
        ------
        ClusterError
            If no VM is running.
        """
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            statuses = await self.read_statuses()
            if not statuses:
                name = self.plan.vms[0].name
                raise ClusterError(f"no VM is running\n{self.read_log(name)[-2000:]}")
            values = list(statuses.values())
            if all(status and status["version"] == version for status in values):
                return max(status["since_s"] for status in values)
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to process `name` if it is still running."""
        if self.processes[name].poll() is None:
            os.kill(self.processes[name].pid, number)

    async def wait_for_exit(self, name: str, timeout_s: float) -> int | None:
        """Return the exit code of process `name`, or None if it still runs after `timeout_s`."""
        try:
            return await asyncio.to_thread(self.processes[name].wait, timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def stop(self) -> None:
        """Stop every process of this run with SIGTERM, and with SIGKILL after a timeout."""
        for name in self.processes:
            # A stopped process does not handle SIGTERM until it is continued.
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        end_s = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(max(0.0, end_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def read_records(self) -> list[dict[str, Any]]:
        """Return the records that fabric, targets and callers have written so far."""
        return list(read_records(sorted(self.directory.glob("*.jsonl"))))

    def find_dispatcher(self, service: str) -> str:
        """Return the VM that sent the latest request of `service` to a target."""
        started = [
            record
            for record in self.read_records()
            if record["event"] == "started" and record["service"] == service
        ]
        if not started:
            raise ClusterError(f"no request of {service} has reached a target")
        return max(started, key=lambda record: record["at_s"])["vm"]
