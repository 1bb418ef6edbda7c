"""VMs of the fleet: membership and choice of owners."""

from ._owners import Member, pick_owner, pick_standbys, rank_members

__all__ = ["Member", "pick_owner", "pick_standbys", "rank_members"]
