"""Choice of the VMs that read the platform for their availability zone."""

from collections.abc import Iterable

from ._owners import Member, rank_members

__all__ = ["READERS_PER_ZONE", "pick_readers", "rank_readers"]

# The second one reads on while the first is dead, paused or refused.
READERS_PER_ZONE = 2


def rank_readers(*, zone: str, members: Iterable[Member]) -> list[Member]:
    """Return the VMs of `zone` in the order in which they take over the reading."""
    near = (member for member in members if member.zone == zone)
    return rank_members(key=f"config-reader|{zone}", members=near)


def pick_readers(*, zone: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the VMs of `zone` that read the platform."""
    return tuple(rank_readers(zone=zone, members=members)[:READERS_PER_ZONE])
