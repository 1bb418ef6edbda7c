"""SWIM membership as a deterministic state machine."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random
from typing import Protocol

from mulberryswitch.contracts import Ack, MemberState, MemberUpdate, Ping, PingRequest

from ._owners import Member
from ._rumors import Rumors

__all__ = ["ListEntry", "Membership", "Send"]

INDIRECT_PINGS = 3
# Half a period leaves time for the indirect round before the next probe of a small fleet.
DIRECT_TIMEOUT_PERIODS = 0.5
# An indirect round trip crosses four links, so it gets more time than a direct one.
INDIRECT_TIMEOUT_PERIODS = 1.5
PAUSE_PERIODS = 2.0
FORGET_DEAD_S = 60.0
# Regions lose each other for about an hour; their addresses are kept for longer than that.
KEEP_ADDRESS_S = 2 * 3600.0
RECONNECT_PERIODS = 4
# Only about this many members check a suspicion that they learned from others.
SUSPICION_CHECKERS = 32
MAX_CHECKS_PER_PERIOD = 32
MAX_FRESH_PINGS_PER_PERIOD = 4
MAX_LEAVING_PINGS = 64
MAX_NAME_CHARS = 64
MAX_INCARNATION = 2**62


class ListEntry(Protocol):
    """One VM in the platform's list."""

    vm: str
    zone: str
    address: str
    leaving: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """A datagram to send; `message` is encoded with ``MEMBERSHIP_CODEC``."""

    address: str
    message: Ping | PingRequest | Ack


@dataclass(kw_only=True, slots=True)
class _Record:
    """What the view holds about another VM.

    `suspect_since_s` runs for suspects and for leaving members that miss pings; `checking` marks
    a suspicion that this VM raised itself and therefore has to check.
    """

    member: Member
    changed_s: float
    heard_s: float = 0.0
    suspect_since_s: float | None = None
    suspect_until_s: float = 0.0
    checking: bool = False


@dataclass(kw_only=True, slots=True)
class _Probe:
    vm: str
    sequence: int
    sent_s: float
    is_indirect: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class _Relay:
    """A ping on behalf of another VM that waits for its acknowledgement."""

    address: str
    sequence: int
    vm: str
    sent_s: float


def _is_valid(update: MemberUpdate) -> bool:
    names = (update.vm, update.zone, update.address)
    return (
        all(1 <= len(name) <= MAX_NAME_CHARS for name in names)
        and update.incarnation <= MAX_INCARNATION
        and update.state <= MemberState.DEAD
    )


def _build_update(member: Member) -> MemberUpdate:
    return MemberUpdate(
        vm=member.vm,
        zone=member.zone,
        address=member.address,
        incarnation=member.incarnation,
        state=int(member.state),
    )


def _build_member(update: MemberUpdate) -> Member:
    return Member(
        vm=update.vm,
        zone=update.zone,
        address=update.address,
        incarnation=update.incarnation,
        state=MemberState(update.state),
    )


class Membership:
    """One VM's view of the fleet.

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
    version : int
        Rises whenever ``live()`` changes.
    acknowledged_s : float
        When the newest acknowledged direct ping was sent, in seconds since the epoch; 0 if none.
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
        self.version = 1
        self.acknowledged_s = 0.0
        self._self = Member(
            vm=vm, zone=zone, address=address, incarnation=incarnation, state=MemberState.ALIVE
        )
        self._records: dict[str, _Record] = {}
        self._dead: dict[str, _Record] = {}
        self._rumors = Rumors()
        self._sequence = 0
        self._sent_s_by_sequence: dict[int, float] = {}
        self._probes: list[_Probe] = []
        self._relays: dict[int, _Relay] = {}
        self._order: list[str] = []
        self._listed: dict[str, str] | None = None
        self._seeds: tuple[str, ...] = ()
        self._fresh: dict[str, str] = {}
        self._now_s = 0.0
        self._last_tick_s: float | None = None
        self._next_probe_s = 0.0
        self._periods = 0
        self._live: tuple[int, tuple[Member, ...]] = (0, ())

    # Views

    @property
    def members(self) -> dict[str, Member]:
        """Every known member by VM name, this VM included; the dead for 60 s."""
        recent = {
            vm: record.member
            for vm, record in self._dead.items()
            if self._now_s - record.changed_s <= FORGET_DEAD_S
        }
        known = {vm: record.member for vm, record in self._records.items()}
        return {self.vm: self._self, **known, **recent}

    def live(self) -> tuple[Member, ...]:
        """Return the members that may own keys, by name: alive or suspect, not leaving.

        A suspect stays, because a wrong suspicion must not move ownership.
        """
        version, live = self._live
        if version != self.version:
            live = tuple(m for m in self.routable() if m.state != MemberState.LEAVING)
            self._live = (self.version, live)
        return live

    def routable(self) -> tuple[Member, ...]:
        """Return the members that packets may be sent to, by name: all but the dead."""
        members = [self._self, *(record.member for record in self._records.values())]
        return tuple(sorted(members, key=lambda member: member.vm))

    # Evidence

    def observe_list(self, *, entries: Iterable[ListEntry], now_s: float) -> None:
        """Take in the platform's lagging list.

        The first list fills the empty view of a starting VM. Later ones only name addresses to
        ping: the VM becomes a member once it, or a member that knows it, is heard.
        """
        self._now_s = now_s
        entries = [entry for entry in entries if entry.vm != self.vm]
        is_first = self._listed is None and bool(entries)
        unknown = [entry for entry in entries if entry.vm not in self._records]
        if is_first:
            for entry in unknown:
                if entry.vm not in self._dead:
                    self._apply_listed(entry, now_s)
        listed = {entry.vm: entry.address for entry in unknown}
        known = self._listed or {}
        self._fresh = {vm: address for vm, address in self._fresh.items() if vm in listed}
        self._fresh |= {
            vm: address
            for vm, address in listed.items()
            if known.get(vm) != address and vm not in self._records and vm not in self._dead
        }
        if entries or self._listed is not None:
            self._listed = listed

    def _apply_listed(self, entry: ListEntry, now_s: float) -> None:
        update = MemberUpdate(
            vm=entry.vm,
            zone=entry.zone,
            address=entry.address,
            incarnation=0,
            state=int(MemberState.LEAVING if entry.leaving else MemberState.ALIVE),
        )
        if _is_valid(update):
            self._store(_build_member(update), now_s, spread=False)

    def observe_seeds(self, *, addresses: Iterable[str], now_s: float) -> None:
        """Take in the peer addresses of the settings, each ``host:port``; they are pinged."""
        self._now_s = now_s
        self._seeds = tuple(address for address in addresses if address != self._self.address)
        self._fresh |= {f"@{address}": address for address in self._seeds}

    def observe_message(
        self, *, message: Ping | PingRequest | Ack, sender_address: str, now_s: float, rng: Random
    ) -> list[Send]:
        """Take in a datagram and return the answers to it."""
        self._now_s = now_s
        if message.sender == self.vm:
            return []
        is_stranger = message.sender not in self._records
        checks = [
            vm
            for update in message.updates
            if _is_valid(update)
            and (vm := self._apply_update(update, update.vm == message.sender, now_s, rng))
        ]
        record = self._records.get(message.sender)
        if record is not None:
            record.heard_s = now_s
        if isinstance(message, Ping):
            answers = self._answer_ping(message, sender_address, is_stranger, now_s)
        elif isinstance(message, PingRequest):
            answers = self._answer_ping_request(message, sender_address, now_s)
        else:
            answers = self._answer_ack(message, now_s)
        return answers + [self._ping(vm, now_s) for vm in checks]

    def _answer_ping(
        self, ping: Ping, sender_address: str, is_stranger: bool, now_s: float
    ) -> list[Send]:
        # An address can be taken over by another VM, which must not answer for the former one.
        if ping.about not in ("", self.vm):
            return []
        claim = next((u for u in ping.updates if u.vm == ping.sender), None)
        first = self._notice(ping.sender, claim)
        if is_stranger:
            first = [*first, *self._build_catch_up(now_s)]
        ack = Ack(
            sequence=ping.sequence, sender=self.vm, about=self.vm, updates=self._updates(first)
        )
        return [Send(address=sender_address, message=ack)]

    def _answer_ping_request(
        self, request: PingRequest, sender_address: str, now_s: float
    ) -> list[Send]:
        if request.about not in self._records and request.about not in self._dead:
            return []
        send = self._ping(request.about, now_s)
        self._relays[send.message.sequence] = _Relay(
            address=sender_address, sequence=request.sequence, vm=request.about, sent_s=now_s
        )
        return [send]

    def _answer_ack(self, ack: Ack, now_s: float) -> list[Send]:
        sent_s = self._sent_s_by_sequence.pop(ack.sequence, None)
        about = self._records.get(ack.about)
        if sent_s is None:
            return []
        if about is not None:
            about.heard_s = now_s
        if ack.about != ack.sender:
            return []
        self.acknowledged_s = max(self.acknowledged_s, sent_s)
        relay = self._relays.pop(ack.sequence, None)
        if relay is None or about is None or relay.vm != ack.about:
            return []
        updates = self._updates([_build_update(about.member)])
        answer = Ack(sequence=relay.sequence, sender=self.vm, about=relay.vm, updates=updates)
        return [Send(address=relay.address, message=answer)]

    def observe_link_lost(self, *, vm: str, now_s: float) -> list[Send]:
        """Suspect `vm`, whose stream broke, and return a ping to it."""
        self._now_s = now_s
        record = self._records.get(vm)
        if record is None:
            return []
        self._suspect(record, now_s, checking=True)
        return [self._ping(vm, now_s)]

    def observe_link_up(
        self, *, vm: str, zone: str, address: str, incarnation: int, now_s: float
    ) -> None:
        """Take in that a process of `vm` opened a stream, which proves that it is alive."""
        self._now_s = now_s
        update = MemberUpdate(
            vm=vm,
            zone=zone,
            address=address,
            incarnation=incarnation,
            state=int(MemberState.ALIVE),
        )
        if vm == self.vm or not _is_valid(update):
            return
        self._apply_claim(update, now_s)
        if vm in self._records:
            self._records[vm].heard_s = now_s
        else:
            # The VM is dead in this view at the same incarnation: the ping tells it to refute.
            self._fresh[vm] = address

    # Decisions

    def decide_tick(self, *, now_s: float, rng: Random) -> list[Send]:
        """Advance the timers and return the datagrams that are due.

        Call it several times per period; half a period is the coarsest useful step.
        """
        self._now_s = now_s
        sends = self._apply_resume(now_s, rng)
        self._last_tick_s = now_s
        self._expire_suspects(now_s)
        sends += self._follow_probes(now_s, rng)
        if now_s >= self._next_probe_s:
            self._next_probe_s = max(self._next_probe_s + self.period_s, now_s)
            self._periods += 1
            sends += self._start_period(now_s, rng)
        return sends

    def apply_leaving(self, *, now_s: float) -> list[Send]:
        """Announce the planned shutdown of this VM."""
        self._now_s = now_s
        self._self = replace(self._self, state=MemberState.LEAVING)
        self.version += 1
        self._rumors.apply(_build_update(self._self))
        return [self._ping(vm, now_s) for vm in list(self._records)[:MAX_LEAVING_PINGS]]

    def _apply_resume(self, now_s: float, rng: Random) -> list[Send]:
        """After a pause, restart every timer and ask some members for news.

        The answers to earlier pings may still wait in the socket's buffer, so nobody may be
        suspected or declared dead for the time of the pause.
        """
        gap_s = 0.0 if self._last_tick_s is None else now_s - self._last_tick_s
        if gap_s <= PAUSE_PERIODS * self.period_s:
            return []
        self._probes.clear()
        for record in self._records.values():
            if record.suspect_since_s is not None:
                record.suspect_since_s = now_s
                record.suspect_until_s = now_s + self.suspicion_s
        peers = rng.sample(sorted(self._records), min(INDIRECT_PINGS, len(self._records)))
        return [self._ping(vm, now_s) for vm in peers]

    def _expire_suspects(self, now_s: float) -> None:
        expired = [
            record
            for record in self._records.values()
            if record.suspect_since_s is not None and now_s >= record.suspect_until_s
        ]
        for record in expired:
            self._bury(record, now_s)

    def _follow_probes(self, now_s: float, rng: Random) -> list[Send]:
        sends = []
        waiting = []
        for probe in self._probes:
            record = self._records.get(probe.vm)
            if record is None or record.heard_s >= probe.sent_s:
                continue
            age_periods = (now_s - probe.sent_s) / self.period_s
            if probe.is_indirect and age_periods >= INDIRECT_TIMEOUT_PERIODS:
                self._suspect(record, now_s, checking=True)
                continue
            if not probe.is_indirect and age_periods >= DIRECT_TIMEOUT_PERIODS:
                probe.is_indirect = True
                sends += self._ping_through_others(probe.vm, now_s, rng)
            waiting.append(probe)
        self._probes = waiting
        return sends

    def _start_period(self, now_s: float, rng: Random) -> list[Send]:
        sends = self._probe_next(now_s, rng)
        sends += self._check_suspects(now_s, rng)
        fresh = list(self._fresh.items())[:MAX_FRESH_PINGS_PER_PERIOD]
        for name, address in fresh:
            del self._fresh[name]
            sends.append(self._ping_address(name, address, now_s))
        if self._periods % RECONNECT_PERIODS == 0:
            sends += self._reconnect(now_s, rng)
        self._drop_old(now_s)
        return sends

    def _probe_next(self, now_s: float, rng: Random) -> list[Send]:
        """Probe the next member of a shuffled round, so that every member gets its turn."""
        if not self._order:
            self._order = sorted(self._records)
            rng.shuffle(self._order)
        while self._order:
            vm = self._order.pop()
            if vm in self._records:
                extra = rng.choice(list(self._records))
                send = self._ping(vm, now_s, extra=extra)
                probe = _Probe(vm=vm, sequence=send.message.sequence, sent_s=now_s)
                self._probes.append(probe)
                return [send]
        return []

    def _check_suspects(self, now_s: float, rng: Random) -> list[Send]:
        suspects = [
            vm for vm, r in self._records.items() if r.checking and r.suspect_since_s is not None
        ]
        if len(suspects) > MAX_CHECKS_PER_PERIOD:
            suspects = rng.sample(suspects, MAX_CHECKS_PER_PERIOD)
        sends = [self._ping(vm, now_s) for vm in suspects]
        for vm in suspects[:INDIRECT_PINGS]:
            sends += self._ping_through_others(vm, now_s, rng)
        return sends

    def _reconnect(self, now_s: float, rng: Random) -> list[Send]:
        """Ping one VM that is not a live member, to end a partition without outside help."""
        known = {record.member.address for record in self._records.values()}
        lost = {vm: record.member.address for vm, record in self._dead.items()}
        listed = {vm: a for vm, a in (self._listed or {}).items() if vm not in self._records}
        seeds = {f"@{address}": address for address in self._seeds if address not in known}
        choices = sorted({*lost.items(), *listed.items(), *seeds.items()})
        if not choices:
            return []
        return [self._ping_address(*rng.choice(choices), now_s)]

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - 2 * self.suspicion_s - 2 * self.period_s
        self._sent_s_by_sequence = {
            sequence: sent_s
            for sequence, sent_s in self._sent_s_by_sequence.items()
            if sent_s >= oldest_s
        }
        self._relays = {seq: r for seq, r in self._relays.items() if r.sent_s >= oldest_s}
        dead = [vm for vm, r in self._dead.items() if now_s - r.changed_s > KEEP_ADDRESS_S]
        for vm in dead:
            del self._dead[vm]

    # Messages

    def _updates(self, first: Iterable[MemberUpdate] = ()) -> tuple[MemberUpdate, ...]:
        return self._rumors.apply_send(
            first=[_build_update(self._self), *first], member_count=len(self._records) + 1
        )

    def _next_sequence(self, now_s: float) -> int:
        self._sequence += 1
        self._sent_s_by_sequence[self._sequence] = now_s
        return self._sequence

    def _ping(self, vm: str, now_s: float, extra: str = "") -> Send:
        record = self._records.get(vm) or self._dead[vm]
        first = self._notice(vm, None)
        if extra:
            first = [*first, _build_update(self._records[extra].member)]
        return Send(
            address=record.member.address,
            message=Ping(
                sequence=self._next_sequence(now_s),
                sender=self.vm,
                about=vm,
                updates=self._updates(first),
            ),
        )

    def _ping_address(self, name: str, address: str, now_s: float) -> Send:
        """Ping a VM that is no member; seeds have an address but no VM name."""
        vm = "" if name.startswith("@") else name
        updates = self._updates(self._notice(vm, None))
        ping = Ping(sequence=self._next_sequence(now_s), sender=self.vm, about=vm, updates=updates)
        return Send(address=address, message=ping)

    def _ping_through_others(self, vm: str, now_s: float, rng: Random) -> list[Send]:
        helpers = [
            name
            for name, record in self._records.items()
            if name != vm and record.suspect_since_s is None
        ]
        chosen = rng.sample(helpers, min(INDIRECT_PINGS, len(helpers)))
        return [
            Send(
                address=self._records[helper].member.address,
                message=PingRequest(
                    sequence=self._next_sequence(now_s),
                    sender=self.vm,
                    about=vm,
                    updates=self._updates(self._notice(vm, None)),
                ),
            )
            for helper in chosen
        ]

    def _notice(self, vm: str, claim: MemberUpdate | None) -> list[MemberUpdate]:
        """Return what `vm` must be told about itself, so that it can refute it."""
        record = self._records.get(vm) or self._dead.get(vm)
        if record is None:
            return []
        member = record.member
        is_refutable = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        is_newer = claim is not None and (
            member.incarnation > claim.incarnation or member.address != claim.address
        )
        return [_build_update(member)] if is_refutable or is_newer else []

    def _build_catch_up(self, now_s: float) -> list[MemberUpdate]:
        """Return recent changes for a VM that just joined or returned, the newest first."""
        records = [*self._records.values(), *self._dead.values()]
        recent = [
            record
            for record in records
            if now_s - record.changed_s <= FORGET_DEAD_S and record.member.incarnation
        ]
        recent.sort(key=lambda record: record.changed_s, reverse=True)
        return [_build_update(record.member) for record in recent]

    # Changes of the view

    def _apply_update(
        self, update: MemberUpdate, is_claim: bool, now_s: float, rng: Random
    ) -> str | None:
        """Apply an update; return the VM's name when it has to be pinged to check it."""
        if update.vm == self.vm:
            self._refute(update)
            return None
        if update.state == MemberState.DEAD:
            return self._apply_death_report(update, now_s)
        if is_claim:
            self._apply_claim(update, now_s)
            return None
        if not self._is_news(update):
            return None
        self._store(_build_member(update), now_s)
        if update.state != MemberState.SUSPECT:
            return None
        is_checker = rng.random() * (len(self._records) + 1) < SUSPICION_CHECKERS
        return update.vm if is_checker else None

    def _is_news(self, update: MemberUpdate) -> bool:
        dead = self._dead.get(update.vm)
        if dead is not None:
            return update.incarnation > dead.member.incarnation
        record = self._records.get(update.vm)
        if record is None:
            return True
        member = record.member
        return (update.incarnation, update.state) > (member.incarnation, member.state)

    def _apply_claim(self, update: MemberUpdate, now_s: float) -> None:
        """Apply what a VM says about itself."""
        record = self._records.get(update.vm)
        has_moved = (
            record is not None
            and update.incarnation == record.member.incarnation == 0
            and update.address != record.member.address
        )
        if has_moved or self._is_news(update):
            self._store(_build_member(update), now_s)

    def _apply_death_report(self, update: MemberUpdate, now_s: float) -> str | None:
        """Let a reported death start or shorten a suspicion.

        After a partition each side reports the other's members dead. They get the chance to
        refute before anybody moves ownership.
        """
        record = self._records.get(update.vm)
        if record is None:
            if update.vm not in self._dead:
                self._dead[update.vm] = _Record(member=_build_member(update), changed_s=now_s)
            return None
        if update.incarnation < record.member.incarnation:
            return None
        if record.member.state == MemberState.LEAVING:
            self._bury(record, now_s)
            return None
        if record.suspect_since_s is None:
            self._suspect(record, now_s, checking=True)
            return update.vm
        half_s = record.suspect_since_s + self.suspicion_s / 2
        record.suspect_until_s = min(record.suspect_until_s, half_s)
        return None

    def _refute(self, update: MemberUpdate) -> None:
        mine = self._self
        is_same = update.incarnation == mine.incarnation
        is_wrong = (is_same and update.state > mine.state) or (
            is_same and update.address != mine.address
        )
        if update.incarnation > mine.incarnation or is_wrong:
            self._self = replace(mine, incarnation=update.incarnation + 1)
            self.version += 1
            self._rumors.apply(_build_update(self._self))

    def _suspect(self, record: _Record, now_s: float, *, checking: bool) -> None:
        record.checking |= checking
        if record.suspect_since_s is not None:
            return
        record.suspect_since_s = now_s
        record.suspect_until_s = now_s + self.suspicion_s
        # A leaving member owns nothing and keeps its state, which outranks a suspicion.
        if record.member.state == MemberState.ALIVE:
            record.member = replace(record.member, state=MemberState.SUSPECT)
            self.version += 1
            self._rumors.apply(_build_update(record.member))

    def _bury(self, record: _Record, now_s: float) -> None:
        vm = record.member.vm
        member = replace(record.member, state=MemberState.DEAD)
        del self._records[vm]
        self._dead[vm] = _Record(member=member, changed_s=now_s)
        self.version += 1
        self._rumors.apply(_build_update(member))

    def _store(self, member: Member, now_s: float, *, spread: bool = True) -> None:
        """Replace what the view holds about a member that is not dead."""
        self._dead.pop(member.vm, None)
        self._fresh.pop(member.vm, None)
        former = self._records.get(member.vm)
        record = _Record(member=member, changed_s=now_s)
        if former is not None:
            record.heard_s = former.heard_s
        if member.state == MemberState.SUSPECT:
            record.suspect_since_s = now_s
            record.suspect_until_s = now_s + self.suspicion_s
        self._records[member.vm] = record
        self.version += 1
        if spread:
            self._rumors.apply(_build_update(member))
