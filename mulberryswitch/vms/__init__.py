"""Fleet membership (SWIM), failure detection and choice of owners."""

from ._claims import OwnershipClaims
from ._membership import Membership, OutgoingDatagram, VmListEntry
from ._owners import Member, pick_owner, pick_standbys, rank_members
from ._pause import PauseDetector
from ._readers import READERS_PER_ZONE, pick_readers, rank_readers
from ._silence import SilenceDetector

__all__ = [
    "READERS_PER_ZONE",
    "Member",
    "Membership",
    "OutgoingDatagram",
    "OwnershipClaims",
    "PauseDetector",
    "SilenceDetector",
    "VmListEntry",
    "pick_owner",
    "pick_readers",
    "pick_standbys",
    "rank_members",
    "rank_readers",
]
