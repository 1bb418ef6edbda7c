"""The platform's routers: readiness checks, and the choice of a VM for each packet."""

import asyncio
import contextlib
import socket
import zlib

from mulberryswitch.transport import HttpClient, HttpError

from ._layout import PACKET_PORT, READY_PORT, VmPlace
from ._wire import FlowId

__all__ = ["Router"]

CHECK_S = 0.5
CHECK_TIMEOUT_S = 0.4
MISSES = 2
HTTP_OK = 200


class Router:
    """Sends callers' packets to the VMs in rotation.

    Parameters
    ----------
    places : list of VmPlace
        All VMs.
    """

    def __init__(self, *, places: list[VmPlace]):
        self.places = places
        self.misses = dict.fromkeys((place.vm for place in places), MISSES)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    async def run(self) -> None:
        """Check all VMs for ever."""
        async with asyncio.TaskGroup() as group:
            for place in self.places:
                group.create_task(self._check(place))

    async def _check(self, place: VmPlace) -> None:
        client = HttpClient(host=place.host, port=READY_PORT)
        while True:
            is_ready = False
            with contextlib.suppress(HttpError):
                answer = await client.get(path="/-/ready", timeout_s=CHECK_TIMEOUT_S)
                is_ready = answer.status == HTTP_OK
            self.misses[place.vm] = 0 if is_ready else self.misses[place.vm] + 1
            await asyncio.sleep(CHECK_S)

    def pick(self, flow: FlowId, zone: str) -> VmPlace:
        """Return the VM that gets the packets of a flow from a caller in `zone`."""
        near = [place for place in self.places if place.zone == zone]
        ready = [place for place in near if self.misses[place.vm] < MISSES]
        if not ready:
            ready = [place for place in self.places if self.misses[place.vm] < MISSES]
        elif 2 * len(ready) < len(near):
            ready = near
        key = repr(flow).encode()
        return max(
            ready or self.places, key=lambda place: zlib.crc32(key + place.vm.encode() + key)
        )

    def send(self, flow: FlowId, zone: str, data: bytes) -> None:
        """Send a packet through the VM that the routers pick now."""
        self.send_to(self.pick(flow, zone), data)

    def send_to(self, place: VmPlace, data: bytes) -> None:
        """Send a packet through a certain VM; a full socket buffer loses it."""
        with contextlib.suppress(OSError):
            self._socket.sendto(data, (place.host, PACKET_PORT))

    def stop(self) -> None:
        """Close the socket."""
        self._socket.close()
