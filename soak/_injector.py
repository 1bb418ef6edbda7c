"""Injects the faults of a run, each in its own task, as they may overlap."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

from standins.store import StoreFault

from ._cuts import CutList, list_cut_links
from ._deployment import FEEDS, SCANS, Deployment
from ._faults import Fault, FaultKind
from ._layout import GRACE_S, ZONES
from ._processes import VmProcesses
from ._records import Context, Subject
from ._relay import LinkFault, Relay
from ._targets import Target, TargetState

__all__ = ["Injector"]

# The store deletes the record of a target this long after the target stops renewing it.
LEASE_S = 3.0
# Targets whose records lapsed during a store outage write them again within 2 s of its end.
RENEWAL_DELAY_S = 1.5
# Age of the copy from which the store comes back.
MIN_COPY_AGE_S, MAX_COPY_AGE_S = 1, 9
# Versions that a restore loses at least, so that the next changes repeat revisions, and the time in
# which VMs read these versions before.
LOST_VERSIONS = 3
LOST_VERSIONS_READ_S = 0.6
STORM_CHANGES = 8
STORM_GAP_S = 0.1
MIN_LIVE_TARGETS = {FEEDS: 3, SCANS: 1}
T = TypeVar("T")


def _pick(items: list[T], number: int) -> T | None:
    return items[number % len(items)] if items else None


class Injector:
    """Applies faults to the VM processes, the store, the link to it, the targets and the routes.

    Parameters
    ----------
    deployment : Deployment
    processes : VmProcesses
    relay : Relay
    context : Context
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        processes: VmProcesses,
        relay: Relay,
        context: Context,
    ):
        self.deployment = deployment
        self.processes = processes
        self.relay = relay
        self.records = context.records
        self.clock = context.clock
        self._cuts = CutList(path=deployment.layout.cuts_path)
        self._store_fault_count = 0
        self._started_s = self.deployment.store.clock()
        self._link_faults = {
            FaultKind.LINK_RESET: LinkFault.RESET,
            FaultKind.LINK_SILENT: LinkFault.SILENT,
            FaultKind.LINK_ONE_WAY: LinkFault.ONE_WAY,
            FaultKind.LINK_SLOW: LinkFault.SLOW,
        }
        self._actions: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.VM_KILL: self._kill,
            FaultKind.VM_TERM: self._terminate,
            FaultKind.VM_PAUSE: self._pause,
            FaultKind.VM_RELOAD: self._reload,
            FaultKind.VM_RESTART_ALL: self._restart_all,
            FaultKind.VM_CUT: self._cut,
            FaultKind.VM_CUT_ONE_WAY: self._cut,
            FaultKind.TARGET_CRASH: self._crash,
            FaultKind.TARGET_DARK: self._make_unresponsive,
            FaultKind.TARGET_DRAIN: self._drain,
            FaultKind.TARGET_REUSE: self._reuse_address,
            FaultKind.TARGET_ADD: self._add_target,
            FaultKind.STORE_BUSY: self._refuse_reads,
            FaultKind.STORE_LAPSE: self._expire_records,
            FaultKind.STORE_FORGET: self._drop_history,
            FaultKind.STORE_RESTORE: self._restore_store,
            FaultKind.CONFIG_ADD: self._add_route,
            FaultKind.CONFIG_REMOVE: self._remove_route,
            FaultKind.CONFIG_STORM: self._publish_storm,
            FaultKind.ZONE_EVACUATE: self._evacuate_zone,
            **dict.fromkeys(self._link_faults, self._disturb_link),
        }

    async def run(self, faults: Iterable[Fault]) -> None:
        """Inject the faults at their times and return when all have ended."""
        start_s = self.clock()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                await asyncio.sleep(max(0.0, start_s + fault.at_s - self.clock()))
                group.create_task(self._actions[fault.kind](fault))

    def _pick_vm(self, fault: Fault) -> str:
        return _pick(sorted(self.processes.vm_specs), fault.selector)

    def _pick_target(self, fault: Fault) -> Target | None:
        """Return a target of a service with enough others left, or None."""
        service = SCANS if fault.selector % 5 == 0 else FEEDS
        live = self.deployment.list_available_targets(service)
        return _pick(live, fault.selector) if len(live) > MIN_LIVE_TARGETS[service] else None

    # VMs

    async def _kill(self, fault: Fault) -> None:
        self.processes.kill(self._pick_vm(fault))

    async def _terminate(self, fault: Fault) -> None:
        self.processes.terminate(self._pick_vm(fault))
        await asyncio.sleep(GRACE_S)

    async def _pause(self, fault: Fault) -> None:
        await self.processes.pause(self._pick_vm(fault), fault.duration_s)

    async def _reload(self, fault: Fault) -> None:
        vm = self._pick_vm(fault)
        layout = self.deployment.layout
        layout.write_settings(
            self.processes.vm_specs[vm], [], grace_s=GRACE_S - fault.duration_s / 10
        )
        if fault.selector % 2:
            self.processes.reload(vm)

    async def _restart_all(self, fault: Fault) -> None:
        for vm in self.processes.vm_specs:
            self.processes.kill(vm)

    async def _cut(self, fault: Fault) -> None:
        """Cut one VM, or all VMs of a zone, off from the other VMs."""
        specs = self.processes.vm_specs
        chosen = specs[self._pick_vm(fault)]
        is_zone = fault.selector % 2 == 0
        inside = {
            s.vm for s in specs.values() if s == chosen or (is_zone and s.zone == chosen.zone)
        }
        links = list_cut_links(
            [specs[vm].host for vm in inside],
            [spec.host for vm, spec in specs.items() if vm not in inside],
            one_way=fault.kind is FaultKind.VM_CUT_ONE_WAY,
        )
        for vm in inside:
            self.processes.record_disturbance(vm, fault.duration_s)
        self._cuts.start(links)
        await asyncio.sleep(fault.duration_s)
        self._cuts.end(links)

    # Targets

    async def _crash(self, fault: Fault) -> None:
        target = self._pick_target(fault)
        if target is None:
            return
        self.deployment.record_disturbance(target)
        target.end()
        await self._replace_target(target)

    async def _make_unresponsive(self, fault: Fault) -> None:
        target = self._pick_target(fault)
        if target is None:
            return
        self.deployment.record_disturbance(target)
        target.state = TargetState.UNRESPONSIVE
        await self._replace_target(target)

    async def _replace_target(self, target: Target) -> None:
        await asyncio.sleep(LEASE_S)
        self.deployment.retire(target)
        await self.deployment.add_target(target.service)

    async def _drain(self, fault: Fault) -> None:
        target = self._pick_target(fault)
        if target is None:
            return
        await self.deployment.add_target(target.service)
        await self.deployment.drain(target)

    async def _reuse_address(self, fault: Fault) -> None:
        target = self._pick_target(fault)
        if target is not None:
            await self.deployment.reuse_address(target, SCANS if target.service == FEEDS else FEEDS)

    async def _add_target(self, fault: Fault) -> None:
        await self.deployment.add_target(FEEDS)

    # Store and the link to it

    async def _disturb_store(self, duration_s: float) -> None:
        """Record a disturbance of the store and wait until it ends."""
        now_s = self.clock()
        self.records.disturbances[Subject.STORE].append((now_s, now_s + duration_s))
        await asyncio.sleep(duration_s)

    async def _refuse_reads(self, fault: Fault) -> None:
        self._store_fault_count += 1
        self.deployment.store.fault = StoreFault.BUSY
        await self._disturb_store(fault.duration_s)
        self._store_fault_count -= 1
        if not self._store_fault_count:
            self.deployment.store.fault = StoreFault.NONE

    async def _expire_records(self, fault: Fault) -> None:
        targets = [t for t in self.deployment.targets if t.state is TargetState.SERVING]
        chosen = targets[:: 1 + fault.selector % 3]
        async with asyncio.TaskGroup() as group:
            group.create_task(self._refuse_reads(fault))
            group.create_task(
                self.deployment.expire_records(chosen, fault.duration_s + RENEWAL_DELAY_S)
            )

    async def _drop_history(self, fault: Fault) -> None:
        self.deployment.store.drop_history()

    async def _restore_store(self, fault: Fault) -> None:
        """Bring an older copy back; what was written since is written again, some time later.

        The next change of the configuration may follow at once, and so get a repeated revision.
        """
        store = self.deployment.store
        age_s = MIN_COPY_AGE_S + fault.selector % MAX_COPY_AGE_S
        # The first configuration was written before all copies.
        copied_s = max(store.clock() - age_s, self._started_s)
        for _ in range(LOST_VERSIONS):
            self.deployment.add_route()
        await asyncio.sleep(LOST_VERSIONS_READ_S)
        store.restore(at_s=copied_s)
        await self._refuse_reads(fault)
        delay_s = RENEWAL_DELAY_S * (fault.selector % 4) / 3
        # The operator may write before the targets do.
        config_delay_s = delay_s if fault.selector % 8 < 4 else 0.0
        await asyncio.sleep(config_delay_s)
        self.deployment.write_config_again()
        changes = (self.deployment.remove_route, self.deployment.add_route, lambda: None)
        changes[fault.selector % len(changes)]()
        await asyncio.sleep(delay_s - config_delay_s)
        self.deployment.write_records_again()
        await asyncio.sleep(LEASE_S - delay_s)
        self.deployment.expire_gone()

    async def _disturb_link(self, fault: Fault) -> None:
        link_fault = self._link_faults[fault.kind]
        self.relay.start_fault(link_fault)
        await self._disturb_store(fault.duration_s)
        self.relay.end_fault(link_fault)

    # Operator

    async def _add_route(self, fault: Fault) -> None:
        self.deployment.add_route()

    async def _remove_route(self, fault: Fault) -> None:
        self.deployment.remove_route()

    async def _evacuate_zone(self, fault: Fault) -> None:
        zone = ZONES[fault.selector % len(ZONES)]
        if zone in self.deployment.evacuated_zones:
            return
        self.deployment.evacuate(zone)
        await asyncio.sleep(fault.duration_s)
        self.deployment.end_evacuation(zone)

    async def _publish_storm(self, fault: Fault) -> None:
        for number in range(STORM_CHANGES):
            if number % 2:
                self.deployment.add_route()
            else:
                self.deployment.publish()
            await asyncio.sleep(STORM_GAP_S)
