"""Loopback addresses of a run and the settings file of each VM."""

import errno
import socket
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Layout", "VmSpec", "reserve_block"]

ZONES = ("za", "zb", "zc")
# Each run uses its own second octet, so that runs do not conflict.
FIRST_BLOCK = 10
BLOCKS = 200
PACKET_PORT = 8172
READY_PORT = 8167
STORE_PORT = 8169
PEER_PORT_RANGE = (7720, 7735)
# A socket bound to this address of a block reserves the block for one run.
LOCK_GROUP, LOCK_NUMBER, LOCK_PORT = 9, 2, 8170
GRACE_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class VmSpec:
    """Name, zone and host address of a VM."""

    vm: str
    zone: str
    host: str


def reserve_block(seed: int) -> tuple[int, socket.socket]:
    """Return a block of addresses that no other run on this machine uses, and its reservation.

    The block is free again once the returned socket is closed. The search starts at `seed`.
    """
    for block in range(seed, seed + BLOCKS):
        lock = socket.socket(type=socket.SOCK_DGRAM)
        try:
            lock.bind((_build_host(block, LOCK_GROUP, LOCK_NUMBER), LOCK_PORT))
        except OSError as exc:
            lock.close()
            if exc.errno != errno.EADDRINUSE:
                raise
        else:
            return block % BLOCKS, lock
    raise OSError(errno.EADDRINUSE, f"all {BLOCKS} blocks of addresses are in use")


def _build_host(block: int, group: int, number: int) -> str:
    return f"127.{FIRST_BLOCK + block % BLOCKS}.{group}.{number}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Layout:
    """Addresses of one run.

    Attributes
    ----------
    block : int
        Number of the addresses, from ``reserve_block``; concurrent runs must differ.
    folder : Path
        Folder for settings and logs.
    """

    block: int
    folder: Path

    def _build_host(self, group: int, number: int) -> str:
        return _build_host(self.block, group, number)

    @property
    def relay_address(self) -> tuple[str, int]:
        """Address of the relay in front of the store."""
        return self._build_host(9, 1), STORE_PORT

    def list_vms(self, count: int) -> list[VmSpec]:
        """Return `count` VMs, distributed evenly over the zones."""
        return [
            VmSpec(vm=f"vm-{n}", zone=ZONES[n % len(ZONES)], host=self._build_host(1, n + 1))
            for n in range(count)
        ]

    def get_target_host(self, number: int) -> str:
        """Return the host address of a target."""
        return self._build_host(2, number + 1)

    def get_caller_host(self, number: int) -> str:
        """Return the host address of a caller."""
        return self._build_host(3, number + 1)

    @property
    def cuts_path(self) -> Path:
        """Path of the file that lists the cut links between VMs."""
        return self.folder / "cuts"

    def get_settings_path(self, vm: str) -> Path:
        """Return the path of a VM's settings file."""
        return self.folder / f"{vm}.conf"

    def write_settings(self, spec: VmSpec, seeds: list[str], *, grace_s: float = GRACE_S) -> None:
        """Write the settings file of a VM in the format of the platform."""
        fields = {
            "nodeName": spec.vm,
            "role": "front",
            "ip": spec.host,
            "zone": spec.zone,
            "listen.datagramAddr": f"{spec.host}:{PACKET_PORT}",
            "listen.ready": f"{spec.host}:{READY_PORT}",
            "internalPortRange": ",".join(map(str, PEER_PORT_RANGE)),
            "seeds": ",".join(f"{host}:8166" for host in seeds),
            "platform.address": "{}:{}".format(*self.relay_address),
            "bounds.graceS": grace_s,
            "bounds.flowMaxS": 60,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        path = self.get_settings_path(spec.vm)
        # The rename is atomic: a reader never sees a partially written file.
        part = path.with_suffix(".part")
        part.write_text(text)
        part.rename(path)
