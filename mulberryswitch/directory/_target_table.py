"""Targets that a replica lists, and those that departed, by key, token and service."""

import itertools
import logging
from collections.abc import Callable, Mapping

from ._departures import Departure, DepartureCause
from ._records import Target
from ._tokens import build_token

__all__ = ["TargetTable"]

log = logging.getLogger("directory")


class TargetTable:
    """Targets of one replica, with the indexes over them.

    The indexes are those of the last `rebuild_indexes`. The dicts are never replaced, so that
    their users may keep them.

    Parameters
    ----------
    get_created_revision : callable
        Returns the revision at which the record of a key was created.
    keep_departed_s : float
        How long a departed target is remembered by its token, in seconds.

    Attributes
    ----------
    targets : dict of str to Target
        Listed targets by key, draining ones included.
    by_token : dict of int to Target
        Index of `targets`.
    cold_until_s : dict of str to float
        End of the warm-up by key.
    evacuated_zones : frozenset of str
        Zones whose targets accept no new flows.
    """

    def __init__(self, *, get_created_revision: Callable[[str], int], keep_departed_s: float):
        self.get_created_revision = get_created_revision
        self.keep_departed_s = keep_departed_s
        self.targets: dict[str, Target] = {}
        self.by_token: dict[int, Target] = {}
        self.cold_until_s: dict[str, float] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self._departures: dict[int, Departure] = {}
        self._by_service: dict[str, list[Target]] = {}

    def find_departure(self, token: int) -> Departure | None:
        """Return the departure of the target with `token`; None if none is remembered."""
        return self._departures.get(token)

    def list_tokens(self) -> list[int]:
        """Return the tokens of all targets, including the departed ones that are remembered."""
        return [*self.by_token, *self._departures]

    def list_serving(self, service: str, now_s: float) -> list[Target]:
        """Return the targets that accept new flows of `service`.

        If at least half of a service's records lapsed together, a store outage is more likely than
        a failure of the targets, so these remain in use until their grace period ends.
        """
        live = self._by_service.get(service, [])
        lapsed = [
            departure.target
            for departure in self._departures.values()
            if departure.target.service == service
            and departure.is_in_grace_period(now_s)
            and departure.target.zone not in self.evacuated_zones
        ]
        return [*live, *lapsed] if len(lapsed) >= max(1, len(live)) else live

    def list_target(self, target: Target, now_s: float) -> None:
        """Add a target, or replace its former description."""
        former = self.targets.get(target.key)
        self.targets[target.key] = target
        self.cold_until_s[target.key] = now_s + target.cold_s
        if former is None or (former.is_draining, former.boot_ms) != (
            target.is_draining,
            target.boot_ms,
        ):
            log.info(
                "target listed",
                extra={
                    "target": target.key,
                    "service": target.service,
                    "zone": target.zone,
                    "address": "{}:{}".format(*target.address),
                    "draining": target.is_draining,
                    "boot_ms": target.boot_ms,
                },
            )

    def restart_warm_up(self, zone: str, starts_s: Mapping[str, float], now_s: float) -> None:
        """Take the targets of a zone for cold, for the time that their service states."""
        for target in self.targets.values():
            if target.zone == zone and target.service in starts_s:
                until_s = max(self.cold_until_s[target.key], now_s + starts_s[target.service])
                self.cold_until_s[target.key] = until_s

    def remove_target(
        self, key: str, cause: DepartureCause, now_s: float, created_revision: int = 0
    ) -> None:
        """Remove a target, if it is listed, and remember its departure."""
        target = self.targets.pop(key, None)
        self.cold_until_s.pop(key, None)
        if target is None:
            return
        if target.is_draining:
            cause = DepartureCause.LEFT
        self._departures[build_token(target.identity)] = Departure(
            target=target, departed_s=now_s, cause=cause, created_revision=created_revision
        )
        log.info("target departed", extra={"target": key, "cause": cause.value})

    def rebuild_indexes(self, now_s: float) -> None:
        """Bring the indexes up to date after changes, and forget old departures."""
        by_token: dict[int, Target] = {}
        # Two identities may collide on a token. The older target keeps it, because its open flows
        # carry it; the newer one receives no flows.
        for target in sorted(self.targets.values(), key=self._get_age_order):
            by_token.setdefault(build_token(target.identity), target)
        self.by_token.clear()
        self.by_token.update(by_token)
        self._departures = {
            token: departure
            for token, departure in self._departures.items()
            if now_s - departure.departed_s <= self.keep_departed_s and token not in by_token
        }
        available = sorted(
            (
                target
                for target in by_token.values()
                if not target.is_draining and target.zone not in self.evacuated_zones
            ),
            key=lambda target: (target.service, target.key),
        )
        self._by_service = {
            service: list(group)
            for service, group in itertools.groupby(available, key=lambda target: target.service)
        }

    def _get_age_order(self, target: Target) -> tuple[int, int, str]:
        # A restore changes revisions, but not the start of a process.
        return target.boot_ms, self.get_created_revision(target.key), target.key
