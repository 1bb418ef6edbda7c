"""The machines of the system, the routers before them, and the frame of a script."""

import asyncio
import contextlib
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import zlib
from collections.abc import Awaitable, Callable
from pathlib import Path

from .flows import World
from .wire import Address, Packet

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
# The command of deploy/system.toml.
COMMAND = ["python3", "-S", "-m", "mulberryswitch.platform"]
PACKET_PORT, READY_PORT, CONTROL_PORT, STORE_PORT = 8172, 8167, 8166, 8169
PROBE_S = 0.5


class CannotRunError(Exception):
    """The case can't be played here."""


class Layout:
    """Loopback addresses of one run, in a block of 127.0.0.0/8 that no other run uses."""

    def __init__(self) -> None:
        for block in random.sample(range(20, 250), 200):
            self._lock = socket.socket(type=socket.SOCK_DGRAM)
            try:
                self._lock.bind((f"127.{block}.255.1", STORE_PORT))
            except OSError:
                self._lock.close()
                continue
            self.block = block
            return
        raise CannotRunError("no free block of loopback addresses")

    def host(self, group: int, number: int) -> str:
        return f"127.{self.block}.{group}.{number}"

    @property
    def store(self) -> tuple[str, int]:
        return self.host(9, 1), STORE_PORT


class Vm:
    def __init__(self, name: str, zone: str, host: str):
        self.name, self.zone, self.host = name, zone, host
        self.process: subprocess.Popen | None = None
        self.misses = 2


class Fleet:
    """Starts the machines' processes and signals them by their ids."""

    def __init__(
        self, layout: Layout, folder: Path, zones: dict[str, int], *, memory_mb: int = 222
    ):
        self.layout, self.folder, self.memory_mb = layout, folder, memory_mb
        names = [(zone, n) for zone, count in zones.items() for n in range(1, count + 1)]
        self.zones = list(zones)
        self.vms = {
            f"front-{zone}-{n}": Vm(f"front-{zone}-{n}", zone, layout.host(1, i + 10))
            for i, (zone, n) in enumerate(names)
        }

    def settings_path(self, vm: Vm) -> Path:
        return self.folder / f"{vm.name}.conf"

    def write_settings(self, vm: Vm) -> None:
        seeds = ",".join(f"{v.host}:{CONTROL_PORT}" for v in list(self.vms.values())[:3])
        lines = [
            f"nodeName={vm.name}",
            "role=front",
            "machineClass=front",
            "serves=front,control",
            f"ip={vm.host}",
            f"zone={vm.zone}",
            "region=r",
            *(f"zones.{zone}=r" for zone in self.zones),
            f"listen.datagramAddr={vm.host}:{PACKET_PORT}",
            f"listen.ready={vm.host}:{READY_PORT}",
            f"listen.control={vm.host}:{CONTROL_PORT}",
            "internalPortRange=7720,7735",
            f"seeds={seeds}",
            "bootstrap=true",
            "limits.cpuShare=0.731",
            "limits.cores=1",
            f"limits.memoryMb={self.memory_mb}",
            "limits.maxFds=1535",
            "discovery=platform",
            "entry=announcement",
            "heartbeatMs=1200",
            "bounds.reuseAfterS=2",
            "bounds.stableWindowMs=4000",
            "bounds.drainMs=3000",
            "bounds.graceS=6",
            "bounds.configMs=3000",
            "bounds.rollbackSlackMs=250",
            "bounds.outerMs=12000",
            "bounds.recoveryS=12",
            "bounds.flowReorderMs=2000",
            "bounds.flowMaxS=60",
            "hash=steady",
            "forwardingMode=echo",
            "platform.address={}:{}".format(*self.layout.store),
            "platform.forwardingMode=read",
            "platform.readsPerS=2000",
            "platform.historyS=20",
            "platform.valueBytes=1048576",
        ]
        path = self.settings_path(vm)
        part = path.with_suffix(".part")
        part.write_text("\n".join(lines) + "\n")
        part.rename(path)

    def start(self, vm: Vm) -> None:
        if not self.settings_path(vm).exists():
            self.write_settings(vm)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"MULBERRYSWITCH_CONFIG": str(self.settings_path(vm)), "PYTHONPATH": str(DEPS)}
        with (self.folder / f"{vm.name}.log").open("ab") as log:
            vm.process = subprocess.Popen(COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log)

    def start_all(self) -> None:
        for vm in self.vms.values():
            self.start(vm)

    def stop_all(self) -> None:
        for vm in self.vms.values():
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait(20)

    def rank(self, zone: str) -> list[str]:
        """Return the machines of a zone in the order in which they read the store."""
        sys.path[:0] = [str(ROOT), str(DEPS)]
        from mulberryswitch.contracts import MemberState
        from mulberryswitch.vms import Member, rank_readers

        members = [
            Member(vm=vm.name, zone=vm.zone, address="", incarnation=1, state=MemberState.ALIVE)
            for vm in self.vms.values()
        ]
        return [member.vm for member in rank_readers(zone=zone, members=members)]


class Router:
    """The platform's routers: probes of readiness, and a steady hash over a zone's machines."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self._socket = socket.socket(type=socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            for vm in self.fleet.vms.values():
                group.create_task(self._probe(vm))

    async def _probe(self, vm: Vm) -> None:
        while True:
            vm.misses = 0 if await probe_ready(vm.host) else vm.misses + 1
            await asyncio.sleep(PROBE_S)

    def send(self, packet: Packet, zone: str, name: str = "") -> str:
        name = name or self.pick(packet.src, packet.dst, zone)
        vm = self.fleet.vms[name]
        with contextlib.suppress(OSError):
            self._socket.sendto(packet.encode(), (vm.host, PACKET_PORT))
        return vm.name

    def pick(self, src: Address, dst: Address, zone: str) -> str:
        """Return the machine to which the packets of a flow go now."""
        vms = list(self.fleet.vms.values())
        local = [vm for vm in vms if vm.zone == zone]
        ready = [vm for vm in local if vm.misses < 2]
        if not ready:
            ready = [vm for vm in vms if vm.misses < 2] or vms
        elif 2 * len(ready) < len(local):
            ready = local
        key = repr((src, dst)).encode()
        return max(ready, key=lambda vm: zlib.crc32(key + vm.name.encode() + key)).name


async def probe_ready(host: str) -> bool:
    writer = None
    try:
        async with asyncio.timeout(0.4):
            reader, writer = await asyncio.open_connection(host, READY_PORT)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in await reader.readline()
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.transport.abort()


class Case:
    """Frame of a script: the run, its record and its exit code."""

    def __init__(self, zones: dict[str, int], **options):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.start_s = time.monotonic()
        self.layout = Layout()
        self.world = World()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.fleet = Fleet(self.layout, self.folder, zones, **options)
        self.world.vm_of_host = {vm.host: vm.name for vm in self.fleet.vms.values()}
        self.router = Router(self.fleet)
        self.lines: list[str] = []

    def note(self, text: str, at: float | None = None) -> None:
        at = time.monotonic() if at is None else at
        self.lines.append(f"{at - self.start_s:8.3f} s  {text}")

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        end = time.monotonic() + limit_s
        while any(vm.misses for vm in self.fleet.vms.values()):
            if time.monotonic() > end:
                raise CannotRunError("not all machines are ready")
            await asyncio.sleep(0.1)


def play(case: Case, script: Callable[[], Awaitable[bool]], record: Path) -> int:
    """Run a script, which returns whether the rule held; write the record, return the code."""
    # An end from outside also ends the machines.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        held = asyncio.run(script())
        code = 0 if held else 1
    except (CannotRunError, OSError, TimeoutError) as exc:
        case.note(f"could not run: {type(exc).__name__} {exc}")
        code = 2
    finally:
        case.fleet.stop_all()
        if "KEEP" in os.environ:
            print(f"logs of the machines: {case.folder}")
        else:
            shutil.rmtree(case.folder, ignore_errors=True)
    case.lines.sort()
    lines = [f"trouble: {'on' if case.trouble else 'off'}", *case.lines, f"exit code: {code}"]
    record.write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-12:]))
    return code
