"""Choice of key owners by rendezvous hashing over the members of a view."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

import xxhash

from mulberryswitch.contracts import MemberState

__all__ = ["VmListEntry", "Member", "pick_owner", "pick_standbys", "rank_members"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One VM in a membership view; `address` is ``host:port`` for TCP and UDP."""

    vm: str
    zone: str
    address: str
    incarnation: int
    state: MemberState


class VmListEntry(Protocol):
    """One VM in the platform's list."""

    vm: str
    zone: str
    address: str
    leaving: bool


def rank_members(*, key: str, members: Iterable[Member]) -> list[Member]:
    """Return `members` sorted by their rendezvous hash for `key`, highest first."""
    return sorted(
        members,
        key=lambda member: (xxhash.xxh3_64_intdigest(f"{key}|{member.vm}".encode()), member.vm),
        reverse=True,
    )


def pick_owner(
    *, key: str, members: Sequence[Member], zones: frozenset[str] | None = None
) -> Member | None:
    """Return the owner of `key`.

    Parameters
    ----------
    key : str
        Key to own, such as ``"queue|reports"``.
    members : sequence of Member
        The live members of the local view.
    zones : frozenset of str, optional
        Preferred zones; if no member is in one of them, every member is a candidate.

    Returns
    -------
    Member or None
        None if there are no members.
    """
    preferred = [member for member in members if zones is None or member.zone in zones]
    ranked = rank_members(key=key, members=preferred or members)
    return ranked[0] if ranked else None


def pick_standbys(*, key: str, members: Sequence[Member], owner: Member) -> tuple[Member, ...]:
    """Return the highest-ranked VM of each zone, apart from `owner`.

    With one standby per zone, a partitioned zone can still resolve existing flows by itself.
    """
    ranked = rank_members(key=key, members=(m for m in members if m.vm != owner.vm))
    first_by_zone: dict[str, Member] = {}
    for member in ranked:
        first_by_zone.setdefault(member.zone, member)
    return tuple(first_by_zone.values())
