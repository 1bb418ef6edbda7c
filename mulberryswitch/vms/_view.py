"""Membership view of one VM: members, dead members and the state transitions between them."""

import bisect
from collections.abc import Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType

from mulberryswitch.contracts import MemberState, MemberUpdate

from ._owners import Member
from ._updates import UpdateQueue

__all__ = ["DEAD_RETENTION_S", "MemberRecord", "MembershipView", "build_member", "build_update"]

DEAD_RETENTION_S = 60.0
# A refused connection means that no process listens on the port, so a short timeout is enough.
REFUSED_SUSPICION_S = 0.3
# Partitions between regions last about an hour; the addresses of dead members are kept longer, so
# that the sides can reconnect.
DEAD_ADDRESS_RETENTION_S = 2 * 3600.0


@dataclass(kw_only=True, slots=True)
class MemberRecord:
    """State of another VM in the view.

    `suspect_since_s` is set for suspects and for leaving members that miss pings.
    `is_local_suspicion` marks a suspicion that this VM raised, so that it pings the suspect every
    period. `is_listed_only` marks a member with incarnation 0 that is known only from the
    platform's list. `is_expired` marks a dead member that ``members()`` no longer returns.
    """

    member: Member
    changed_s: float
    last_heard_s: float = 0.0
    suspect_since_s: float | None = None
    suspect_until_s: float = 0.0
    is_local_suspicion: bool = False
    is_listed_only: bool = False
    is_expired: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """Members at one version of the view that are not dead, sorted by name."""

    version: int
    routable: tuple[Member, ...]
    live: tuple[Member, ...]


def build_update(member: Member) -> MemberUpdate:
    """Return the update that describes `member`."""
    return MemberUpdate(
        vm=member.vm,
        zone=member.zone,
        address=member.address,
        incarnation=member.incarnation,
        state=int(member.state),
    )


def build_member(update: MemberUpdate) -> Member:
    """Return the member described by `update`."""
    return Member(
        vm=update.vm,
        zone=update.zone,
        address=update.address,
        incarnation=update.incarnation,
        state=MemberState(update.state),
    )


class MembershipView:
    """Records of the other VMs and the transitions between their states.

    Parameters
    ----------
    own_member : Member
        This VM.
    suspicion_s : float
        Suspicion timeout in seconds.

    Attributes
    ----------
    records, dead : dict of str to MemberRecord
        The other members and the dead ones by VM name; no VM is in both.
    suspects : dict of str to MemberRecord
        The subset of `records` with a running suspicion.
    newly_added : list of str
        Members that were added since the caller last cleared the list.
    update_queue : UpdateQueue
        Updates to send to other VMs.
    version : int
        Increases with each change.
    """

    def __init__(self, *, own_member: Member, suspicion_s: float):
        self.own_member = own_member
        self.suspicion_s = suspicion_s
        self.records: dict[str, MemberRecord] = {}
        self.dead: dict[str, MemberRecord] = {}
        self.suspects: dict[str, MemberRecord] = {}
        self.newly_added: list[str] = []
        self.update_queue = UpdateQueue()
        self.version = 1
        # Members sorted by name, updated incrementally: rebuilding a large view at each change took
        # more than half of the CPU time.
        self._ordered_names = [own_member.vm]
        self._ordered_members = [own_member]
        self._leaving_vms: set[str] = set()
        self._cached_snapshot: Snapshot | None = None
        self._cached_members: tuple[int, Mapping[str, Member]] | None = None

    def snapshot(self) -> Snapshot:
        """Return an immutable snapshot; it is cached until `version` changes."""
        if self._cached_snapshot is None or self._cached_snapshot.version != self.version:
            routable = tuple(self._ordered_members)
            live = routable
            if self._leaving_vms:
                live = tuple([member for member in routable if member.vm not in self._leaving_vms])
            self._cached_snapshot = Snapshot(version=self.version, routable=routable, live=live)
        return self._cached_snapshot

    def members(self) -> Mapping[str, Member]:
        """Return every member by VM name, including dead ones that have not expired."""
        if self._cached_members is None or self._cached_members[0] != self.version:
            dead = [record.member for record in self.dead.values() if not record.is_expired]
            members = {member.vm: member for member in (*self.snapshot().routable, *dead)}
            self._cached_members = (self.version, MappingProxyType(members))
        return self._cached_members[1]

    def find(self, vm: str) -> MemberRecord | None:
        """Return the record of `vm`, dead or not, or None."""
        return self.records.get(vm) or self.dead.get(vm)

    def is_newer(self, update: MemberUpdate) -> bool:
        """Return whether `update` supersedes the known state; `update` must not report a death."""
        dead = self.dead.get(update.vm)
        if dead is not None:
            return update.incarnation > dead.member.incarnation
        record = self.records.get(update.vm)
        if record is None:
            return True
        member = record.member
        return (update.incarnation, update.state) > (member.incarnation, member.state)

    def update_own_member(self, own_member: Member) -> None:
        """Replace the member entry of this VM, which every datagram carries."""
        self.own_member = own_member
        self._upsert_ordered(own_member)

    def add_listed_member(self, member: Member) -> None:
        """Add a member that is known only from the platform's list."""
        self._store_record(MemberRecord(member=member, changed_s=0.0, is_listed_only=True))

    def apply_member(self, member: Member, *, now_s: float) -> None:
        """Add or replace a member that is not dead."""
        if member.state == MemberState.SUSPECT and member.vm in self.dead:
            # If the VM is alive, it refutes with a higher incarnation.
            self._store_dead(replace(member, state=MemberState.DEAD), now_s)
            return
        former = self.records.get(member.vm)
        last_heard_s = former.last_heard_s if former is not None else 0.0
        # When a fleet starts at once, every VM learns the incarnation of every listed VM. Gossiping
        # all of these would fill the datagrams for minutes.
        if (
            former is not None
            and former.is_listed_only
            and former.member == replace(member, incarnation=0)
        ):
            self._store_record(
                MemberRecord(member=member, changed_s=0.0, last_heard_s=last_heard_s)
            )
            return
        record = MemberRecord(member=member, changed_s=now_s, last_heard_s=last_heard_s)
        self._store_record(record)
        if member.state == MemberState.SUSPECT:
            self._start_suspicion_timer(record, now_s)
        self.update_queue.enqueue(build_update(member))

    def _store_record(self, record: MemberRecord) -> None:
        vm = record.member.vm
        self.dead.pop(vm, None)
        self.suspects.pop(vm, None)
        if vm not in self.records:
            self.newly_added.append(vm)
        self.records[vm] = record
        self._upsert_ordered(record.member)

    def suspect_member(self, vm: str, *, now_s: float) -> None:
        """Start a suspicion raised by this VM, unless the member is already suspected."""
        record = self.records[vm]
        record.is_local_suspicion = True
        if record.suspect_since_s is not None:
            return
        self._start_suspicion_timer(record, now_s)
        # A leaving member owns nothing and keeps its state, which takes precedence over SUSPECT.
        if record.member.state == MemberState.ALIVE:
            record.member = replace(record.member, state=MemberState.SUSPECT)
            self._upsert_ordered(record.member)
            self.update_queue.enqueue(build_update(record.member))

    def shorten_suspicion(self, vm: str, *, now_s: float) -> None:
        """Suspect a member whose peer port refuses connections, with a shorter timeout."""
        self.suspect_member(vm, now_s=now_s)
        record = self.records[vm]
        record.suspect_until_s = min(record.suspect_until_s, now_s + REFUSED_SUSPICION_S)

    def adopt_incarnation(self, update: MemberUpdate) -> None:
        """Set the incarnation of a suspect known from the platform's list to the one in `update`.

        The suspicion continues, because a third-party report that the VM was alive is older than
        the missed ping.
        """
        record = self.records[update.vm]
        record.member = replace(build_member(update), state=MemberState.SUSPECT)
        record.is_listed_only = False
        self._upsert_ordered(record.member)
        self.update_queue.enqueue(build_update(record.member))

    def record_heard(self, vm: str, *, now_s: float) -> None:
        """Record a message from `vm`.

        This clears the missed pings of a leaving member; a suspect has to refute with a higher
        incarnation instead.
        """
        record = self.records.get(vm)
        if record is None:
            return
        record.last_heard_s = now_s
        if record.member.state == MemberState.LEAVING and record.suspect_since_s is not None:
            record.suspect_since_s = None
            del self.suspects[vm]

    def declare_dead(self, vm: str, *, now_s: float) -> None:
        """Move a member to `dead`."""
        record = self.records.pop(vm)
        index = bisect.bisect_left(self._ordered_names, vm)
        del self._ordered_names[index], self._ordered_members[index]
        self._leaving_vms.discard(vm)
        self.suspects.pop(vm, None)
        member = replace(record.member, state=MemberState.DEAD)
        self.dead[vm] = MemberRecord(member=member, changed_s=now_s)
        self.version += 1
        self.update_queue.enqueue(build_update(member))

    def _store_dead(self, member: Member, now_s: float) -> None:
        """Record that a non-member is dead at this incarnation and all lower ones."""
        known = self.dead.get(member.vm)
        if known is None:
            self.dead[member.vm] = MemberRecord(member=member, changed_s=now_s)
            self.version += 1
        elif member.incarnation > known.member.incarnation:
            known.member = member
            self.version += 1

    def apply_death_report(self, update: MemberUpdate, *, now_s: float) -> bool:
        """Apply a death reported by another VM; return whether the reported VM has to be pinged.

        A report starts a suspicion or halves the timeout of a running one. It does not take effect
        at once, because after a partition each side reports the members of the other side dead.
        """
        record = self.records.get(update.vm)
        if record is None:
            self._store_dead(build_member(update), now_s)
            return False
        if update.incarnation < record.member.incarnation:
            return False
        record.member = replace(build_member(update), state=record.member.state)
        self._upsert_ordered(record.member)
        # No time to refute is needed: a leaving member owns nothing, and a VM known only from the
        # platform's list may have stopped long ago.
        if record.member.state == MemberState.LEAVING or record.is_listed_only:
            self.declare_dead(update.vm, now_s=now_s)
            return False
        if record.suspect_since_s is None:
            self.suspect_member(update.vm, now_s=now_s)
            return True
        half_s = record.suspect_since_s + self.suspicion_s / 2
        record.suspect_until_s = min(record.suspect_until_s, half_s)
        return False

    def restart_suspicions(self, *, now_s: float) -> None:
        """Restart the timeout of every suspicion after a pause of this process."""
        for record in self.suspects.values():
            self._start_suspicion_timer(record, now_s)

    def expire_suspicions(self, *, now_s: float) -> None:
        """Declare suspects dead whose timeout has expired."""
        expired = [vm for vm, r in self.suspects.items() if now_s >= r.suspect_until_s]
        for vm in expired:
            self.declare_dead(vm, now_s=now_s)

    def remove_expired(self, *, now_s: float) -> None:
        """Hide dead members after `DEAD_RETENTION_S`, remove them after the address retention."""
        for vm, record in list(self.dead.items()):
            age_s = now_s - record.changed_s
            if age_s > DEAD_RETENTION_S and not record.is_expired:
                record.is_expired = True
                self.version += 1
            if age_s > DEAD_ADDRESS_RETENTION_S:
                del self.dead[vm]

    def _start_suspicion_timer(self, record: MemberRecord, now_s: float) -> None:
        record.suspect_since_s = now_s
        record.suspect_until_s = now_s + self.suspicion_s
        self.suspects[record.member.vm] = record

    def _upsert_ordered(self, member: Member) -> None:
        """Insert or replace a member in the list sorted by name."""
        index = bisect.bisect_left(self._ordered_names, member.vm)
        if self._ordered_names[index : index + 1] == [member.vm]:
            self._ordered_members[index] = member
        else:
            self._ordered_names.insert(index, member.vm)
            self._ordered_members.insert(index, member)
        if member.state == MemberState.LEAVING:
            self._leaving_vms.add(member.vm)
        else:
            self._leaving_vms.discard(member.vm)
        self.version += 1
