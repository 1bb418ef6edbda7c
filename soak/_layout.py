"""Addresses of a run on the loopback range, and the settings file of each VM."""

from dataclasses import dataclass
from pathlib import Path

__all__ = ["Layout", "VmPlace"]

ZONES = ("za", "zb", "zc")
# Each run has a second octet of its own, so that runs may overlap.
FIRST_BLOCK = 10
BLOCKS = 200
PACKET_PORT = 8172
READY_PORT = 8167
STORE_PORT = 8169
PEER_PORTS = (7720, 7735)
GRACE_S = 3.0


@dataclass(frozen=True, kw_only=True, slots=True)
class VmPlace:
    """Name, zone and address of a VM."""

    vm: str
    zone: str
    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Layout:
    """Addresses of one run.

    Attributes
    ----------
    block : int
        Number of the run, below 200 among the runs that overlap.
    folder : Path
        Where settings and logs are written.
    """

    block: int
    folder: Path

    def _host(self, kind: int, number: int) -> str:
        return f"127.{FIRST_BLOCK + self.block % BLOCKS}.{kind}.{number}"

    @property
    def store(self) -> tuple[str, int]:
        """Address of the relay before the store."""
        return self._host(9, 1), STORE_PORT

    def list_vms(self, count: int) -> list[VmPlace]:
        """Return the places of `count` VMs, spread over the zones."""
        return [
            VmPlace(vm=f"vm-{n}", zone=ZONES[n % len(ZONES)], host=self._host(1, n + 1))
            for n in range(count)
        ]

    def get_target_host(self, number: int) -> str:
        """Return the address of a target."""
        return self._host(2, number + 1)

    def get_caller_host(self, number: int) -> str:
        """Return the address of a caller."""
        return self._host(3, number + 1)

    def get_settings_path(self, vm: str) -> Path:
        """Return the path of a VM's settings."""
        return self.folder / f"{vm}.conf"

    def write_settings(self, place: VmPlace, seeds: list[str], *, grace_s: float = GRACE_S) -> None:
        """Write the settings file of a VM as the platform does."""
        fields = {
            "nodeName": place.vm,
            "role": "front",
            "ip": place.host,
            "zone": place.zone,
            "listen.datagramAddr": f"{place.host}:{PACKET_PORT}",
            "listen.ready": f"{place.host}:{READY_PORT}",
            "internalPortRange": ",".join(map(str, PEER_PORTS)),
            "seeds": ",".join(f"{host}:8166" for host in seeds),
            "platform.address": "{}:{}".format(*self.store),
            "bounds.graceS": grace_s,
            "bounds.flowMaxS": 60,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        path = self.get_settings_path(place.vm)
        # A reader must not see half a file.
        part = path.with_suffix(".part")
        part.write_text(text)
        part.rename(path)
