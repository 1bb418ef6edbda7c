"""Exchange of target loads between VMs: shares within a zone, sums between zones."""

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mulberryswitch.contracts import LoadEntry, ZoneLoads
from mulberryswitch.directory import Feed
from mulberryswitch.forwarding import TargetLoads, get_load_period_s, subtract_entries
from mulberryswitch.vms import Member

__all__ = ["OTHER_ZONES", "DueShare", "LoadExchange"]

# Limit of load entries in one datagram; the busiest targets are kept.
MAX_LOAD_ENTRIES = 100
# Zone name that stands for the sum over all other zones in announcements to the local zone.
OTHER_ZONES = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class DueShare:
    """Loads of this VM that are due to be sent to the aggregator at `address`."""

    address: str
    entries: tuple[LoadEntry, ...]


class LoadExchange:
    """Decides which loads are due to be sent, and applies those that peers send.

    One store reader of a zone, the aggregator, receives the shares of the zone's VMs. It announces
    their sum to the readers of the other zones, and to its own zone together with the sum over all
    other zones.

    Parameters
    ----------
    vm, zone : str
        This VM.
    loads : TargetLoads
    feed : Feed
        Knows the aggregator of the zone.
    """

    def __init__(self, *, vm: str, zone: str, loads: TargetLoads, feed: Feed):
        self.vm = vm
        self.zone = zone
        self.loads = loads
        self.feed = feed
        self._sums_due_s: dict[str, float] = {}
        self._share_due_s = float("-inf")

    def build_due_sums(self, members: Sequence[Member], now_s: float) -> tuple[ZoneLoads, ...]:
        """Return those sums of loads, of this zone and of all others, whose period has elapsed."""
        if not self.loads.has_shares and not self.feed.is_load_aggregator(members):
            return ()
        builders = {
            self.zone: lambda: self.loads.sum_zone_loads(now_s),
            OTHER_ZONES: lambda: self.loads.sum_other_zones(self.zone, now_s),
        }
        due = [name for name in builders if now_s >= self._sums_due_s.get(name, 0.0)]
        sums = tuple(ZoneLoads(zone=name, entries=_pick_busiest(builders[name]())) for name in due)
        for zone_loads in sums:
            period_s = get_load_period_s(len(zone_loads.entries))
            self._sums_due_s[zone_loads.zone] = now_s + period_s
        return sums

    def build_due_share(self, members: Sequence[Member], now_s: float) -> DueShare | None:
        """Return the loads of this VM for the aggregator; None if they are not due yet."""
        self.loads.has_peers = any(m.zone == self.zone and m.vm != self.vm for m in members)
        if now_s < self._share_due_s:
            return None
        aggregator = self.feed.pick_load_aggregator(members, now_s)
        if aggregator is None:
            return None
        entries = _pick_busiest(self.loads.build_share(now_s))
        self._share_due_s = now_s + get_load_period_s(len(entries))
        return DueShare(address=aggregator.address, entries=entries)

    def observe_sums(
        self, *, sender_zone: str, sums: Iterable[ZoneLoads], is_reader: bool, now_s: float
    ) -> None:
        """Apply the sums of a reader's announcement; `is_reader` tells whether this VM is one."""
        is_same_zone = sender_zone == self.zone
        for zone_loads in sums:
            is_own = zone_loads.zone == self.zone
            entries = zone_loads.entries
            if is_own:
                if not is_same_zone or self.loads.has_shares:
                    continue
                entries = subtract_entries(entries, self.loads.build_share(now_s))
            elif not is_same_zone and zone_loads.zone != sender_zone:
                continue
            elif is_same_zone and is_reader:
                # Store readers receive the loads of each other zone from that zone's readers.
                continue
            self.loads.observe_zone(
                zone=zone_loads.zone, entries=entries, now_s=now_s, is_own=is_own
            )


def _pick_busiest(entries: Iterable[LoadEntry]) -> tuple[LoadEntry, ...]:
    return tuple(
        heapq.nlargest(MAX_LOAD_ENTRIES, entries, key=lambda entry: (entry.busy, entry.long_flows))
    )
