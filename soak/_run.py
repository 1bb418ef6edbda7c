"""One run: load, faults from a seed, a calm end, and the judgement."""

import asyncio
import itertools
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

from standins.store import FakeStore

from ._callers import Caller, RequestKind
from ._faults import Fault, draw_faults
from ._injector import Injector
from ._judge import RECOVERY_S, Finding, judge
from ._layout import ZONES, Layout
from ._processes import VmProcesses
from ._records import Context, Outcome, Records
from ._relay import Relay
from ._router import Router
from ._world import World

__all__ = ["SoakResult", "run_soak"]

VMS = 6
CALLERS = 6
START_TIMEOUT_S = 10.0
CALM_S = 3.0
ONCE_EVERY_S = 0.12
PROBE_EVERY_S = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class SoakResult:
    """What one seed showed."""

    seed: int
    asked: int
    answered: int
    faults: tuple[Fault, ...]
    findings: list[Finding]


class _Run:
    """The parts of one run."""

    def __init__(self, *, seed: int, folder: Path, vms: int):
        start_s = time.monotonic()
        self.rng = Random(seed)
        self.layout = Layout(block=seed, folder=folder)
        self.places = self.layout.list_vms(vms)
        self.context = Context(
            records=Records(),
            clock=lambda: time.monotonic() - start_s,
            vm_by_host={place.host: place.vm for place in self.places},
        )
        self.store = FakeStore()
        self.processes = VmProcesses(layout=self.layout, context=self.context)
        self.router = Router(places=self.places)
        self.world = World(store=self.store, layout=self.layout, context=self.context)
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

    async def start(self) -> Relay:
        """Start all parts and wait until every VM is in rotation."""
        await self.world.start()
        await self.store.start()
        relay = Relay(address=self.layout.store, store=("127.0.0.1", self.store.port))
        await relay.start()
        seeds = [place.host for place in self.places[:3]]
        for place in self.places:
            self.layout.write_settings(place, seeds)
            self.processes.start(place)
        for caller in self.callers:
            await caller.start()
        return relay

    async def wait_until_ready(self) -> None:
        """Wait until the routers use every VM."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while any(self.router.misses.values()):  # noqa: ASYNC110 - counts have no event
                await asyncio.sleep(0.1)

    def note(self, violation: str) -> None:
        """Add what is wrong at first sight."""
        self.context.records.violations.append(violation)

    async def inject(self, faults: tuple[Fault, ...], relay: Relay) -> None:
        """Carry out the faults and leave time for the recovery and a calm end."""
        injector = Injector(
            world=self.world,
            processes=self.processes,
            relay=relay,
            context=self.context,
        )
        await injector.run(faults)
        self.context.records.faults_end_s = self.context.clock()
        await asyncio.sleep(RECOVERY_S + CALM_S)

    async def put_load(self) -> None:
        """Ask for ever: long flows, single requests of both kinds, and probes of versions."""
        async with asyncio.TaskGroup() as group:
            for caller, _ in itertools.product(self.callers, range(2)):
                group.create_task(caller.ask_often(self.world.routes.feeds))
            group.create_task(self._ask_once_often(group))
            group.create_task(self._probe_often(group))

    async def _ask_once_often(self, group: asyncio.TaskGroup) -> None:
        routes = self.world.routes
        choices = [
            (routes.feeds, RequestKind.IDEMPOTENT),
            (routes.reports, RequestKind.NON_IDEMPOTENT),
            (routes.scans, RequestKind.IDEMPOTENT),
        ]
        for caller in itertools.cycle(self.callers):
            group.create_task(caller.ask_once(*self.rng.choice(choices)))
            await asyncio.sleep(ONCE_EVERY_S)

    async def _probe_often(self, group: asyncio.TaskGroup) -> None:
        for caller, place in zip(itertools.cycle(self.callers), itertools.cycle(self.places)):
            for route in self.world.list_probed():
                group.create_task(caller.probe(route, place))
            await asyncio.sleep(PROBE_EVERY_S / len(self.places))


async def run_soak(*, seed: int, length_s: float, folder: Path, vms: int = VMS) -> SoakResult:
    """Run one seed.

    Parameters
    ----------
    seed : int
        Chooses faults and load.
    length_s : float
        Time with faults, in seconds; a calm end follows.
    folder : Path
        Settings and logs of the VMs; has to exist.
    vms : int
        Number of VM processes.

    Returns
    -------
    SoakResult
    """
    run = _Run(seed=seed, folder=folder, vms=vms)
    faults = draw_faults(seed=seed, length_s=length_s)
    tasks: list[asyncio.Task] = []
    relay = await run.start()
    try:
        tasks = [asyncio.create_task(step()) for step in (run.processes.watch, run.router.run)]
        await run.wait_until_ready()
        tasks.append(asyncio.create_task(run.put_load()))
        await run.inject(faults, relay)
        _check_tasks(tasks)
    except TimeoutError:
        run.context.records.violations.append(
            f"not all VMs serve {START_TIMEOUT_S} s after their start"
        )
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        run.processes.stop()
        relay.stop()
        run.router.stop()
        for caller in run.callers:
            caller.stop()
        run.world.stop()
        await run.store.stop()
    answers = run.context.records.answers
    return SoakResult(
        seed=seed,
        asked=len(answers),
        answered=sum(answer.outcome is Outcome.ANSWERED for answer in answers),
        faults=faults,
        findings=judge(run.context.records),
    )


def _check_tasks(tasks: list[asyncio.Task]) -> None:
    """Raise the error of a part of the run that has ended before its time."""
    for task in tasks:
        if task.done():
            task.result()
