"""SWIM membership as a deterministic state machine."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from random import Random

from mulberryswitch.contracts import Ack, MemberState, MemberUpdate, Ping, PingRequest

from ._datagrams import INDIRECT_PINGS, SEED_PREFIX, DatagramBuilder, OutgoingDatagram
from ._owners import Member, VmListEntry
from ._probes import Probe, Relay
from ._updates import is_valid_update
from ._view import View, build_member, build_update

__all__ = ["VmListEntry", "Membership", "OutgoingDatagram"]

# A member answers within half a period; an indirect round crosses four links and gets a whole one.
DIRECT_TIMEOUT_PERIODS = 0.5
INDIRECT_TIMEOUT_PERIODS = 1.5
PAUSE_PERIODS = 2.0
RECONNECT_PERIODS = 4
# Of the members that learn of a suspicion from others, about this many check it.
SUSPICION_CHECKERS = 32
# The other members check it when it has lasted for this share of the time to refute.
LATE_CHECK_SHARE = 1 / 3
MAX_CHECKS_PER_PERIOD = 32
MAX_CONTACTS_PER_PERIOD = 4
MAX_LEAVING_PINGS = 64
# A VM that joined or returned within this time is told what changed in the last 60 s.
NEWCOMER_S = 3.0
FIRST_PINGS = 8
# Several suspects at once mean that a zone failed or was cut off: probing speeds up.
MAX_EXTRA_PROBES = 3


class Membership:
    """One VM's view of the fleet and the pings that keep it current.

    Parameters
    ----------
    vm, zone, address : str
        This VM; `address` is ``host:port`` for TCP and UDP.
    incarnation : int
        Higher than that of any earlier process of the same VM name.
    period_s : float
        Time between two probes in seconds.
    suspicion_s : float
        Time in seconds that a suspect has to refute.

    Attributes
    ----------
    acknowledged_s : float
        When the newest acknowledged ping was sent, in seconds since the epoch; 0 if none.
    is_superseded : bool
        A newer process of this VM's name runs at another address. This one no longer takes part
        in the membership and should exit.
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
        own = Member(
            vm=vm, zone=zone, address=address, incarnation=incarnation, state=MemberState.ALIVE
        )
        self._view = View(own=own, suspicion_s=suspicion_s)
        self._datagrams = DatagramBuilder(vm=vm, view=self._view)
        self._probes: list[Probe] = []
        self._relays: dict[int, Relay] = {}
        self._round: list[str] = []
        self._listed: dict[str, str] = {}
        self._unheard: dict[str, str] = {}
        self._seeds: dict[str, str] = {}
        self._contacts: dict[str, str] = {}
        self._last_tick_s: float | None = None
        self._next_probe_s = 0.0
        self._periods = 0

    # Views

    @property
    def version(self) -> int:
        """Number that rises whenever ``live()`` or ``routable()`` changes."""
        return self._view.version

    @property
    def members(self) -> Mapping[str, Member]:
        """Every known member by VM name, this VM included; the dead for 60 s."""
        return self._view.members()

    def live(self) -> tuple[Member, ...]:
        """Return the members that may own keys, by name: alive or suspect, not leaving.

        A suspect stays, because a wrong suspicion must not move ownership.
        """
        return self._view.snapshot().live

    def routable(self) -> tuple[Member, ...]:
        """Return the members that packets may be sent to, by name: all but the dead."""
        return self._view.snapshot().routable

    # Evidence

    def observe_list(self, *, entries: Iterable[VmListEntry], now_s: float) -> None:
        """Take in the platform's lagging list.

        The first list that is not empty fills the view of a starting VM. Later ones only name
        addresses to ping: a VM becomes a member once it, or a member that knows it, is heard.
        """
        others = [entry for entry in entries if entry.vm != self.vm]
        if not self._listed:
            self._apply_first_list(others)
        listed = {entry.vm: entry.address for entry in others} or self._listed
        for vm in self._listed.keys() - listed.keys():
            self._contacts.pop(vm, None)
        # Only entries that are new in the list are pinged at once; the others had their ping.
        self._contacts |= {
            vm: address
            for vm, address in listed.items()
            if self._view.find(vm) is None and self._listed.get(vm) != address
        }
        self._listed = listed
        records = self._view.records
        self._unheard = {vm: a for vm, a in listed.items() if vm not in records}

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
            self._view.apply_listed(build_member(update))

    def observe_seeds(self, *, addresses: Iterable[str], now_s: float) -> None:
        """Take in the peer addresses of the settings, each ``host:port``; they are pinged."""
        others = [address for address in addresses if address != self._view.own.address]
        self._seeds = {SEED_PREFIX + address: address for address in others}
        self._contacts |= self._seeds

    def observe_message(
        self, *, message: Ping | PingRequest | Ack, sender_address: str, now_s: float, rng: Random
    ) -> list[OutgoingDatagram]:
        """Take in a datagram and return the answers to it."""
        if message.sender == self.vm or self.is_superseded:
            return []
        updates = [update for update in message.updates if is_valid_update(update)]
        claim = next((update for update in updates if update.vm == message.sender), None)
        if claim is not None:
            self._apply_claim(claim, now_s)
        self._view.apply_heard(message.sender, now_s=now_s)
        checks = self._apply_updates(message.sender, updates, now_s, rng)
        if isinstance(message, Ping):
            answers = self._answer_ping(message, claim, sender_address, now_s)
        elif isinstance(message, PingRequest):
            answers = self._answer_ping_request(message, sender_address, now_s)
        else:
            answers = self._answer_ack(message, now_s)
        self._probes += [Probe(vm=vm, sent_s=now_s) for vm in checks]
        return answers + [self._datagrams.ping(vm, now_s) for vm in checks]

    def _apply_claim(self, claim: MemberUpdate, now_s: float) -> None:
        """Apply what a VM says about itself."""
        if claim.state == MemberState.DEAD:
            return
        record = self._view.records.get(claim.vm)
        is_listed_only = record is not None and record.is_listed_only
        # The platform's list may name a former address.
        has_moved = is_listed_only and claim.address != record.member.address
        if self._view.is_news(claim) or has_moved:
            self._view.apply_member(build_member(claim), now_s=now_s)
            self._contacts.pop(claim.vm, None)

    def _apply_updates(
        self, sender: str, updates: Iterable[MemberUpdate], now_s: float, rng: Random
    ) -> list[str]:
        """Apply what `sender` says about others; return the VMs that have to be pinged.

        A sender that is dead in this view has an outdated view itself, so only what it says about
        this VM counts until it has refuted.
        """
        is_member = sender in self._view.records
        checks = []
        for update in updates:
            if update.vm == self.vm:
                self._refute(update)
            elif is_member and update.vm != sender and self._apply_hearsay(update, now_s, rng):
                checks.append(update.vm)
        return checks

    def _apply_hearsay(self, update: MemberUpdate, now_s: float, rng: Random) -> bool:
        """Apply an update about a third VM; return whether it has to be pinged."""
        record = self._view.records.get(update.vm)
        is_checker = rng.random() * len(self._view.records) < SUSPICION_CHECKERS
        if record is not None and update.incarnation == 0 < record.member.incarnation:
            # The sender knows the VM from the list only, so its suspicion is a mere hint.
            return is_checker and update.state in (MemberState.SUSPECT, MemberState.DEAD)
        if update.state == MemberState.DEAD:
            return self._view.apply_death_report(update, now_s=now_s)
        if not self._view.is_news(update):
            return False
        if record is not None and record.is_listed_only and record.suspect_since_s is not None:
            self._view.apply_incarnation(update)
            return True
        self._view.apply_member(build_member(update), now_s=now_s)
        self._contacts.pop(update.vm, None)
        return is_checker and update.state == MemberState.SUSPECT

    def _refute(self, update: MemberUpdate) -> None:
        own = self._view.own
        if (update.incarnation, update.state) <= (own.incarnation, own.state):
            return
        if update.incarnation > own.incarnation and update.address != own.address:
            # Two processes of one name would outbid each other's incarnation for ever.
            self.is_superseded = update.state != MemberState.DEAD
        if self.is_superseded:
            self._view.apply_own(replace(own, state=MemberState.LEAVING))
        else:
            self._view.apply_own(replace(own, incarnation=update.incarnation + 1))

    def _answer_ping(
        self,
        ping: Ping,
        claim: MemberUpdate | None,
        sender_address: str,
        now_s: float,
    ) -> list[OutgoingDatagram]:
        # An address can be taken over by another VM, which must not answer for the former one.
        if ping.about not in ("", self.vm) or self.is_superseded:
            return []
        first = self._datagrams.build_notice(ping.sender, claim)
        record = self._view.records.get(ping.sender)
        if record is None or now_s - record.changed_s <= NEWCOMER_S:
            first += self._datagrams.build_recent_changes(now_s)
        ack = Ack(
            sequence=ping.sequence,
            sender=self.vm,
            about=self.vm,
            updates=self._datagrams.fill(first, self.vm),
        )
        return [OutgoingDatagram(address=sender_address, message=ack)]

    def _answer_ping_request(
        self, request: PingRequest, sender_address: str, now_s: float
    ) -> list[OutgoingDatagram]:
        if self._view.find(request.about) is None:
            return []
        send = self._datagrams.ping(request.about, now_s)
        self._relays[send.message.sequence] = Relay(
            address=sender_address, sequence=request.sequence, vm=request.about, sent_s=now_s
        )
        return [send]

    def _answer_ack(self, ack: Ack, now_s: float) -> list[OutgoingDatagram]:
        sent_s = self._datagrams.take_sent(ack.sequence)
        if sent_s is None:
            return []
        if ack.about != ack.sender:
            self._view.apply_heard(ack.about, now_s=now_s)
            return []
        self.acknowledged_s = max(self.acknowledged_s, sent_s)
        relay = self._relays.pop(ack.sequence, None)
        record = self._view.records.get(ack.about)
        if relay is None or record is None or relay.vm != ack.about:
            return []
        updates = self._datagrams.fill([build_update(record.member)], relay.vm)
        answer = Ack(sequence=relay.sequence, sender=self.vm, about=relay.vm, updates=updates)
        return [OutgoingDatagram(address=relay.address, message=answer)]

    def observe_link_lost(self, *, vm: str, now_s: float) -> list[OutgoingDatagram]:
        """Suspect `vm`, whose stream broke, and return a ping to it."""
        if vm not in self._view.records or self.is_superseded:
            return []
        self._view.apply_suspicion(vm, now_s=now_s)
        return [self._datagrams.ping(vm, now_s)]

    def decide_ping(self, *, vm: str, now_s: float) -> list[OutgoingDatagram]:
        """Return a ping to `vm` outside the periods, without any suspicion."""
        if vm not in self._view.records or self.is_superseded:
            return []
        return [self._datagrams.ping(vm, now_s)]

    def observe_link_refused(self, *, vm: str, now_s: float) -> list[OutgoingDatagram]:
        """Suspect `vm` for a short time: its VM answered that no process listens."""
        if vm not in self._view.records or self.is_superseded:
            return []
        self._view.apply_refusal(vm, now_s=now_s)
        return [self._datagrams.ping(vm, now_s)]

    def observe_link_up(
        self, *, vm: str, zone: str, address: str, incarnation: int, now_s: float
    ) -> None:
        """Take in that a process of `vm` opened a stream, which proves that it is alive."""
        claim = MemberUpdate(
            vm=vm,
            zone=zone,
            address=address,
            incarnation=incarnation,
            state=int(MemberState.ALIVE),
        )
        if vm == self.vm or not is_valid_update(claim):
            return
        self._apply_claim(claim, now_s)
        self._view.apply_heard(vm, now_s=now_s)
        record = self._view.find(vm)
        if record.member.state in (MemberState.SUSPECT, MemberState.DEAD):
            # The ping tells the VM what it has to refute.
            self._contacts[vm] = address

    # Decisions

    def decide_tick(self, *, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        """Advance the timers and return the datagrams that are due.

        Call it several times per period; half a period is the coarsest useful step.
        """
        if self.is_superseded:
            return []
        sends = self._start_or_resume(now_s, rng)
        self._last_tick_s = now_s
        self._view.apply_time(now_s=now_s)
        sends += self._follow_probes(now_s, rng)
        if now_s >= self._next_probe_s:
            on_time_s = self._next_probe_s + self.period_s
            self._next_probe_s = on_time_s if on_time_s > now_s else now_s + self.period_s
            self._periods += 1
            sends += self._start_period(now_s, rng)
        return sends

    def apply_leaving(self, *, now_s: float) -> list[OutgoingDatagram]:
        """Announce the planned shutdown of this VM."""
        self._view.apply_own(replace(self._view.own, state=MemberState.LEAVING))
        return [
            self._datagrams.ping(vm, now_s) for vm in list(self._view.records)[:MAX_LEAVING_PINGS]
        ]

    def _start_or_resume(self, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        """After a start or a pause, ask some members for news and restart every timer.

        The answers to pings from before a pause may still wait in the socket's buffer, so nobody
        may be suspected or declared dead for the time of the pause.
        """
        last_s = self._last_tick_s
        if last_s is not None and now_s - last_s <= PAUSE_PERIODS * self.period_s:
            return []
        self._probes.clear()
        self._view.apply_resume(now_s=now_s)
        names = sorted(self._view.records)
        peers = rng.sample(names, min(FIRST_PINGS, len(names)))
        return [self._datagrams.ping(vm, now_s) for vm in peers]

    def _follow_probes(self, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        sends = []
        waiting = []
        for probe in self._probes:
            record = self._view.records.get(probe.vm)
            if record is None or record.heard_s >= probe.sent_s:
                continue
            age_periods = (now_s - probe.sent_s) / self.period_s
            if probe.is_indirect and age_periods >= INDIRECT_TIMEOUT_PERIODS:
                self._view.apply_suspicion(probe.vm, now_s=now_s)
                sends.append(self._datagrams.ping(probe.vm, now_s))
                continue
            if not probe.is_indirect and age_periods >= DIRECT_TIMEOUT_PERIODS:
                probe.is_indirect = True
                sends += self._datagrams.ping_through_others(probe.vm, now_s, rng)
            waiting.append(probe)
        self._probes = waiting
        return sends

    def _start_period(self, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        extra_probes = min(MAX_EXTRA_PROBES, max(0, len(self._view.suspects) - 1))
        sends = [s for _ in range(1 + extra_probes) for s in self._probe_next(now_s, rng)]
        sends += self._check_suspects(now_s, rng)
        for name, address in list(self._contacts.items())[:MAX_CONTACTS_PER_PERIOD]:
            del self._contacts[name]
            sends.append(self._datagrams.ping_address(name, address, now_s))
        if self._periods % RECONNECT_PERIODS == 0:
            sends += self._reconnect(now_s, rng)
        self._drop_old(now_s)
        return sends

    def _probe_next(self, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        """Probe the next member of a shuffled round, so that every member gets its turn."""
        records = self._view.records
        if not self._round:
            self._round = sorted(records)
            rng.shuffle(self._round)
        else:
            for vm in self._view.added:
                self._round.insert(rng.randrange(len(self._round) + 1), vm)
        self._view.added.clear()
        while self._round:
            vm = self._round.pop()
            if vm in records:
                self._probes.append(Probe(vm=vm, sent_s=now_s))
                return [self._datagrams.ping(vm, now_s, also=self._round[-1:])]
        return []

    def _check_suspects(self, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        """Ping suspects, so that each view gives them a chance of its own to refute.

        A refutation that travels by gossip may reach a large fleet later than the suspicion runs.
        """
        suspects = self._view.suspects
        late_s = now_s - LATE_CHECK_SHARE * self.suspicion_s
        names = [vm for vm, r in suspects.items() if r.is_checker or r.suspect_since_s <= late_s]
        if len(names) > MAX_CHECKS_PER_PERIOD:
            names = rng.sample(names, MAX_CHECKS_PER_PERIOD)
        sends = [self._datagrams.ping(vm, now_s) for vm in names]
        for vm in [vm for vm in names if suspects[vm].is_checker][:INDIRECT_PINGS]:
            sends += self._datagrams.ping_through_others(vm, now_s, rng)
        return sends

    def _reconnect(self, now_s: float, rng: Random) -> list[OutgoingDatagram]:
        """Ping one VM that is not a member, which ends a partition without outside help."""
        records = self._view.records
        choices = {(vm, record.member.address) for vm, record in self._view.dead.items()}
        choices |= {(vm, address) for vm, address in self._unheard.items() if vm not in records}
        if self._seeds:
            known = {record.member.address for record in records.values()}
            choices |= {item for item in self._seeds.items() if item[1] not in known}
        if not choices:
            return []
        return [self._datagrams.ping_address(*rng.choice(sorted(choices)), now_s)]

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - 2 * self.suspicion_s - 2 * self.period_s
        self._datagrams.drop_old(oldest_s)
        self._relays = {
            seq: relay for seq, relay in self._relays.items() if relay.sent_s >= oldest_s
        }
        self._view.drop_old(now_s=now_s)
