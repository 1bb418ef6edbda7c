"""Choice of owners by rendezvous hashing over the members of a view."""

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
    """Return `members` from the first rendezvous rank for `key` to the last."""
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
        What is owned, such as ``"queue|reports"``.
    members : sequence of Member
        The VMs that the local view holds as live.
    zones : frozenset of str, optional
        Preferred zones; when no member is in one of them, every member is a candidate.

    Returns
    -------
    Member or None
        None when there are no members.
    """
    near = [member for member in members if zones is None or member.zone in zones]
    ranked = rank_members(key=key, members=near or members)
    return ranked[0] if ranked else None


def pick_standbys(*, key: str, members: Sequence[Member], owner: Member) -> tuple[Member, ...]:
    """Return the next VM in the owner's zone and the first of each other zone.

    One standby per zone lets a zone that is cut off resolve existing flows on its own.
    """
    ranked = rank_members(key=key, members=(m for m in members if m.vm != owner.vm))
    first_by_zone: dict[str, Member] = {}
    for member in ranked:
        first_by_zone.setdefault(member.zone, member)
    return tuple(first_by_zone.values())
