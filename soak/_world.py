"""Targets, routes and the configuration of a run, and what the store says of them."""

import asyncio
import itertools
from dataclasses import dataclass

from standins.store import FakeStore

from ._layout import ZONES, Layout
from ._records import Context
from ._targets import Target, TargetState

__all__ = ["Routes", "World"]

ROUTE_HOST = "198.18.0.1"
CONFIG_KEY = "op/config"
TARGET_PORT = 8600
FEEDS, SCANS = "feeds", "scans"
FIRST_ADDED_PORT = 2_000
# A route that went is probed for some time, to see that no VM serves it again.
PROBED_ROUTES = 3
REUSE_AFTER_S = 2.0
DRAIN_S = 3.0
EXIT_MARGIN_S = 0.5
FIRST_TARGETS = ((FEEDS, 5), (SCANS, 2))


@dataclass(frozen=True, kw_only=True, slots=True)
class Routes:
    """Routes that are there during the whole run."""

    feeds: tuple[str, int] = (ROUTE_HOST, 443)
    reports: tuple[str, int] = (ROUTE_HOST, 8443)
    scans: tuple[str, int] = (ROUTE_HOST, 8080)


class World:
    """Owner of the targets and of the operator's configuration.

    Parameters
    ----------
    store : FakeStore
    layout : Layout
    context : Context
    """

    def __init__(
        self,
        *,
        store: FakeStore,
        layout: Layout,
        context: Context,
    ):
        self.store = store
        self.layout = layout
        self.context = context
        self.records = context.records
        self.clock = context.clock
        self.routes = Routes()
        self.targets: list[Target] = []
        self._retired: list[Target] = []
        self._added: list[int] = []
        self._removed: list[int] = []
        # Names of the targets whose records the store has.
        self._listed: set[str] = set()
        self._version = 0
        self._names = (f"i-{0xA0 + n:010x}" for n in itertools.count())
        self._ports = itertools.count(FIRST_ADDED_PORT)

    async def start(self) -> None:
        """Start the first targets and publish the first configuration."""
        self.publish()
        for service, count in FIRST_TARGETS:
            for _ in range(count):
                await self.add_target(service)

    def stop(self) -> None:
        """Close all targets."""
        for target in (*self.targets, *self._retired):
            target.stop()

    # Configuration

    def publish(self) -> None:
        """Write the next version."""
        self._version += 1
        fixed = [
            (self.routes.feeds, "safe", FEEDS),
            (self.routes.reports, "unsafe", FEEDS),
            (self.routes.scans, "download", SCANS),
        ]
        added = [((ROUTE_HOST, port), "safe", FEEDS) for port in self._added]
        routes = [
            {
                "name": f"r-{port}",
                "host": host,
                "prefix": f"/{port}/",
                "type": kind,
                "service": service,
            }
            for (host, port), kind, service in (*fixed, *added)
        ]
        for route in routes:
            self.records.allowed[int(route["prefix"].strip("/"))].add(route["service"])
        limits = {"idleTimeoutMs": 15_000}
        self.store.put(CONFIG_KEY, {"version": self._version, "routes": routes, "limits": limits})

    def add_route(self) -> None:
        """Publish a version with one route more."""
        port = next(self._ports)
        self._added.append(port)
        self.publish()
        self.records.added_s[port] = self.clock()

    def remove_route(self) -> None:
        """Publish a version without the oldest of the added routes."""
        if not self._added:
            return
        port = self._added.pop(0)
        self._removed.append(port)
        self.publish()
        self.records.removed_s[port] = self.clock()

    def list_probed(self) -> list[tuple[str, int]]:
        """Return the newest routes that came and went."""
        ports = [*self._added[-PROBED_ROUTES:], *self._removed[-PROBED_ROUTES:]]
        return [(ROUTE_HOST, port) for port in ports]

    # Targets

    def list_live(self, service: str) -> list[Target]:
        """Return the targets of a service that serve and stay."""
        return [
            target
            for target in self.targets
            if target.service == service
            and target.state is TargetState.SERVING
            and not target.is_draining
        ]

    async def add_target(self, service: str, *, place: tuple[str, int] | None = None) -> None:
        """Start a target, at an address of its own or at that of a target that is gone."""
        number = len(self.targets) + len(self._retired)
        host, port = place or (self.layout.get_target_host(number), TARGET_PORT)
        target = Target(
            name=next(self._names),
            host=host,
            port=port,
            service=service,
            zone=ZONES[number % len(ZONES)],
            context=self.context,
        )
        await target.start()
        self.targets.append(target)
        self._write(target)

    def _write(self, target: Target) -> None:
        self._listed.add(target.name)
        self.store.put(f"servers/{target.name}", target.build_record())

    def _delete(self, target: Target) -> None:
        if target.name in self._listed:
            self._listed.remove(target.name)
            self.store.delete(f"servers/{target.name}")

    def disturb(self, target: Target, for_s: float = float("inf")) -> None:
        """Note that a target is in trouble from now on."""
        now_s = self.clock()
        self.records.disturbed[target.name].append((now_s, now_s + for_s))

    def retire(self, target: Target) -> None:
        """Take a target out of the store and of the world."""
        if target in self.targets:
            self.targets.remove(target)
            self._retired.append(target)
            self._delete(target)

    async def drain(self, target: Target) -> None:
        """Let a target leave as planned."""
        target.is_draining = True
        self._write(target)
        self.records.draining_s[target.name] = self.clock()
        await asyncio.sleep(DRAIN_S + EXIT_MARGIN_S)
        self.disturb(target)
        target.end()
        self.retire(target)

    async def reuse(self, target: Target, service: str) -> None:
        """Give the address of a target that crashed to a target of another service."""
        self.disturb(target)
        target.stop()
        self.retire(target)
        await asyncio.sleep(REUSE_AFTER_S)
        await self.add_target(service, place=(target.host, target.port))

    async def lapse(self, targets: list[Target], for_s: float) -> None:
        """Lose the records of targets that live, and write them again after a while."""
        for target in targets:
            self._delete(target)
        await asyncio.sleep(for_s)
        for target in targets:
            if target in self.targets:
                self._write(target)
