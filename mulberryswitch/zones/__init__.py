"""Zone preference and the bound on spill between zones."""

from ._preference import SpillPolicy, pick_zone_first

__all__ = ["SpillPolicy", "pick_zone_first"]
