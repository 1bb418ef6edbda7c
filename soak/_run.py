"""One soak run: load, a seeded fault schedule, a fault-free phase and the checks."""

import asyncio
import itertools
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

from standins.store import FakeStore

from ._callers import Caller, RequestKind
from ._deployment import Deployment
from ._faults import Fault
from ._injector import Injector
from ._judge import RECOVERY_S, Finding, collect_findings
from ._layout import ZONES, Layout, reserve_block
from ._processes import VmProcesses
from ._records import Context, Outcome, Records
from ._relay import Relay
from ._router import Router

__all__ = ["SoakResult", "run_soak"]

VMS = 6
CALLERS = 6
START_TIMEOUT_S = 10.0
STEADY_S = 3.0
REQUEST_INTERVAL_S = 0.12
PROBE_INTERVAL_S = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class SoakResult:
    """Result of the run of one seed."""

    seed: int
    requests: int
    answered: int
    faults: tuple[Fault, ...]
    findings: list[Finding]


class _SoakRun:
    """The components of one run."""

    def __init__(self, *, seed: int, folder: Path, vms: int):
        start_s = time.monotonic()
        self.rng = Random(seed)
        block, self._block_lock = reserve_block(seed)
        self.layout = Layout(block=block, folder=folder)
        self.vm_specs = self.layout.list_vms(vms)
        self.context = Context(
            records=Records(),
            clock=lambda: time.monotonic() - start_s,
            vm_by_host={spec.host: spec.vm for spec in self.vm_specs},
        )
        self.store = FakeStore()
        self.relay: Relay | None = None
        self.processes = VmProcesses(layout=self.layout, context=self.context)
        self.router = Router(vm_specs=self.vm_specs)
        self.deployment = Deployment(store=self.store, layout=self.layout, context=self.context)
        self.callers = [
            Caller(
                host=self.layout.get_caller_host(number),
                zone=ZONES[number % len(ZONES)],
                router=self.router,
                context=self.context,
                rng=Random(seed * 1_000 + number),
            )
            for number in range(CALLERS)
        ]

    async def start(self) -> None:
        """Start all components."""
        await self.deployment.start()
        await self.store.start()
        self.relay = Relay(address=self.layout.relay_address, store=("127.0.0.1", self.store.port))
        await self.relay.start()
        seeds = [spec.host for spec in self.vm_specs[:3]]
        for spec in self.vm_specs:
            self.layout.write_settings(spec, seeds)
            self.processes.start(spec)
        for caller in self.callers:
            await caller.start()

    async def stop(self) -> None:
        """Stop all components, also if only some of them have been started."""
        self.processes.stop()
        if self.relay is not None:
            self.relay.stop()
        self.router.stop()
        for caller in self.callers:
            caller.stop()
        self.deployment.stop()
        await self.store.stop()
        self._block_lock.close()

    async def wait_until_ready(self) -> None:
        """Wait until the router finds every VM ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while any(self.router.failed_checks.values()):  # noqa: ASYNC110 - counts have no event
                await asyncio.sleep(0.1)

    async def inject(self, faults: tuple[Fault, ...]) -> None:
        """Inject the faults, then wait for the recovery and a fault-free phase."""
        injector = Injector(
            deployment=self.deployment,
            processes=self.processes,
            relay=self.relay,
            context=self.context,
        )
        await injector.run(faults)
        self.context.records.faults_end_s = self.context.clock()
        await asyncio.sleep(RECOVERY_S + STEADY_S)

    async def generate_load(self) -> None:
        """Generate load until cancelled: long flows, single requests and configuration probes."""
        async with asyncio.TaskGroup() as group:
            for caller, _ in itertools.product(self.callers, range(2)):
                group.create_task(caller.run_long_flow(self.deployment.routes.feeds))
            group.create_task(self._send_requests(group))
            group.create_task(self._send_probes(group))

    async def _send_requests(self, group: asyncio.TaskGroup) -> None:
        routes = self.deployment.routes
        choices = [
            (routes.feeds, RequestKind.IDEMPOTENT),
            (routes.reports, RequestKind.NON_IDEMPOTENT),
            (routes.scans, RequestKind.IDEMPOTENT),
        ]
        for caller in itertools.cycle(self.callers):
            group.create_task(caller.send_request(*self.rng.choice(choices)))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _send_probes(self, group: asyncio.TaskGroup) -> None:
        for caller, spec in zip(itertools.cycle(self.callers), itertools.cycle(self.vm_specs)):
            for route in self.deployment.list_probed_routes():
                group.create_task(caller.probe(route, spec))
            await asyncio.sleep(PROBE_INTERVAL_S / len(self.vm_specs))


async def run_soak(
    *, seed: int, faults: tuple[Fault, ...], folder: Path, vms: int = VMS
) -> SoakResult:
    """Run load and faults; a fault-free phase follows.

    Parameters
    ----------
    seed : int
        Seed of the load.
    faults : tuple of Fault
        The faults, in the order of their times.
    folder : Path
        Existing folder for the settings and logs of the VMs.
    vms : int
        Number of VM processes.

    Returns
    -------
    SoakResult
    """
    run = _SoakRun(seed=seed, folder=folder, vms=vms)
    tasks: list[asyncio.Task] = []
    try:
        await run.start()
        tasks = [asyncio.create_task(step()) for step in (run.processes.watch, run.router.run)]
        await run.wait_until_ready()
        tasks.append(asyncio.create_task(run.generate_load()))
        await run.inject(faults)
        _check_tasks(tasks)
    except TimeoutError:
        run.context.records.violations.append(
            f"not all VMs are ready {START_TIMEOUT_S} s after their start"
        )
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await run.stop()
    results = run.context.records.results
    return SoakResult(
        seed=seed,
        requests=len(results),
        answered=sum(result.outcome is Outcome.ANSWERED for result in results),
        faults=faults,
        findings=collect_findings(run.context.records),
    )


def _check_tasks(tasks: list[asyncio.Task]) -> None:
    """Raise the exception of a background task that has ended early."""
    for task in tasks:
        if task.done():
            task.result()
