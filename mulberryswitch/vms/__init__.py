"""VMs of the fleet: membership, pauses and choice of owners."""

from ._membership import ListEntry, Membership, Send
from ._owners import Member, pick_owner, pick_standbys, rank_members
from ._pause import PauseDetector
from ._silence import SilenceDetector

__all__ = [
    "ListEntry",
    "Member",
    "Membership",
    "PauseDetector",
    "Send",
    "SilenceDetector",
    "pick_owner",
    "pick_standbys",
    "rank_members",
]
