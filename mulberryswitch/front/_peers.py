"""Communication with the other VMs: membership, directory announcements and target loads."""

import asyncio
import logging
import math
import time
from collections.abc import Callable
from dataclasses import replace
from random import Random

from mulberryswitch.contracts import (
    FEED_CODEC,
    Ack,
    DecodeError,
    FailureWitness,
    FeedAnnounce,
    LoadShare,
    Ping,
    PingRequest,
    TargetDoubt,
    TargetSilent,
    ZoneLoads,
)
from mulberryswitch.directory import START, Directory, Feed, Position, Source
from mulberryswitch.forwarding import TargetHealth, TargetLoads, Witness
from mulberryswitch.transport import DatagramSocket, is_ip_port, parse_host_port
from mulberryswitch.vms import Member, Membership, OwnershipClaims, pick_readers

from ._load_exchange import OTHER_ZONES, LoadExchange
from ._pacing import TransferPacer
from ._packing import pack_records, unpack_records
from ._pull_server import PullServer
from ._pulls import DirectorySync
from ._settings import Address, FrontSettings

__all__ = ["PeerService"]

TICK_S = 0.1
ANNOUNCE_PERIOD_S = 0.3
BOOTSTRAP_PERIOD_S = 0.2
# Changes up to this size are sent within the announcement, so that they fit into one datagram
# together with the loads; peers pull larger ones.
MAX_INLINE_BYTES = 800
BOOTSTRAP_PEERS = 3
MAX_LOGGED_NAMES = 10

log = logging.getLogger("peers")


class PeerService:
    """Exchanges datagrams and pulls with the other VMs of the fleet.

    Parameters
    ----------
    settings : FrontSettings
    directory : Directory
    loads : TargetLoads
    get_confirmed_s : callable
        Returns the time of this VM's last successful read of the store, None if there was none.
    report_change : callable
        Called after a peer's records have changed the directory.
    count : callable
        ``count(name, amount)`` adds to a counter.
    rng : Random
    clock : callable
        Monotonic clock in seconds.
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
        self.fleet = _build_fleet_name(settings.store_address)
        self.feed = Feed(vm=settings.vm, zone=settings.zone)
        self.membership = Membership(
            vm=settings.vm,
            zone=settings.zone,
            address="{}:{}".format(*settings.peer_address),
            incarnation=int(time.time() * 1000),
        )
        self.claims = OwnershipClaims(vm=settings.vm, zone=settings.zone)
        self.load_exchange = LoadExchange(
            vm=settings.vm, zone=settings.zone, loads=loads, feed=self.feed
        )
        self._socket = DatagramSocket(
            host=settings.peer_address.host,
            port=settings.peer_address.port,
            receive=self._receive,
        )
        self.pull_server = PullServer(
            address=settings.peer_address,
            fleet=self.fleet,
            directory=directory,
            pacer=TransferPacer(link_bytes_per_s=settings.link_bytes_per_s),
            count=count,
            clock=clock,
        )
        self.directory_sync = DirectorySync(
            server=self.pull_server,
            directory=directory,
            feed=self.feed,
            report_change=report_change,
            count=count,
            clock=clock,
        )
        self._last_announce_s = float("-inf")
        self._announced = START
        self._last_bootstrap_s = float("-inf")
        self._was_reader = False
        self._logged_members: tuple[Member, ...] = ()

    # Queries

    def is_reader(self) -> bool:
        """Return whether this VM currently has to read the store itself.

        The result is also recorded: until the next call, it decides whether this VM announces.
        """
        is_reader = self.feed.is_reader(
            members=self.membership.live(), position=self.directory.position, now_s=self.clock()
        )
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            log.info(
                "became a store reader" if is_reader else "stopped reading the store",
                extra={
                    "members": len(self.membership.live()),
                    "revision": self.directory.revision,
                },
            )
        return is_reader

    def get_confirmed_age_s(self) -> float:
        """Return the time since the store last confirmed this VM's revision, to it or to a peer."""
        now_s = self.clock()
        own_s = self.get_confirmed_s()
        peer_s = self.feed.get_confirmed_s(self.directory.position)
        return now_s - max(peer_s, float("-inf") if own_s is None else own_s)

    # Lifecycle

    async def start(self) -> None:
        """Open the sockets and start the server for pulls."""
        self._socket.start()
        await self.pull_server.start()
        self._observe_seeds()

    def apply_settings(self, *, seeds: tuple[Address, ...], store_address: Address) -> None:
        """Use new seeds, and exchange state only with VMs that use the same store."""
        self.settings = replace(self.settings, seeds=seeds, store_address=store_address)
        self.fleet = self.pull_server.fleet = _build_fleet_name(store_address)
        self._observe_seeds()

    def _observe_seeds(self) -> None:
        """Pass the seeds of the settings to the membership."""
        addresses = ["{}:{}".format(*seed) for seed in self.settings.seeds]
        self.membership.observe_seeds(addresses=addresses, now_s=self.clock())

    async def run(self) -> None:
        """Exchange state with the peers until the task is cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            now_s = self.clock()
            self._send_all(self.membership.decide_tick(now_s=now_s, rng=self.rng))
            self.claims.observe_members(self.membership.live(), now_s)
            self._log_member_changes()
            self.feed.remove_expired(self.membership.live(), now_s)
            self._announce(now_s)
            self._send_load_share(now_s)
            self._bootstrap(now_s)
            self._apply_due(now_s)

    async def run_pulls(self) -> None:
        """Pull what peers are ahead, until the task is cancelled.

        A task of its own, since a large transfer must not delay heartbeats.
        """
        while True:
            await asyncio.sleep(TICK_S)
            await self.directory_sync.pull(members=self.membership.live(), now_s=self.clock())

    def _apply_due(self, now_s: float) -> None:
        if self.directory.due_s == math.inf:
            return
        confirmed_s = now_s - self.get_confirmed_age_s()
        if self.directory.apply_due(now_s=now_s, confirmed_s=confirmed_s):
            self.report_change()

    def _log_member_changes(self) -> None:
        members = self.membership.live()
        if members is self._logged_members:
            return
        previous = {member.vm for member in self._logged_members}
        names = {member.vm for member in members}
        self._logged_members = members
        if names != previous:
            log.info(
                "members changed",
                extra={
                    "members": len(names),
                    "joined": sorted(names - previous)[:MAX_LOGGED_NAMES],
                    "lost": sorted(previous - names)[:MAX_LOGGED_NAMES],
                },
            )

    def observe_change(self) -> None:
        """Announce a change of the directory at once instead of at the next tick."""
        self.pull_server.observe_change()
        if self._was_reader and self.directory.position != self._announced:
            self._last_announce_s = float("-inf")
            self._announce(self.clock())

    def report_unresponsive(self, token: int, health: TargetHealth) -> None:
        """Tell the local zone and the readers of other zones that a target does not answer."""
        now_s = self.clock()
        is_dark = health.is_unresponsive(now_s)
        witnesses = health.evidence.list_witnesses(now_s)
        report = TargetSilent(
            fleet=self.fleet,
            vm=self.settings.vm,
            zone=self.settings.zone,
            token=token,
            ejection_ms=int(health.ejection_s * 1000),
            is_dark=is_dark,
            witnesses=tuple(
                FailureWitness(vm=witness.vm, caller=witness.caller)
                for witness in witnesses
                if is_dark or witness.vm == self.settings.vm
            ),
        )
        for member in self.feed.list_recipients(self.membership.live()):
            self._send(member.address, report)

    def report_suspicion(self, token: int) -> None:
        """Ask the VMs of this zone to try a suspected target with their next new flow."""
        suspicion = TargetDoubt(
            fleet=self.fleet, vm=self.settings.vm, zone=self.settings.zone, token=token
        )
        self._send_to_zone(suspicion)

    def _send_to_zone(self, message) -> None:
        for member in self.membership.live():
            if member.zone == self.settings.zone and member.vm != self.settings.vm:
                self._send(member.address, message)

    def _observe_unresponsive(self, report: TargetSilent, now_s: float) -> None:
        is_same_zone = report.zone == self.settings.zone
        counts = self.loads.get_or_create(report.token).health.observe_peer_report(
            ejection_s=report.ejection_ms / 1000 if is_same_zone else 0.0,
            witnesses=[Witness(vm=w.vm, caller=w.caller) for w in report.witnesses],
            now_s=now_s,
        )
        log.info(
            "peer reported an unresponsive target",
            extra={
                "peer": report.vm,
                "token": report.token,
                "ejection_s": report.ejection_ms / 1000,
                "dark": report.is_dark,
                "counts": counts,
            },
        )
        members = self.membership.live()
        if is_same_zone or not self.feed.is_load_aggregator(members):
            return
        # The sender has informed both readers of this zone. A VM that received the report twice
        # would count one failed opening as two.
        informed = {reader.vm for reader in pick_readers(zone=self.settings.zone, members=members)}
        relayed = replace(report, vm=self.settings.vm, zone=self.settings.zone, ejection_ms=0)
        for member in members:
            if member.zone == self.settings.zone and member.vm not in informed:
                self._send(member.address, relayed)

    def leave(self) -> None:
        """Tell the other VMs that this one stops."""
        self._send_all(self.membership.apply_leaving(now_s=self.clock()))

    def stop(self) -> None:
        """Close the sockets and stop the server for pulls."""
        self._socket.stop()
        self.pull_server.stop()

    # Sending

    def _send(self, address: str, message) -> None:
        data = FEED_CODEC.encode(message)
        self.count("peer_bytes", len(data))
        self._socket.send(data, parse_host_port(address))

    def _send_all(self, datagrams) -> None:
        for datagram in datagrams:
            self._send(datagram.address, datagram.message)

    def _build_announce(
        self, *, packed: bytes = b"", loads: tuple[ZoneLoads, ...] = ()
    ) -> FeedAnnounce:
        return FeedAnnounce(
            fleet=self.fleet,
            vm=self.settings.vm,
            zone=self.settings.zone,
            epoch=self.directory.epoch,
            revision=self.directory.revision,
            version=self.directory.version,
            keeps_heritage=self.directory.keeps_heritage,
            age_ms=int(min(self.get_confirmed_age_s(), 3600.0) * 1000),
            is_reader=self._was_reader,
            loads=loads,
            after=self._announced.revision,
            packed=packed,
        )

    def _pack_inline_changes(self) -> bytes:
        """Return the packed changes since the last announcement, empty if they are too large."""
        if self.directory.position == self._announced:
            return b""
        changes = self.directory.list_changes(self._announced) or []
        if sum(len(record.value or b"") for record in changes) > 4 * MAX_INLINE_BYTES:
            return b""
        packed = pack_records(changes) if changes else b""
        return packed if len(packed) <= MAX_INLINE_BYTES else b""

    def _announce(self, now_s: float) -> None:
        if not self._was_reader or self.directory.position == START:
            return
        if now_s - self._last_announce_s < ANNOUNCE_PERIOD_S:
            return
        self._last_announce_s = now_s
        loads = self.load_exchange.build_due_sums(self.membership.live(), now_s)
        packed = self._pack_inline_changes()
        local = self._build_announce(packed=packed, loads=loads)
        # The sum over other zones is sent within the local zone only.
        own_sums = tuple(zone_loads for zone_loads in loads if zone_loads.zone != OTHER_ZONES)
        remote = self._build_announce(packed=packed, loads=own_sums)
        self._announced = self.directory.position
        for member in self.feed.list_recipients(self.membership.live()):
            self._send(member.address, local if member.zone == self.settings.zone else remote)

    def _send_load_share(self, now_s: float) -> None:
        """Send this VM's loads to the VM that aggregates them for the zone, if they are due."""
        due = self.load_exchange.build_due_share(self.membership.live(), now_s)
        if due is None:
            return
        share = LoadShare(
            fleet=self.fleet, vm=self.settings.vm, zone=self.settings.zone, entries=due.entries
        )
        self._send(due.address, share)

    def _bootstrap(self, now_s: float) -> None:
        """Request announcements from some peers and the seeds while the directory is empty.

        An announcement with revision 0 is such a request; see ``_observe_announce``.
        """
        if self.directory.is_loaded or now_s - self._last_bootstrap_s < BOOTSTRAP_PERIOD_S:
            return
        self._last_bootstrap_s = now_s
        others = [m.address for m in self.membership.live() if m.vm != self.settings.vm]
        sampled = self.rng.sample(others, min(BOOTSTRAP_PEERS, len(others)))
        seeds = ["{}:{}".format(*seed) for seed in self.settings.seeds]
        own = "{}:{}".format(*self.settings.peer_address)
        for address in {*sampled, *seeds} - {own}:
            self._send(address, self._build_announce())

    # Receiving

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            message = _decode_message(data)
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
            self._observe_unresponsive(message, now_s)
        elif message.zone != self.settings.zone:
            return
        elif isinstance(message, TargetDoubt):
            self.loads.observe_suspicion(message.token, now_s)
        else:
            self.loads.observe_share(vm=message.vm, entries=message.entries, now_s=now_s)

    def _observe_announce(self, message: FeedAnnounce, address: str, now_s: float) -> None:
        if not message.revision:
            if self.directory.is_loaded:
                self._send(address, self._build_announce())
            return
        self.feed.observe_announce(
            Source(
                vm=message.vm,
                zone=message.zone,
                address=address,
                position=Position(message.epoch, message.revision),
                heard_s=now_s,
                confirmed_s=now_s - message.age_ms / 1000,
                is_reader=message.is_reader,
                version=message.version,
                keeps_heritage=message.keeps_heritage,
            )
        )
        if message.is_reader:
            self.load_exchange.observe_sums(
                sender_zone=message.zone,
                sums=message.loads,
                is_reader=self._was_reader,
                now_s=now_s,
            )
        is_same_epoch = message.epoch == self.directory.epoch
        is_next = message.after <= self.directory.revision < message.revision
        if message.packed and is_same_epoch and is_next:
            self._apply_inline_changes(message, now_s)

    def _apply_inline_changes(self, message: FeedAnnounce, now_s: float) -> None:
        try:
            records = unpack_records(message.packed)
        except DecodeError as exc:
            log.warning(
                "announced changes are malformed", extra={"peer": message.vm, "error": str(exc)}
            )
            return
        position = Position(message.epoch, message.revision)
        self.directory.apply_records(records=records, position=position, now_s=now_s)
        self.report_change()


def _decode_message(data: bytes):
    """Return the message in a datagram; raise ``DecodeError`` also for a member's bad address.

    Such a member would make each announcement fail at it, for all members after it as well.
    """
    message = FEED_CODEC.decode(data)
    if isinstance(message, Ping | PingRequest | Ack):
        for update in message.updates:
            if not is_ip_port(update.address):
                raise DecodeError(f"address of {update.vm!r:.60} is {update.address!r:.60}")
    return message


def _build_fleet_name(store_address: Address) -> str:
    """Return the name of a fleet: VMs belong to the same one if they use the same store."""
    return "{}:{}".format(*store_address)
