"""Preference for the local availability zone and the limit on spill from other zones."""

from ._preference import SpillPolicy, pick_zone_first

__all__ = ["SpillPolicy", "pick_zone_first"]
