"""Zones that an operator has asked to evacuate: their targets get no new flows.

It answers the load of a zone that has to be emptied while it works: new flows go to the other zones
from the next opening on, and open flows end where they are.
"""

import logging
from collections.abc import Set
from dataclasses import dataclass

from ._records import Position

__all__ = ["EvacuatedZone", "Evacuations"]

log = logging.getLogger("directory")


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuatedZone:
    """A request in force: its zone, the record's position, and when this VM learned of it."""

    zone: str
    position: Position
    since_s: float


class Evacuations:
    """Requests in force, by the key of their record.

    Attributes
    ----------
    zones : frozenset of str
        The evacuated zones.
    """

    def __init__(self) -> None:
        self.zones: frozenset[str] = frozenset()
        self._by_key: dict[str, EvacuatedZone] = {}

    def __contains__(self, key: str) -> bool:
        """Return whether the record with `key` is a request in force."""
        return key in self._by_key

    def list_keys(self) -> Set[str]:
        """Return the keys of the requests in force."""
        return self._by_key.keys()

    def list_zones(self) -> list[EvacuatedZone]:
        """Return the requests in force, by zone."""
        return sorted(self._by_key.values(), key=lambda item: item.zone)

    def apply_request(
        self, *, key: str, zone: str, position: Position, known_zones: Set[str], now_s: float
    ) -> None:
        """Put a request in force; one that is in force already keeps its start."""
        former = self._by_key.get(key)
        since_s = now_s if former is None else former.since_s
        self._by_key[key] = EvacuatedZone(zone=zone, position=position, since_s=since_s)
        self._update_zones()
        if former is not None:
            return
        is_known = not known_zones or zone in known_zones
        log.log(
            logging.INFO if is_known else logging.WARNING,
            "zone evacuated" if is_known else "evacuation of an unknown zone",
            extra={"zone": zone, "epoch": position.epoch, "revision": position.revision},
        )

    def remove_request(self, key: str, now_s: float) -> str | None:
        """Take a request back; return its zone, None if it was not in force."""
        former = self._by_key.pop(key, None)
        if former is None:
            return None
        self._update_zones()
        lasted_s = round(now_s - former.since_s, 3)
        log.info("evacuation taken back", extra={"zone": former.zone, "lasted_s": lasted_s})
        return former.zone

    def _update_zones(self) -> None:
        self.zones = frozenset(item.zone for item in self._by_key.values())
