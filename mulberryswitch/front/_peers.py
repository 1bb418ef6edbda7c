"""The task that speaks with the other VMs: membership, announcements and loads."""

import asyncio
import heapq
import logging
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random

from mulberryswitch.contracts import (
    FEED_CODEC,
    DecodeError,
    FeedAnnounce,
    LoadEntry,
    LoadShare,
    TargetDoubt,
    TargetSilent,
    ZoneLoads,
)
from mulberryswitch.directory import Directory, Feed, Source
from mulberryswitch.forwarding import (
    TargetHealth,
    TargetLoads,
    get_load_period_s,
    subtract_entries,
)
from mulberryswitch.transport import DatagramSocket, parse_host_port
from mulberryswitch.vms import Member, Membership, pick_readers

from ._pulls import Pulls, pack_records, unpack_records
from ._settings import Address, FrontSettings

__all__ = ["Peers"]

TICK_S = 0.1
ANNOUNCE_S = 0.3
ASK_S = 0.2
# Changes that fit into a datagram beside the loads are told with the announcement.
MAX_INLINE_BYTES = 800
ASKED_PEERS = 3
MAX_LOGGED_NAMES = 10
# Entries of one datagram; the busiest targets matter most.
MAX_LOAD_ENTRIES = 100
# Names the sum over all other zones in an announcement to the own zone.
OTHER_ZONES = ""

log = logging.getLogger("peers")


class Peers:
    """Owner of the sockets to other VMs.

    Parameters
    ----------
    settings : FrontSettings
    directory : Directory
    loads : TargetLoads
    get_confirmed_s : callable
        Returns when this VM last read the store, None if never.
    report_change : callable
        Called after the directory has changed.
    count : callable
        ``count(name, amount)`` adds to a counter.
    rng : Random
    clock : callable
        Returns seconds that never go back.
    """

    def __init__(
        self,
        *,
        settings: FrontSettings,
        directory: Directory,
        loads: TargetLoads,
        get_confirmed_s: Callable[[], float | None],
        report_change: Callable[[], None],
        count: Callable[[str, int], None],
        rng: Random,
        clock: Callable[[], float],
    ):
        self.settings = settings
        self.directory = directory
        self.loads = loads
        self.get_confirmed_s = get_confirmed_s
        self.report_change = report_change
        self.count = count
        self.rng = rng
        self.clock = clock
        self.fleet = "{}:{}".format(*settings.store_address)
        self.feed = Feed(vm=settings.vm, zone=settings.zone)
        self.membership = Membership(
            vm=settings.vm,
            zone=settings.zone,
            address="{}:{}".format(*settings.peer_address),
            incarnation=int(time.time() * 1000),
        )
        self._socket = DatagramSocket(
            host=settings.peer_address.host,
            port=settings.peer_address.port,
            receive=self._receive,
        )
        self.pulls = Pulls(
            address=settings.peer_address,
            fleet=self.fleet,
            directory=directory,
            feed=self.feed,
            report_change=report_change,
            count=count,
            clock=clock,
        )
        self._announced_s = float("-inf")
        self._announced_revision = 0
        self._loads_due_s: dict[str, float] = {}
        self._share_due_s = float("-inf")
        self._asked_s = float("-inf")
        self._was_reader = False
        self._members: tuple[Member, ...] = ()

    # Decisions that others ask for

    def is_reader(self) -> bool:
        """Return whether this VM has to read the store now."""
        is_reader = self.feed.is_reader(
            members=self.membership.live(), revision=self.directory.revision, now_s=self.clock()
        )
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            log.info(
                "reads the store" if is_reader else "learns from peers",
                extra={
                    "members": len(self.membership.live()),
                    "revision": self.directory.revision,
                },
            )
        return is_reader

    def get_confirmed_age_s(self) -> float:
        """Return how long ago the store confirmed this VM's revision to it or to a peer."""
        now_s = self.clock()
        own_s = self.get_confirmed_s()
        heard_s = self.feed.get_confirmed_s(self.directory.revision)
        return now_s - max(heard_s, float("-inf") if own_s is None else own_s)

    # Task

    async def start(self) -> None:
        """Open the sockets."""
        self._socket.start()
        await self.pulls.start()
        self.apply_seeds(self.settings.seeds)

    def apply_seeds(self, seeds: Iterable[Address]) -> None:
        """Take over the seeds of the settings."""
        addresses = ["{}:{}".format(*seed) for seed in seeds]
        self.membership.observe_seeds(addresses=addresses, now_s=self.clock())

    async def run(self) -> None:
        """Announce, share and pull for ever."""
        while True:
            await asyncio.sleep(TICK_S)
            now_s = self.clock()
            self._send_all(self.membership.decide_tick(now_s=now_s, rng=self.rng))
            self._log_members()
            self.feed.drop_old(self.membership.live(), now_s)
            self._announce(now_s)
            self._share(now_s)
            self._ask(now_s)
            await self.pulls.pull(members=self.membership.live(), now_s=now_s)

    def _log_members(self) -> None:
        members = self.membership.live()
        if members is self._members:
            return
        former = {member.vm for member in self._members}
        names = {member.vm for member in members}
        self._members = members
        if names != former:
            log.info(
                "members changed",
                extra={
                    "members": len(names),
                    "joined": sorted(names - former)[:MAX_LOGGED_NAMES],
                    "lost": sorted(former - names)[:MAX_LOGGED_NAMES],
                },
            )

    def observe_change(self) -> None:
        """The directory has changed: tell it without waiting for the next turn."""
        self.pulls.observe_change()
        if self._was_reader and self.directory.revision != self._announced_revision:
            self._announced_s = float("-inf")
            self._announce(self.clock())

    def report_unresponsive(self, token: int, health: TargetHealth) -> None:
        """Tell the zone and the readers of other zones that a target does not answer."""
        silent = TargetSilent(
            fleet=self.fleet,
            vm=self.settings.vm,
            zone=self.settings.zone,
            token=token,
            ejection_ms=int(health.ejection_s * 1000),
            is_dark=health.is_unresponsive(self.clock()),
        )
        for member in self.feed.list_recipients(self.membership.live()):
            self._send(member.address, silent)

    def report_suspicion(self, token: int) -> None:
        """Ask the VMs of this zone to try a target with their next new flow."""
        doubt = TargetDoubt(
            fleet=self.fleet, vm=self.settings.vm, zone=self.settings.zone, token=token
        )
        self._send_near(doubt)

    def _send_near(self, message) -> None:
        for member in self.membership.live():
            if member.zone == self.settings.zone and member.vm != self.settings.vm:
                self._send(member.address, message)

    def _observe_silent(self, silent: TargetSilent, now_s: float) -> None:
        is_near = silent.zone == self.settings.zone
        counts = self.loads.find(silent.token).health.observe_peer_report(
            ejection_s=silent.ejection_ms / 1000 if is_near else 0.0,
            is_unresponsive=silent.is_dark,
            now_s=now_s,
        )
        log.info(
            "peer had no answer of a target",
            extra={
                "peer": silent.vm,
                "token": silent.token,
                "ejection_s": silent.ejection_ms / 1000,
                "dark": silent.is_dark,
                "counts": counts,
            },
        )
        members = self.membership.live()
        if is_near or not self.feed.is_load_aggregator(members):
            return
        # Both readers heard the sender; a VM that is told twice would take one proof for two.
        told = {reader.vm for reader in pick_readers(zone=self.settings.zone, members=members)}
        relayed = replace(silent, vm=self.settings.vm, zone=self.settings.zone, ejection_ms=0)
        for member in members:
            if member.zone == self.settings.zone and member.vm not in told:
                self._send(member.address, relayed)

    def leave(self) -> None:
        """Tell the others that this VM stops."""
        self._send_all(self.membership.apply_leaving(now_s=self.clock()))

    def stop(self) -> None:
        """Close the sockets."""
        self._socket.stop()
        self.pulls.stop()

    # Sending

    def _send(self, address: str, message) -> None:
        data = FEED_CODEC.encode(message)
        self.count("peer_bytes", len(data))
        self._socket.send(data, parse_host_port(address))

    def _send_all(self, sends) -> None:
        for send in sends:
            self._send(send.address, send.message)

    def _build_announce(self, now_s: float, loads: tuple[ZoneLoads, ...] = ()) -> FeedAnnounce:
        return FeedAnnounce(
            fleet=self.fleet,
            vm=self.settings.vm,
            zone=self.settings.zone,
            revision=self.directory.revision,
            age_ms=int(min(self.get_confirmed_age_s(), 3600.0) * 1000),
            is_reader=self._was_reader,
            loads=loads,
            after=self._announced_revision,
            packed=self._pack_news(),
        )

    def _build_loads(self, now_s: float) -> dict[str, ZoneLoads]:
        """Return the loads of this zone and of the others that it is time to tell."""
        is_teller = self.loads.has_shares or self.feed.is_load_aggregator(self.membership.live())
        if not is_teller:
            return {}
        zone = self.settings.zone
        builders = {
            zone: lambda: self.loads.sum_zone_loads(now_s),
            OTHER_ZONES: lambda: self.loads.sum_other_zones(zone, now_s),
        }
        due = [name for name in builders if now_s >= self._loads_due_s.get(name, 0.0)]
        loads = {name: _build_zone(name, builders[name]()) for name in due}
        for name, item in loads.items():
            self._loads_due_s[name] = now_s + get_load_period_s(len(item.entries))
        return loads

    def _pack_news(self) -> bytes:
        """Return the changes since the last announcement if they are few and small."""
        if self.directory.revision == self._announced_revision:
            return b""
        changes = self.directory.list_changes(self._announced_revision) or []
        if sum(len(record.value or b"") for record in changes) > 4 * MAX_INLINE_BYTES:
            return b""
        packed = pack_records(changes) if changes else b""
        return packed if len(packed) <= MAX_INLINE_BYTES else b""

    def _announce(self, now_s: float) -> None:
        if not self._was_reader or not self.directory.revision:
            return
        if now_s - self._announced_s < ANNOUNCE_S:
            return
        self._announced_s = now_s
        loads = self._build_loads(now_s)
        near = self._build_announce(now_s, tuple(loads.values()))
        # What is known of other zones stays in this one.
        own = (item for name, item in loads.items() if name != OTHER_ZONES)
        far = self._build_announce(now_s, tuple(own))
        self._announced_revision = self.directory.revision
        for member in self.feed.list_recipients(self.membership.live()):
            self._send(member.address, near if member.zone == self.settings.zone else far)

    def _share(self, now_s: float) -> None:
        """Tell this VM's loads to the reader that sums them up."""
        members = self.membership.live()
        zone = self.settings.zone
        self.loads.has_peers = any(m.zone == zone and m.vm != self.settings.vm for m in members)
        reader = self.feed.pick_load_aggregator(members, now_s)
        if now_s < self._share_due_s or reader is None:
            return
        entries = _pick_busiest(self.loads.build_share(now_s))
        self._share_due_s = now_s + get_load_period_s(len(entries))
        share = LoadShare(fleet=self.fleet, vm=self.settings.vm, zone=zone, entries=entries)
        self._send(reader.address, share)

    def _ask(self, now_s: float) -> None:
        """Ask peers for what they know while this VM knows nothing."""
        if self.directory.is_loaded or now_s - self._asked_s < ASK_S:
            return
        self._asked_s = now_s
        others = [m.address for m in self.membership.live() if m.vm != self.settings.vm]
        asked = self.rng.sample(others, min(ASKED_PEERS, len(others)))
        seeds = ["{}:{}".format(*seed) for seed in self.settings.seeds]
        own = "{}:{}".format(*self.settings.peer_address)
        for address in {*asked, *seeds} - {own}:
            self._send(address, self._build_announce(now_s))

    # Receiving

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            message = FEED_CODEC.decode(data)
        except DecodeError as exc:
            self.count("peer_datagrams_refused", 1)
            log.warning("peer datagram refused", extra={"sender": sender[0], "error": str(exc)})
            return
        now_s = self.clock()
        address = f"{sender[0]}:{sender[1]}"
        if isinstance(message, FeedAnnounce | LoadShare | TargetSilent | TargetDoubt):
            if message.fleet == self.fleet and message.vm != self.settings.vm:
                self._observe_feed(message, address, now_s)
            return
        self._send_all(
            self.membership.observe_message(
                message=message, sender_address=address, now_s=now_s, rng=self.rng
            )
        )

    def _observe_feed(self, message, address: str, now_s: float) -> None:
        if isinstance(message, FeedAnnounce):
            self._observe_announce(message, address, now_s)
        elif isinstance(message, TargetSilent):
            self._observe_silent(message, now_s)
        elif message.zone != self.settings.zone:
            return
        elif isinstance(message, TargetDoubt):
            self.loads.observe_suspicion(message.token, now_s)
        else:
            self.loads.observe_share(vm=message.vm, entries=message.entries, now_s=now_s)

    def _observe_announce(self, message: FeedAnnounce, address: str, now_s: float) -> None:
        if not message.revision:
            if self.directory.is_loaded:
                self._send(address, self._build_announce(now_s))
            return
        self.feed.observe_announce(
            Source(
                vm=message.vm,
                zone=message.zone,
                address=address,
                revision=message.revision,
                heard_s=now_s,
                confirmed_s=now_s - message.age_ms / 1000,
                is_reader=message.is_reader,
            )
        )
        if message.is_reader:
            self._observe_loads(message, now_s)
        if message.packed and message.after <= self.directory.revision < message.revision:
            self._observe_news(message, now_s)

    def _observe_news(self, message: FeedAnnounce, now_s: float) -> None:
        try:
            records = unpack_records(message.packed)
        except DecodeError as exc:
            log.warning("news not readable", extra={"peer": message.vm, "error": str(exc)})
            return
        self.directory.apply_records(records=records, revision=message.revision, now_s=now_s)
        self.report_change()

    def _observe_loads(self, message: FeedAnnounce, now_s: float) -> None:
        is_near = message.zone == self.settings.zone
        for loads in message.loads:
            is_own = loads.zone == self.settings.zone
            entries = loads.entries
            if is_own:
                if not is_near or self.loads.has_shares:
                    continue
                entries = subtract_entries(entries, self.loads.build_share(now_s))
            elif not is_near and loads.zone != message.zone:
                continue
            elif is_near and self._was_reader:
                # Readers hear of each other zone from its own reader.
                continue
            self.loads.observe_zone(zone=loads.zone, entries=entries, now_s=now_s, is_own=is_own)


def _pick_busiest(entries: Iterable[LoadEntry]) -> tuple[LoadEntry, ...]:
    return tuple(
        heapq.nlargest(MAX_LOAD_ENTRIES, entries, key=lambda entry: (entry.busy, entry.long_flows))
    )


def _build_zone(zone: str, entries: Iterable[LoadEntry]) -> ZoneLoads:
    return ZoneLoads(zone=zone, entries=_pick_busiest(entries))
