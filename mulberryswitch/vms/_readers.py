"""Choice of the VMs that read the configuration from the platform for their availability zone."""

from collections.abc import Iterable

from ._owners import Member, rank_members

__all__ = ["READERS_PER_ZONE", "pick_readers", "rank_readers"]

# The second reader covers for the first while that is dead, paused or refused by the platform.
READERS_PER_ZONE = 2


def rank_readers(*, zone: str, members: Iterable[Member]) -> list[Member]:
    """Return the VMs of `zone` in the order in which they become readers."""
    in_zone = (member for member in members if member.zone == zone)
    return rank_members(key=f"config-reader|{zone}", members=in_zone)


def pick_readers(*, zone: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the VMs of `zone` that read from the platform."""
    return tuple(rank_readers(zone=zone, members=members)[:READERS_PER_ZONE])
