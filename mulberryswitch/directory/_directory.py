"""Routes and targets in force at one revision of the store."""

import itertools
import logging
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from ._records import DecodeRecord, Manifest, Record, Route, RouteKey, Target
from ._tokens import build_token

__all__ = ["Departure", "DepartureCause", "Directory"]

# Deltas for peers that are behind; beyond this they take a snapshot.
MAX_LOGGED_RECORDS = 512
# A living target whose record lapsed during an outage of the store is back within 2 s of its
# return; the rest is the way of the news to this VM.
LAPSE_GRACE_S = 2.5

log = logging.getLogger("directory")


class DepartureCause(Enum):
    """Why a target is no longer listed."""

    LEFT = "left"
    LAPSED = "lapsed"
    UNREADABLE = "unreadable"


@dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """A target that is no longer listed, as seen at `departed_s`."""

    target: Target
    departed_s: float
    cause: DepartureCause

    def may_return(self, now_s: float) -> bool:
        """Return whether the store may have lost the record of a target that lives."""
        return self.cause is DepartureCause.LAPSED and now_s - self.departed_s <= LAPSE_GRACE_S

    def is_gone(self, now_s: float) -> bool:
        """Return whether the process has ended, so that its open flows are lost.

        A record that another writer spoiled says nothing about the process.
        """
        return self.cause is not DepartureCause.UNREADABLE and not self.may_return(now_s)


class Directory:
    """What this VM knows of the store; its revision only rises.

    Parameters
    ----------
    decode : callable
        Translates a record; see ``DecodeRecord``.
    keep_departed_s : float
        How long the token of a departed target is remembered, in seconds: the longest life of a
        flow.

    Attributes
    ----------
    revision : int
        Newest revision of the store that is included; 0 while nothing is known.
    changed_s : float
        When the content changed last.
    """

    def __init__(self, *, decode: DecodeRecord, keep_departed_s: float = 60.0):
        self.decode = decode
        self.keep_departed_s = keep_departed_s
        self.revision = 0
        self.version = 0
        self.idle_timeout_s = 60.0
        self.changed_s = 0.0
        self.routes: dict[RouteKey, Route] = {}
        self.removed_routes: set[RouteKey] = set()
        self.targets: dict[str, Target] = {}
        self.by_token: dict[int, Target] = {}
        self.cold_until_s: dict[str, float] = {}
        self._departures: dict[int, Departure] = {}
        self._records: dict[str, Record] = {}
        self._log: deque[Record] = deque(maxlen=MAX_LOGGED_RECORDS)
        self._log_floor = 0
        self._by_service: dict[str, list[Target]] = {}
        self._manifest_revision = 0

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration is known."""
        return bool(self.version)

    # Lookups

    def find_target(self, token: int) -> Target | None:
        """Return the target that `token` names, None if it is unknown or has departed."""
        return self.by_token.get(token)

    def find_departure(self, token: int) -> Departure | None:
        """Return the departed target that `token` named."""
        return self._departures.get(token)

    def list_serving(self, service: str, now_s: float) -> list[Target]:
        """Return the targets that take new flows of `service`.

        When at least half of a service's records lapsed together, the store lost them and not
        the targets their lives: they stay in use until their time to return is over.
        """
        live = self._by_service.get(service, [])
        lapsed = [
            departure.target
            for departure in self._departures.values()
            if departure.target.service == service and departure.may_return(now_s)
        ]
        return [*live, *lapsed] if len(lapsed) >= max(1, len(live)) else live

    # Changes

    def apply_records(self, *, records: Iterable[Record], revision: int, now_s: float) -> bool:
        """Apply changes that follow this revision without a gap; return whether any was news."""
        news = [
            record
            for record in records
            if record.revision > self.revision and self._apply_record(record, now_s)
        ]
        self._log_all(news)
        return self._finish(revision, bool(news), now_s)

    def apply_snapshot(self, *, records: Sequence[Record], revision: int, now_s: float) -> bool:
        """Replace the content by a whole state of the store, unless that one is older."""
        if revision < self.revision:
            return False
        missing = self._records.keys() - {record.key for record in records}
        gone = [
            Record(key=key, revision=revision, created_revision=revision, value=None)
            for key in missing
        ]
        news = [record for record in [*records, *gone] if self._apply_record(record, now_s)]
        self._log.clear()
        self._log_floor = revision
        return self._finish(revision, bool(news), now_s)

    def _apply_record(self, record: Record, now_s: float) -> bool:
        known = self._records.get(record.key)
        if known is not None and known.revision >= record.revision:
            return False
        if known is None and record.value is None:
            return False
        if record.value is None:
            del self._records[record.key]
            self._apply_departure(record.key, DepartureCause.LAPSED, now_s)
            return True
        self._records[record.key] = record
        content = self.decode(record)
        if isinstance(content, Manifest):
            self._apply_manifest(content, record.revision)
        elif content is not None:
            self._apply_target(content, now_s)
        elif record.key in self.targets:
            self._apply_departure(record.key, DepartureCause.UNREADABLE, now_s)
        return True

    def _apply_manifest(self, manifest: Manifest, revision: int) -> None:
        if revision < self._manifest_revision:
            return
        routes = {route.key: route for route in manifest.routes}
        self.removed_routes |= self.routes.keys()
        self.removed_routes -= routes.keys()
        self.routes = routes
        self.idle_timeout_s = manifest.idle_timeout_s
        log.info(
            "configuration in force",
            extra={
                "version": manifest.version,
                "former_version": self.version,
                "revision": revision,
                "routes": len(routes),
            },
        )
        self.version = manifest.version
        self._manifest_revision = revision

    def _apply_target(self, target: Target, now_s: float) -> None:
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

    def _apply_departure(self, key: str, cause: DepartureCause, now_s: float) -> None:
        target = self.targets.pop(key, None)
        self.cold_until_s.pop(key, None)
        if target is None:
            return
        if target.is_draining:
            cause = DepartureCause.LEFT
        self._departures[build_token(target.identity)] = Departure(
            target=target, departed_s=now_s, cause=cause
        )
        log.info("target departed", extra={"target": key, "cause": cause.value})

    def _finish(self, revision: int, has_news: bool, now_s: float) -> bool:
        self.revision = max(self.revision, revision)
        if has_news:
            self.changed_s = now_s
            self._rebuild(now_s)
        return has_news

    def _rebuild(self, now_s: float) -> None:
        by_token: dict[int, Target] = {}
        # Two identities may share a token. The older target keeps it, because its flows carry it;
        # the other one gets no flows.
        for target in sorted(self.targets.values(), key=self._get_age):
            by_token.setdefault(build_token(target.identity), target)
        self.by_token = by_token
        self._departures = {
            token: departure
            for token, departure in self._departures.items()
            if now_s - departure.departed_s <= self.keep_departed_s and token not in by_token
        }
        usable = sorted(
            (target for target in by_token.values() if not target.is_draining),
            key=lambda target: (target.service, target.key),
        )
        self._by_service = {
            service: list(group)
            for service, group in itertools.groupby(usable, key=lambda target: target.service)
        }

    def _get_age(self, target: Target) -> tuple[int, str]:
        return self._records[target.key].created_revision, target.key

    # Exchange with peers

    def _log_all(self, records: Iterable[Record]) -> None:
        for record in records:
            if len(self._log) == MAX_LOGGED_RECORDS:
                self._log_floor = self._log[0].revision
            self._log.append(record)

    def list_records(self) -> list[Record]:
        """Return the whole content for a peer that is far behind."""
        return list(self._records.values())

    def list_changes(self, after: int) -> list[Record] | None:
        """Return the changes after revision `after`; None when they are no longer all known."""
        if after < self._log_floor:
            return None
        return [record for record in self._log if record.revision > after]
