"""Targets and routes of a run, with their records and configuration in the store."""

import asyncio
import itertools
from dataclasses import dataclass

from standins.store import FakeStore

from ._layout import ZONES, Layout
from ._records import Context, Evacuation
from ._targets import Target, TargetState

__all__ = ["Deployment", "Routes"]

ROUTE_HOST = "198.18.0.1"
CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PORT = 8600
FEEDS, SCANS = "feeds", "scans"
FIRST_ADDED_PORT = 2_000
# The newest removed routes are still probed, to check that no VM serves them again.
PROBED_ROUTES = 3
REUSE_DELAY_S = 2.0
DRAIN_S = 3.0
EXIT_MARGIN_S = 0.5
INITIAL_TARGETS = ((FEEDS, 5), (SCANS, 2))


@dataclass(frozen=True, kw_only=True, slots=True)
class Routes:
    """Routes that exist during the whole run."""

    feeds: tuple[str, int] = (ROUTE_HOST, 443)
    reports: tuple[str, int] = (ROUTE_HOST, 8443)
    scans: tuple[str, int] = (ROUTE_HOST, 8080)


class Deployment:
    """Manages the targets and the operator's configuration.

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
        self.evacuated_zones: dict[str, Evacuation] = {}
        self.clock = context.clock
        self.routes = Routes()
        self.targets: list[Target] = []
        self._retired: list[Target] = []
        self._added_ports: list[int] = []
        self._removed_ports: list[int] = []
        # Names of the targets that have a record in the store.
        self._stored_names: set[str] = set()
        self._version = 0
        self._target_names = (f"i-{0xA0 + n:010x}" for n in itertools.count())
        self._route_ports = itertools.count(FIRST_ADDED_PORT)

    async def start(self) -> None:
        """Publish the first configuration and start the initial targets."""
        self.publish()
        for service, count in INITIAL_TARGETS:
            for _ in range(count):
                await self.add_target(service)

    def stop(self) -> None:
        """Stop all targets."""
        for target in (*self.targets, *self._retired):
            target.stop()

    # Configuration

    def publish(self) -> None:
        """Publish the next version of the configuration."""
        self._version += 1
        self._write_config()

    def _write_config(self) -> None:
        fixed = [
            (self.routes.feeds, "safe", FEEDS),
            (self.routes.reports, "unsafe", FEEDS),
            (self.routes.scans, "download", SCANS),
        ]
        added = [((ROUTE_HOST, port), "safe", FEEDS) for port in self._added_ports]
        routes = [
            {
                "name": f"r-{port}",
                "host": host,
                "prefix": f"/{port}/",
                "type": route_type,
                "service": service,
            }
            for (host, port), route_type, service in (*fixed, *added)
        ]
        for route in routes:
            self.records.allowed_services[int(route["prefix"].strip("/"))].add(route["service"])
        limits = {"idleTimeoutMs": 15_000}
        self.store.put(CONFIG_KEY, {"version": self._version, "routes": routes, "limits": limits})

    def add_route(self) -> None:
        """Publish a version with one more route."""
        port = next(self._route_ports)
        self._added_ports.append(port)
        self.publish()
        self.records.route_added_s[port] = self.clock()

    def remove_route(self) -> None:
        """Publish a version without the oldest added route."""
        if not self._added_ports:
            return
        port = self._added_ports.pop(0)
        self._removed_ports.append(port)
        self.publish()
        self.records.route_removed_s[port] = self.clock()

    def list_probed_routes(self) -> list[tuple[str, int]]:
        """Return the most recently added and removed routes."""
        ports = [*self._added_ports[-PROBED_ROUTES:], *self._removed_ports[-PROBED_ROUTES:]]
        return [(ROUTE_HOST, port) for port in ports]

    def evacuate(self, zone: str) -> None:
        """Ask that the targets of a zone get no new flows."""
        self.evacuated_zones[zone] = Evacuation(zone=zone, start_s=self.clock())
        self.records.evacuations.append(self.evacuated_zones[zone])
        self.store.put(f"{EVACUATION_PREFIX}{zone}", {})

    def end_evacuation(self, zone: str) -> None:
        """Take an evacuation back."""
        self.evacuated_zones.pop(zone).end_s = self.clock()
        self._delete_key(f"{EVACUATION_PREFIX}{zone}")

    # Targets

    def list_available_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that are serving and not draining."""
        return [
            target
            for target in self.targets
            if target.service == service
            and target.state is TargetState.SERVING
            and not target.is_draining
        ]

    async def add_target(self, service: str, *, address: tuple[str, int] | None = None) -> None:
        """Start a target at a new address, or at `address` if a stopped target has released it."""
        number = len(self.targets) + len(self._retired)
        host, port = address or (self.layout.get_target_host(number), TARGET_PORT)
        target = Target(
            name=next(self._target_names),
            host=host,
            port=port,
            service=service,
            zone=ZONES[number % len(ZONES)],
            context=self.context,
        )
        self.context.target_by_address[host, port] = target.name
        self.records.target_zones[target.name] = target.zone
        await target.start()
        self.targets.append(target)
        self._put_record(target)

    def _put_record(self, target: Target) -> None:
        self._stored_names.add(target.name)
        self.store.put(f"servers/{target.name}", target.build_record())

    def _delete_record(self, target: Target) -> None:
        if target.name in self._stored_names:
            self._stored_names.remove(target.name)
            self._delete_key(f"servers/{target.name}")

    def _delete_key(self, key: str) -> None:
        # A restored store may lack what was written before.
        if self.store.has_key(key):
            self.store.delete(key)

    def write_config_again(self) -> None:
        """Write what the operator wrote to a restored store, which may hold an older state."""
        self._write_config()
        for zone in ZONES:
            key = f"{EVACUATION_PREFIX}{zone}"
            if zone not in self.evacuated_zones:
                self._delete_key(key)
            elif not self.store.has_key(key):
                self.store.put(key, {})

    def write_records_again(self) -> None:
        """Write the records of targets to a restored store, which may lack them."""
        for target in self.targets:
            if target.name in self._stored_names:
                self._put_record(target)

    def expire_gone(self) -> None:
        """Delete the records of targets that have left, which a restored store holds again."""
        stored = {f"servers/{name}" for name in self._stored_names}
        for key in self.store.list_keys("servers/"):
            if key not in stored:
                self.store.delete(key)

    def record_disturbance(self, target: Target, duration_s: float = float("inf")) -> None:
        """Record a disturbance of a target that starts now."""
        now_s = self.clock()
        self.records.disturbances[target.name].append((now_s, now_s + duration_s))

    def retire(self, target: Target) -> None:
        """Remove a target and its record."""
        if target in self.targets:
            self.targets.remove(target)
            self._retired.append(target)
            self._delete_record(target)

    async def drain(self, target: Target) -> None:
        """Drain a target, then end and remove it."""
        target.is_draining = True
        self._put_record(target)
        self.records.drain_started_s[target.name] = self.clock()
        await asyncio.sleep(DRAIN_S + EXIT_MARGIN_S)
        self.record_disturbance(target)
        target.end()
        self.retire(target)

    async def reuse_address(self, target: Target, service: str) -> None:
        """Stop a target and give its address to a new target of another service."""
        self.record_disturbance(target)
        target.stop()
        self.retire(target)
        await asyncio.sleep(REUSE_DELAY_S)
        await self.add_target(service, address=(target.host, target.port))

    async def expire_records(self, targets: list[Target], duration_s: float) -> None:
        """Delete the records of live targets and write them again after `duration_s`."""
        for target in targets:
            self._delete_record(target)
        await asyncio.sleep(duration_s)
        for target in targets:
            if target in self.targets:
                self._put_record(target)
