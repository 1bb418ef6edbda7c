"""A requester uses its ports again, and machines send the new flows to where the old ones went, though
that endpoint has been draining for longer than `drainMs`.

The machines missed the end of the old flows: they carried them only while a neighbour was restarted.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab2"))

from lab import TROUBLE, add_small_service, open_flows, run_case  # noqa: E402

ROUTE = ("127.250.0.1", 8443)
ROLLED = "front-tw-north-a-1"
STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
PORTS = range(40_001, 40_061)


async def play(lab):
    lab.write_config(7, [("r-reports", *ROUTE, "unsafe", "atelier")], ["atelier"])
    await lab.start()
    endpoints = await add_small_service(lab, "atelier")
    requester = await lab.add_requester(1, "tw-north-a")
    await lab.wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)

    lab.record.add("== flows are opened, and carry a request each")
    flows = await open_flows(requester, ROUTE, PORTS)
    await asyncio.gather(*(flow.request("POST") for flow in flows))

    vm = lab.vms[ROLLED]
    restart = await roll(lab, vm)
    lab.record.add("== meanwhile the flows carry a second request each")
    await asyncio.gather(*(flow.request("POST") for flow in flows))
    await finish(lab, vm, restart)
    lab.record.add("== the flows carry a third request each and are closed by both ends")
    await asyncio.gather(*(flow.request("POST") for flow in flows))
    closed = await asyncio.gather(*(flow.close() for flow in flows))
    lab.record.add(f"{sum(closed)} of {len(flows)} flows closed by both ends")

    leaving = endpoints[0]
    lab.record.add(f"== {leaving.name} is emptied (scale_in)")
    leaving.drain()
    await asyncio.sleep(DRAIN_S)
    restart = await roll(lab, vm)
    lab.record.add("== new flows from the same ports, with a request each")
    flows = await open_flows(requester, ROUTE, PORTS)
    await asyncio.gather(*(flow.request("POST") for flow in flows))
    await asyncio.gather(*(flow.close() for flow in flows))
    await finish(lab, vm, restart)
    judge(lab, leaving)


async def roll(lab, vm):
    """Stop a machine and start it again; return once the routers have taken it out of rotation."""
    if not TROUBLE:
        lab.record.add("== no trouble")
        return asyncio.create_task(asyncio.sleep(2.5))
    lab.record.add(f"== {vm.name} is stopped and started again (roll_term)")
    restart = asyncio.create_task(vm.restart(signal.SIGTERM))
    while lab.router.misses[vm.name] < 2:
        await asyncio.sleep(0.01)
    return restart


async def finish(lab, vm, restart):
    """Wait until the machine is back in rotation."""
    await restart
    while lab.router.misses[vm.name]:
        await asyncio.sleep(0.01)


def judge(lab, leaving):
    """DRAIN: no opening packet at the endpoint later than drainMs after the store's confirmation."""
    for at_s, sent_s, endpoint, key, vm in lab.openings:
        if endpoint is not leaving or vm not in lab.vms:
            continue
        late_s = at_s - leaving.drain_confirmed_s
        if late_s > DRAIN_S and lab.vms[vm].is_calm(at_s - STABLE_WINDOW_S, at_s):
            ran = any(e is leaving and k == key and t >= at_s for t, e, k, _ in lab.runs)
            lab.violation(
                "DRAIN",
                f"{leaving.name} got the opening of {lab.flow_text(key)} from {vm}"
                f" {late_s:.2f} s after the store confirmed that it drains"
                f" (sent {at_s - sent_s:.3f} s before; its request {'ran' if ran else 'did not run'})",
            )


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
