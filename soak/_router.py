"""The platform's routers: readiness checks and the choice of a VM for each flow."""

import asyncio
import contextlib
import socket
import zlib

from mulberryswitch.transport import HttpClient, HttpError

from ._layout import PACKET_PORT, READY_PORT, VmSpec
from ._wire import FlowId

__all__ = ["Router"]

CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 0.4
UNREADY_AFTER_FAILURES = 2
HTTP_OK = 200


class Router:
    """Sends callers' packets to ready VMs by rendezvous hashing.

    Parameters
    ----------
    vm_specs : list of VmSpec
        All VMs.
    """

    def __init__(self, *, vm_specs: list[VmSpec]):
        self.vm_specs = vm_specs
        self.failed_checks = dict.fromkeys((spec.vm for spec in vm_specs), UNREADY_AFTER_FAILURES)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    async def run(self) -> None:
        """Run the readiness checks of all VMs until cancelled."""
        async with asyncio.TaskGroup() as group:
            for spec in self.vm_specs:
                group.create_task(self._check(spec))

    async def _check(self, spec: VmSpec) -> None:
        client = HttpClient(host=spec.host, port=READY_PORT)
        while True:
            is_ready = False
            with contextlib.suppress(HttpError):
                answer = await client.get(path="/-/ready", timeout_s=CHECK_TIMEOUT_S)
                is_ready = answer.status == HTTP_OK
            self.failed_checks[spec.vm] = 0 if is_ready else self.failed_checks[spec.vm] + 1
            await asyncio.sleep(CHECK_INTERVAL_S)

    def pick_vm(self, flow: FlowId, zone: str) -> VmSpec:
        """Return the VM for the packets of a flow from a caller in `zone`.

        VMs of other zones are used only if none in the zone is ready. If fewer than half of the
        zone's VMs are ready, readiness is ignored within the zone.
        """
        same_zone = [spec for spec in self.vm_specs if spec.zone == zone]
        ready = [spec for spec in same_zone if self.failed_checks[spec.vm] < UNREADY_AFTER_FAILURES]
        if not ready:
            ready = [
                spec
                for spec in self.vm_specs
                if self.failed_checks[spec.vm] < UNREADY_AFTER_FAILURES
            ]
        elif 2 * len(ready) < len(same_zone):
            ready = same_zone
        key = repr(flow).encode()
        return max(
            ready or self.vm_specs, key=lambda spec: zlib.crc32(key + spec.vm.encode() + key)
        )

    def send(self, flow: FlowId, zone: str, data: bytes) -> None:
        """Send a packet through the VM that is currently picked for the flow."""
        self.send_to(self.pick_vm(flow, zone), data)

    def send_to(self, spec: VmSpec, data: bytes) -> None:
        """Send a packet through a given VM; it is dropped if the socket buffer is full."""
        with contextlib.suppress(OSError):
            self._socket.sendto(data, (spec.host, PACKET_PORT))

    def stop(self) -> None:
        """Close the socket."""
        self._socket.close()
