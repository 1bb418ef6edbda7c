"""SWIM membership as a deterministic state machine."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from random import Random

from mulberryswitch.contracts import Ack, MemberState, MemberUpdate, Ping, PingRequest

from ._datagrams import INDIRECT_PING_COUNT, SEED_NAME_PREFIX, DatagramBuilder, OutgoingDatagram
from ._owners import Member, VmListEntry
from ._probes import PendingIndirectPing, PendingProbe
from ._updates import is_valid_update
from ._view import MembershipView, build_member, build_update

__all__ = ["VmListEntry", "Membership", "OutgoingDatagram"]

# Timeouts count from the direct ping. An indirect ping takes four hops instead of two, so it gets a
# whole period where the direct one gets half of it.
DIRECT_TIMEOUT_PERIODS = 0.5
INDIRECT_TIMEOUT_PERIODS = 1.5
PAUSE_PERIODS = 2.0
RECONNECT_PERIODS = 4
# Expected number of members that ping a suspect at once when they learn of the suspicion by gossip.
SUSPICION_VERIFIERS = 32
# The other members ping the suspect after this fraction of the suspicion timeout.
LATE_VERIFICATION_FRACTION = 1 / 3
MAX_SUSPECT_PINGS_PER_PERIOD = 32
MAX_CONTACTS_PER_PERIOD = 4
MAX_LEAVING_PINGS = 64
# A VM that joined or changed state within this time is sent all changes of the last 60 s.
RECENT_JOIN_S = 3.0
STARTUP_PINGS = 8
# Several simultaneous suspects indicate that a zone failed or was partitioned, so each period
# probes more members.
MAX_EXTRA_PROBES = 3


class Membership:
    """Membership protocol of one VM.

    The class performs no I/O: ``observe_*`` methods take received input, and the methods that
    return datagrams leave it to the caller to send them.

    Parameters
    ----------
    vm, zone, address : str
        Identity of this VM; `address` is ``host:port`` for TCP and UDP.
    incarnation : int
        Higher than that of any earlier process of the same VM name.
    period_s : float
        Probe interval in seconds.
    suspicion_s : float
        Suspicion timeout in seconds: how long a suspect may take to refute.

    Attributes
    ----------
    acknowledged_s : float
        Send time of the most recent ping that was acknowledged, in seconds since the epoch; 0 if
        there is none.
    is_superseded : bool
        Whether a newer process with the name of this VM runs at another address. This process
        then takes no further part in the membership and should exit.
    """

    def __init__(
        self,
        *,
        vm: str,
        zone: str,
        address: str,
        incarnation: int,
        period_s: float = 0.5,
        suspicion_s: float = 1.5,
    ):
        self.vm = vm
        self.period_s = period_s
        self.suspicion_s = suspicion_s
        self.acknowledged_s = 0.0
        self.is_superseded = False
        own_member = Member(
            vm=vm, zone=zone, address=address, incarnation=incarnation, state=MemberState.ALIVE
        )
        self._view = MembershipView(own_member=own_member, suspicion_s=suspicion_s)
        self._datagrams = DatagramBuilder(vm=vm, view=self._view)
        self._pending_probes: list[PendingProbe] = []
        self._pending_indirect_pings: dict[int, PendingIndirectPing] = {}
        self._probe_order: list[str] = []
        self._listed_addresses: dict[str, str] = {}
        self._listed_non_members: dict[str, str] = {}
        self._seed_addresses: dict[str, str] = {}
        self._pending_contacts: dict[str, str] = {}
        self._last_tick_s: float | None = None
        self._next_probe_s = 0.0
        self._period_count = 0

    # Queries
    @property
    def version(self) -> int:
        """Counter that increases whenever ``live()`` or ``routable()`` changes."""
        return self._view.version

    @property
    def members(self) -> Mapping[str, Member]:
        """Every known member by VM name, including this VM; dead members remain for 60 s."""
        return self._view.members()

    def live(self) -> tuple[Member, ...]:
        """Return the members that may own keys (alive or suspect, not leaving), sorted by name.

        Suspects are included because a false suspicion must not move ownership.
        """
        return self._view.snapshot().live

    def routable(self) -> tuple[Member, ...]:
        """Return the members that packets may be sent to (all but the dead), sorted by name."""
        return self._view.snapshot().routable

    # Inputs
    def observe_list(self, *, entries: Iterable[VmListEntry], now_s: float) -> None:
        """Process the platform's list of VMs, which may be out of date.

        The first list that is not empty initializes the view of a starting VM. Later lists only
        provide addresses to ping: a VM becomes a member once a message arrives from it or from a
        member that knows it.
        """
        others = [entry for entry in entries if entry.vm != self.vm]
        if not self._listed_addresses:
            self._apply_first_list(others)
        listed = {entry.vm: entry.address for entry in others} or self._listed_addresses
        for vm in self._listed_addresses.keys() - listed.keys():
            self._pending_contacts.pop(vm, None)
        # Only entries that are new in the list are pinged now; the others were pinged before.
        self._pending_contacts |= {
            vm: address
            for vm, address in listed.items()
            if self._view.find(vm) is None and self._listed_addresses.get(vm) != address
        }
        self._listed_addresses = listed
        records = self._view.records
        self._listed_non_members = {vm: a for vm, a in listed.items() if vm not in records}

    def _apply_first_list(self, entries: Iterable[VmListEntry]) -> None:
        updates = (
            MemberUpdate(
                vm=entry.vm,
                zone=entry.zone,
                address=entry.address,
                incarnation=0,
                state=int(MemberState.LEAVING if entry.leaving else MemberState.ALIVE),
            )
            for entry in entries
            if self._view.find(entry.vm) is None
        )
        for update in filter(is_valid_update, updates):
            self._view.add_listed_member(build_member(update))

    def observe_seeds(self, *, addresses: Iterable[str], now_s: float) -> None:
        """Schedule pings to the peer addresses of the settings, each ``host:port``."""
        others = [address for address in addresses if address != self._view.own_member.address]
        self._seed_addresses = {SEED_NAME_PREFIX + address: address for address in others}
        self._pending_contacts |= self._seed_addresses

    def observe_message(
        self, *, message: Ping | PingRequest | Ack, sender_address: str, now_s: float, rng: Random
    ) -> list[OutgoingDatagram]:
        """Process a received datagram and return the datagrams to send in response."""
        if message.sender == self.vm or self.is_superseded:
            return []
        updates = [update for update in message.updates if is_valid_update(update)]
        self_update = next((update for update in updates if update.vm == message.sender), None)
        if self_update is not None:
            self._apply_self_update(self_update, now_s)
        self._view.record_heard(message.sender, now_s=now_s)
        vms_to_ping = self._apply_updates(message.sender, updates, now_s, rng)
        if isinstance(message, Ping):
            answers = self._answer_ping(message, self_update, sender_address, now_s)
        elif isinstance(message, PingRequest):
            answers = self._answer_ping_request(message, sender_address, now_s)
        else:
            answers = self._answer_ack(message, now_s)
        self._pending_probes += [PendingProbe(vm=vm, sent_s=now_s) for vm in vms_to_ping]
        return answers + [self._datagrams.build_ping(vm, now_s) for vm in vms_to_ping]

    def _apply_self_update(self, self_update: MemberUpdate, now_s: float) -> None:
        """Apply an update that a VM sent about itself."""
        if self_update.state == MemberState.DEAD:
            return
        record = self._view.records.get(self_update.vm)
        is_listed_only = record is not None and record.is_listed_only
        # The platform's list may contain an outdated address.
        has_moved = is_listed_only and self_update.address != record.member.address
        if self._view.is_newer(self_update) or has_moved:
            self._view.apply_member(build_member(self_update), now_s=now_s)
            self._pending_contacts.pop(self_update.vm, None)

    def _apply_updates(
        self, sender: str, updates: Iterable[MemberUpdate], now_s: float, rng: Random
    ) -> list[str]:
        """Apply the updates that `sender` sent about others; return the VMs to ping.

        A sender that is dead in this view has an outdated view itself, so until it has refuted,
        only its updates about this VM are applied.
        """
        is_member = sender in self._view.records
        vms_to_ping = []
        for update in updates:
            if update.vm == self.vm:
                self._refute(update)
            elif (
                is_member
                and update.vm != sender
                and self._apply_third_party_update(update, now_s, rng)
            ):
                vms_to_ping.append(update.vm)
        return vms_to_ping

    def _apply_third_party_update(self, update: MemberUpdate, now_s: float, rng: Random) -> bool:
        """Apply an update about a VM other than the sender; return whether to ping that VM."""
        record = self._view.records.get(update.vm)
        is_verifier = rng.random() * len(self._view.records) < SUSPICION_VERIFIERS
        if record is not None and update.incarnation == 0 < record.member.incarnation:
            # The sender knows the VM only from the platform's list, so its suspicion is not
            # applied. It only lets this VM ping the suspect.
            return is_verifier and update.state in (MemberState.SUSPECT, MemberState.DEAD)
        if update.state == MemberState.DEAD:
            return self._view.apply_death_report(update, now_s=now_s)
        if not self._view.is_newer(update):
            return False
        if record is not None and record.is_listed_only and record.suspect_since_s is not None:
            self._view.adopt_incarnation(update)
            return True
        self._view.apply_member(build_member(update), now_s=now_s)
        self._pending_contacts.pop(update.vm, None)
        return is_verifier and update.state == MemberState.SUSPECT

    def _refute(self, update: MemberUpdate) -> None:
        own_member = self._view.own_member
        if (update.incarnation, update.state) <= (own_member.incarnation, own_member.state):
            return
        if update.incarnation > own_member.incarnation and update.address != own_member.address:
            # Without this rule two processes of one name would raise their incarnations above each
            # other's forever.
            self.is_superseded = update.state != MemberState.DEAD
        if self.is_superseded:
            self._view.update_own_member(replace(own_member, state=MemberState.LEAVING))
        else:
            self._view.update_own_member(replace(own_member, incarnation=update.incarnation + 1))

    def _answer_ping(
        self,
        ping: Ping,
        self_update: MemberUpdate | None,
        sender_address: str,
        now_s: float,
    ) -> list[OutgoingDatagram]:
        # An address can be reused by another VM, which must not answer for the previous one.
        if ping.about not in ("", self.vm) or self.is_superseded:
            return []
        priority_updates = self._datagrams.build_updates_to_refute(ping.sender, self_update)
        record = self._view.records.get(ping.sender)
        if record is None or now_s - record.changed_s <= RECENT_JOIN_S:
            priority_updates += self._datagrams.build_recent_changes(now_s)
        ack = Ack(
            sequence=ping.sequence,
            sender=self.vm,
            about=self.vm,
            updates=self._datagrams.build_updates(priority_updates, self.vm),
        )
        return [OutgoingDatagram(address=sender_address, message=ack)]

    def _answer_ping_request(
        self, request: PingRequest, sender_address: str, now_s: float
    ) -> list[OutgoingDatagram]:
        if self._view.find(request.about) is None:
            return []
        datagram = self._datagrams.build_ping(request.about, now_s)
        self._pending_indirect_pings[datagram.message.sequence] = PendingIndirectPing(
            address=sender_address, sequence=request.sequence, vm=request.about, sent_s=now_s
        )
        return [datagram]

    def _answer_ack(self, ack: Ack, now_s: float) -> list[OutgoingDatagram]:
        sent_s = self._datagrams.pop_sent_time(ack.sequence)
        if sent_s is None:
            return []
        if ack.about != ack.sender:
            self._view.record_heard(ack.about, now_s=now_s)
            return []
        self.acknowledged_s = max(self.acknowledged_s, sent_s)
        indirect = self._pending_indirect_pings.pop(ack.sequence, None)
        record = self._view.records.get(ack.about)
        if indirect is None or record is None or indirect.vm != ack.about:
            return []
        updates = self._datagrams.build_updates([build_update(record.member)], indirect.vm)
        answer = Ack(sequence=indirect.sequence, sender=self.vm, about=indirect.vm, updates=updates)
        return [OutgoingDatagram(address=indirect.address, message=answer)]

    def observe_link_lost(self, *, vm: str, now_s: float) -> list[OutgoingDatagram]:
        """Suspect `vm` after its stream broke and return a ping to it."""
        if vm not in self._view.records or self.is_superseded:
            return []
        self._view.suspect_member(vm, now_s=now_s)
        return [self._datagrams.build_ping(vm, now_s)]

    def decide_ping(self, *, vm: str, now_s: float) -> list[OutgoingDatagram]:
        """Return a ping to `vm` outside the probe schedule; it raises no suspicion."""
        if vm not in self._view.records or self.is_superseded:
            return []
        return [self._datagrams.build_ping(vm, now_s)]

    def observe_link_refused(self, *, vm: str, now_s: float) -> list[OutgoingDatagram]:
        """Suspect `vm` with a short timeout after it refused a connection to its peer port."""
        if vm not in self._view.records or self.is_superseded:
            return []
        self._view.shorten_suspicion(vm, now_s=now_s)
        return [self._datagrams.build_ping(vm, now_s)]

    def observe_link_up(
        self, *, vm: str, zone: str, address: str, incarnation: int, now_s: float
    ) -> None:
        """Record that a process of `vm` opened a stream, which proves that it is alive."""
        self_update = MemberUpdate(
            vm=vm,
            zone=zone,
            address=address,
            incarnation=incarnation,
            state=int(MemberState.ALIVE),
        )
        if vm == self.vm or not is_valid_update(self_update):
            return
        self._apply_self_update(self_update, now_s)
        self._view.record_heard(vm, now_s=now_s)
        record = self._view.find(vm)
        if record.member.state in (MemberState.SUSPECT, MemberState.DEAD):
            # The ping carries the update that the VM has to refute.
            self._pending_contacts[vm] = address

    # Timers and planned shutdown
    def decide_tick(self, *, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        """Advance the timers and return the datagrams that are due.

        Call it at least twice per period, because the direct timeout is half a period.
        """
        if self.is_superseded:
            return []
        datagrams = self._start_or_resume(now_s, rng)
        self._last_tick_s = now_s
        self._view.expire_suspicions(now_s=now_s)
        datagrams += self._advance_probes(now_s, rng)
        if now_s >= self._next_probe_s:
            scheduled_s = self._next_probe_s + self.period_s
            self._next_probe_s = scheduled_s if scheduled_s > now_s else now_s + self.period_s
            self._period_count += 1
            datagrams += self._start_period(now_s, rng)
        return datagrams

    def apply_leaving(self, *, now_s: float) -> list[OutgoingDatagram]:
        """Announce the planned shutdown of this VM."""
        self._view.update_own_member(replace(self._view.own_member, state=MemberState.LEAVING))
        return [
            self._datagrams.build_ping(vm, now_s)
            for vm in list(self._view.records)[:MAX_LEAVING_PINGS]
        ]

    def _start_or_resume(self, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        """After a start or a pause, restart all timers and ping some members for updates.

        Acknowledgements of pings from before the pause may still be in the socket's buffer, so the
        duration of the pause must not count towards any suspicion or death.
        """
        last_s = self._last_tick_s
        if last_s is not None and now_s - last_s <= PAUSE_PERIODS * self.period_s:
            return []
        self._pending_probes.clear()
        self._view.restart_suspicions(now_s=now_s)
        names = sorted(self._view.records)
        peers = rng.sample(names, min(STARTUP_PINGS, len(names)))
        return [self._datagrams.build_ping(vm, now_s) for vm in peers]

    def _advance_probes(self, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        datagrams = []
        pending = []
        for probe in self._pending_probes:
            record = self._view.records.get(probe.vm)
            if record is None or record.last_heard_s >= probe.sent_s:
                continue
            age_periods = (now_s - probe.sent_s) / self.period_s
            if probe.is_indirect and age_periods >= INDIRECT_TIMEOUT_PERIODS:
                self._view.suspect_member(probe.vm, now_s=now_s)
                datagrams.append(self._datagrams.build_ping(probe.vm, now_s))
                continue
            if not probe.is_indirect and age_periods >= DIRECT_TIMEOUT_PERIODS:
                probe.is_indirect = True
                datagrams += self._datagrams.build_indirect_pings(probe.vm, now_s, rng)
            pending.append(probe)
        self._pending_probes = pending
        return datagrams

    def _start_period(self, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        extra_probes = min(MAX_EXTRA_PROBES, max(0, len(self._view.suspects) - 1))
        datagrams = [s for _ in range(1 + extra_probes) for s in self._probe_next(now_s, rng)]
        datagrams += self._ping_suspects(now_s, rng)
        for name, address in list(self._pending_contacts.items())[:MAX_CONTACTS_PER_PERIOD]:
            del self._pending_contacts[name]
            datagrams.append(self._datagrams.build_address_ping(name, address, now_s))
        if self._period_count % RECONNECT_PERIODS == 0:
            datagrams += self._reconnect(now_s, rng)
        self._remove_expired(now_s)
        return datagrams

    def _probe_next(self, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        """Probe the next member in a shuffled order that covers every member once per round."""
        records = self._view.records
        if not self._probe_order:
            self._probe_order = sorted(records)
            rng.shuffle(self._probe_order)
        else:
            for vm in self._view.newly_added:
                self._probe_order.insert(rng.randrange(len(self._probe_order) + 1), vm)
        self._view.newly_added.clear()
        while self._probe_order:
            vm = self._probe_order.pop()
            if vm in records:
                self._pending_probes.append(PendingProbe(vm=vm, sent_s=now_s))
                return [self._datagrams.build_ping(vm, now_s, extra_vms=self._probe_order[-1:])]
        return []

    def _ping_suspects(self, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        """Ping suspects directly instead of relying on gossip for their refutation.

        In a large fleet, gossip may deliver a refutation only after the suspicion timeout.
        """
        suspects = self._view.suspects
        late_start_s = now_s - LATE_VERIFICATION_FRACTION * self.suspicion_s
        names = [
            vm
            for vm, r in suspects.items()
            if r.is_local_suspicion or r.suspect_since_s <= late_start_s
        ]
        if len(names) > MAX_SUSPECT_PINGS_PER_PERIOD:
            names = rng.sample(names, MAX_SUSPECT_PINGS_PER_PERIOD)
        datagrams = [self._datagrams.build_ping(vm, now_s) for vm in names]
        for vm in [vm for vm in names if suspects[vm].is_local_suspicion][:INDIRECT_PING_COUNT]:
            datagrams += self._datagrams.build_indirect_pings(vm, now_s, rng)
        return datagrams

    def _reconnect(self, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        """Ping one random VM that is not a member, so that partitioned sides merge again."""
        records = self._view.records
        candidates = {(vm, record.member.address) for vm, record in self._view.dead.items()}
        candidates |= {
            (vm, address) for vm, address in self._listed_non_members.items() if vm not in records
        }
        if self._seed_addresses:
            known = {record.member.address for record in records.values()}
            candidates |= {item for item in self._seed_addresses.items() if item[1] not in known}
        if not candidates:
            return []
        return [self._datagrams.build_address_ping(*rng.choice(sorted(candidates)), now_s)]

    def _remove_expired(self, now_s: float) -> None:
        oldest_s = now_s - 2 * self.suspicion_s - 2 * self.period_s
        self._datagrams.discard_pings_before(oldest_s)
        self._pending_indirect_pings = {
            seq: indirect
            for seq, indirect in self._pending_indirect_pings.items()
            if indirect.sent_s >= oldest_s
        }
        self._view.remove_expired(now_s=now_s)
