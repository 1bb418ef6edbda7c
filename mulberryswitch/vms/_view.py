"""One VM's view of the fleet: the members, the dead and the rules by which they change."""

import bisect
from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType

from mulberryswitch.contracts import MemberState, MemberUpdate

from ._owners import Member
from ._updates import UpdateQueue

__all__ = ["FORGET_DEAD_S", "Record", "View", "build_member", "build_update"]

FORGET_DEAD_S = 60.0
# No process listens on a port that refuses connections, so little time to refute is enough.
REFUSED_SUSPICION_S = 0.3
# Regions lose each other for about an hour; the addresses of the dead are kept for longer.
KEEP_ADDRESS_S = 2 * 3600.0


@dataclass(kw_only=True, slots=True)
class Record:
    """What the view holds about another VM.

    `suspect_since_s` is set for suspects and for leaving members that miss pings. `is_checker`
    marks a suspicion that this VM raised and therefore checks every period. `is_listed_only` marks
    a member that nobody has heard yet, with incarnation 0.
    """

    member: Member
    changed_s: float
    heard_s: float = 0.0
    suspect_since_s: float | None = None
    suspect_until_s: float = 0.0
    is_checker: bool = False
    is_listed_only: bool = False
    is_forgotten: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """The members of one version of the view that are not dead, in order of their names."""

    version: int
    routable: tuple[Member, ...]
    live: tuple[Member, ...]


def build_update(member: Member) -> MemberUpdate:
    """Return `member` as an update."""
    return MemberUpdate(
        vm=member.vm,
        zone=member.zone,
        address=member.address,
        incarnation=member.incarnation,
        state=int(member.state),
    )


def build_member(update: MemberUpdate) -> Member:
    """Return the member that `update` describes."""
    return Member(
        vm=update.vm,
        zone=update.zone,
        address=update.address,
        incarnation=update.incarnation,
        state=MemberState(update.state),
    )


class View:
    """Records of the other VMs.

    Parameters
    ----------
    own : Member
        This VM.
    suspicion_s : float
        Time in seconds that a suspect has to refute.

    Attributes
    ----------
    records, dead : dict of str to Record
        The other members and the dead by VM name; no VM is in both.
    suspects : dict of str to Record
        Those of `records` with a running suspicion.
    added : list of str
        Members that joined since the caller last emptied the list.
    version : int
        Rises at each change.
    """

    def __init__(self, *, own: Member, suspicion_s: float):
        self.own = own
        self.suspicion_s = suspicion_s
        self.records: dict[str, Record] = {}
        self.dead: dict[str, Record] = {}
        self.suspects: dict[str, Record] = {}
        self.added: list[str] = []
        self.queue = UpdateQueue()
        self.version = 1
        # Members in order of their names, kept up to date, because building a large view anew at
        # each change took more than half of the processor time.
        self._names = [own.vm]
        self._shown = [own]
        self._leaving: set[str] = set()
        self._snapshot: Snapshot | None = None
        self._members: tuple[int, Mapping[str, Member]] | None = None

    def snapshot(self) -> Snapshot:
        """Return the view as immutable values; calls at the same version return the same one."""
        if self._snapshot is None or self._snapshot.version != self.version:
            routable = tuple(self._shown)
            live = routable
            if self._leaving:
                live = tuple([member for member in routable if member.vm not in self._leaving])
            self._snapshot = Snapshot(version=self.version, routable=routable, live=live)
        return self._snapshot

    def members(self) -> Mapping[str, Member]:
        """Return every member that is not forgotten, the dead included, by VM name."""
        if self._members is None or self._members[0] != self.version:
            dead = [record.member for record in self.dead.values() if not record.is_forgotten]
            members = {member.vm: member for member in (*self.snapshot().routable, *dead)}
            self._members = (self.version, MappingProxyType(members))
        return self._members[1]

    def find(self, vm: str) -> Record | None:
        """Return the record of `vm`, dead or not."""
        return self.records.get(vm) or self.dead.get(vm)

    def is_news(self, update: MemberUpdate) -> bool:
        """Return whether `update`, which reports no death, replaces what the view holds."""
        dead = self.dead.get(update.vm)
        if dead is not None:
            return update.incarnation > dead.member.incarnation
        record = self.records.get(update.vm)
        if record is None:
            return True
        member = record.member
        return (update.incarnation, update.state) > (member.incarnation, member.state)

    def apply_own(self, own: Member) -> None:
        """Replace what this VM says about itself; every datagram carries it."""
        self.own = own
        self._show(own)

    def apply_listed(self, member: Member) -> None:
        """Add a member that is known from the platform's list only."""
        self._put(Record(member=member, changed_s=0.0, is_listed_only=True))

    def apply_member(self, member: Member, *, now_s: float) -> None:
        """Add or replace a member that is not dead."""
        if member.state == MemberState.SUSPECT and member.vm in self.dead:
            # If the VM is alive it refutes with a still higher incarnation.
            self._put_dead(replace(member, state=MemberState.DEAD), now_s)
            return
        former = self.records.get(member.vm)
        heard_s = former.heard_s if former is not None else 0.0
        # At a common start every VM hears the incarnation of every other that it has from the
        # list. Spreading all of these would fill the datagrams for minutes.
        if (
            former is not None
            and former.is_listed_only
            and former.member == replace(member, incarnation=0)
        ):
            self._put(Record(member=member, changed_s=0.0, heard_s=heard_s))
            return
        record = Record(member=member, changed_s=now_s, heard_s=heard_s)
        self._put(record)
        if member.state == MemberState.SUSPECT:
            self._start_suspicion(record, now_s)
        self.queue.apply(build_update(member))

    def _put(self, record: Record) -> None:
        vm = record.member.vm
        self.dead.pop(vm, None)
        self.suspects.pop(vm, None)
        if vm not in self.records:
            self.added.append(vm)
        self.records[vm] = record
        self._show(record.member)

    def apply_suspicion(self, vm: str, *, now_s: float) -> None:
        """Start a suspicion that this VM raised, unless one runs."""
        record = self.records[vm]
        record.is_checker = True
        if record.suspect_since_s is not None:
            return
        self._start_suspicion(record, now_s)
        # A leaving member owns nothing and keeps its state, which outranks a suspicion.
        if record.member.state == MemberState.ALIVE:
            record.member = replace(record.member, state=MemberState.SUSPECT)
            self._show(record.member)
            self.queue.apply(build_update(record.member))

    def apply_refusal(self, vm: str, *, now_s: float) -> None:
        """Shorten the suspicion of a member whose VM refuses connections on its peer port."""
        self.apply_suspicion(vm, now_s=now_s)
        record = self.records[vm]
        record.suspect_until_s = min(record.suspect_until_s, now_s + REFUSED_SUSPICION_S)

    def apply_incarnation(self, update: MemberUpdate) -> None:
        """Give a suspect from the platform's list the incarnation that others know.

        The suspicion goes on: hearsay that the VM was alive is older than the missed ping.
        """
        record = self.records[update.vm]
        record.member = replace(build_member(update), state=MemberState.SUSPECT)
        record.is_listed_only = False
        self._show(record.member)
        self.queue.apply(build_update(record.member))

    def apply_heard(self, vm: str, *, now_s: float) -> None:
        """Note that `vm` was heard; only a suspect has to refute with a higher incarnation."""
        record = self.records.get(vm)
        if record is None:
            return
        record.heard_s = now_s
        if record.member.state == MemberState.LEAVING and record.suspect_since_s is not None:
            record.suspect_since_s = None
            del self.suspects[vm]

    def apply_death(self, vm: str, *, now_s: float) -> None:
        """Declare a member dead."""
        record = self.records.pop(vm)
        index = bisect.bisect_left(self._names, vm)
        del self._names[index], self._shown[index]
        self._leaving.discard(vm)
        self.suspects.pop(vm, None)
        member = replace(record.member, state=MemberState.DEAD)
        self.dead[vm] = Record(member=member, changed_s=now_s)
        self.version += 1
        self.queue.apply(build_update(member))

    def _put_dead(self, member: Member, now_s: float) -> None:
        """Remember that a VM that is no member is dead at this incarnation or a lower one."""
        known = self.dead.get(member.vm)
        if known is None:
            self.dead[member.vm] = Record(member=member, changed_s=now_s)
            self.version += 1
        elif member.incarnation > known.member.incarnation:
            known.member = member
            self.version += 1

    def apply_death_report(self, update: MemberUpdate, *, now_s: float) -> bool:
        """Apply a death that another VM reports; return whether it has to be checked.

        A report starts a suspicion or halves a running one. It does not kill at once, because
        after a partition each side reports the members of the other side dead.
        """
        record = self.records.get(update.vm)
        if record is None:
            self._put_dead(build_member(update), now_s)
            return False
        if update.incarnation < record.member.incarnation:
            return False
        record.member = replace(build_member(update), state=record.member.state)
        self._show(record.member)
        # A leaving member owns nothing, and a listed VM that nobody heard may be long gone.
        if record.member.state == MemberState.LEAVING or record.is_listed_only:
            self.apply_death(update.vm, now_s=now_s)
            return False
        if record.suspect_since_s is None:
            self.apply_suspicion(update.vm, now_s=now_s)
            return True
        half_s = record.suspect_since_s + self.suspicion_s / 2
        record.suspect_until_s = min(record.suspect_until_s, half_s)
        return False

    def apply_resume(self, *, now_s: float) -> None:
        """Restart every suspicion after a pause of this process."""
        for record in self.suspects.values():
            self._start_suspicion(record, now_s)

    def apply_time(self, *, now_s: float) -> None:
        """Declare expired suspects dead."""
        expired = [vm for vm, r in self.suspects.items() if now_s >= r.suspect_until_s]
        for vm in expired:
            self.apply_death(vm, now_s=now_s)

    def drop_old(self, *, now_s: float) -> None:
        """Take the dead out of the members after 60 s and forget their addresses much later."""
        for vm, record in list(self.dead.items()):
            age_s = now_s - record.changed_s
            if age_s > FORGET_DEAD_S and not record.is_forgotten:
                record.is_forgotten = True
                self.version += 1
            if age_s > KEEP_ADDRESS_S:
                del self.dead[vm]

    def _start_suspicion(self, record: Record, now_s: float) -> None:
        record.suspect_since_s = now_s
        record.suspect_until_s = now_s + self.suspicion_s
        self.suspects[record.member.vm] = record

    def _show(self, member: Member) -> None:
        """Replace or insert a member in the ordered view."""
        index = bisect.bisect_left(self._names, member.vm)
        if self._names[index : index + 1] == [member.vm]:
            self._shown[index] = member
        else:
            self._names.insert(index, member.vm)
            self._shown.insert(index, member)
        if member.state == MemberState.LEAVING:
            self._leaving.add(member.vm)
        else:
            self._leaving.discard(member.vm)
        self.version += 1
