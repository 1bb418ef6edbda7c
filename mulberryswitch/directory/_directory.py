"""Replica of the routes and targets at one revision of the store."""

import itertools
import logging
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from ._records import DecodeRecord, Manifest, Record, Route, RouteKey, Target
from ._tokens import build_token

__all__ = ["Departure", "DepartureCause", "Directory"]

# Length of the change log for peers that are behind; a peer beyond its start gets a snapshot.
MAX_LOG_RECORDS = 512
# A live target whose lease expired during a store outage registers again within 2 s of the store's
# recovery. The remaining 0.5 s covers propagation to this VM.
LAPSE_GRACE_S = 2.5

log = logging.getLogger("directory")


class DepartureCause(Enum):
    """Reason why a target is no longer listed.

    ``LEFT``: the target was draining. ``LAPSED``: its record was deleted without a drain, as when
    its lease expires. ``UNREADABLE``: another writer overwrote the record.
    """

    LEFT = "left"
    LAPSED = "lapsed"
    UNREADABLE = "unreadable"


@dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """A target that was removed from the directory at `departed_s`."""

    target: Target
    departed_s: float
    cause: DepartureCause

    def is_in_grace_period(self, now_s: float) -> bool:
        """Return whether the target may be live and register again soon."""
        return self.cause is DepartureCause.LAPSED and now_s - self.departed_s <= LAPSE_GRACE_S

    def is_gone(self, now_s: float) -> bool:
        """Return whether the process is considered ended, so that its open flows are lost.

        A record that another writer overwrote is no evidence that the process has ended.
        """
        return self.cause is not DepartureCause.UNREADABLE and not self.is_in_grace_period(now_s)


class Directory:
    """This VM's replica of the store; its revision never decreases.

    Parameters
    ----------
    decode : callable
        Decodes a record; see ``DecodeRecord``.
    keep_departed_s : float
        How long a departed target is remembered by its token, in seconds. Matches the maximum
        lifetime of a flow.

    Attributes
    ----------
    revision : int
        Newest store revision that is included; 0 before the first read.
    changed_s : float
        Time of the last change of the content.
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
        self._log: deque[Record] = deque(maxlen=MAX_LOG_RECORDS)
        self._log_floor = 0
        self._by_service: dict[str, list[Target]] = {}
        self._manifest_revision = 0

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration has been received."""
        return bool(self.version)

    # Lookups

    def find_target(self, token: int) -> Target | None:
        """Return the target with `token`; None if it is unknown or has departed."""
        return self.by_token.get(token)

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
            if departure.target.service == service and departure.is_in_grace_period(now_s)
        ]
        return [*live, *lapsed] if len(lapsed) >= max(1, len(live)) else live

    # Changes

    def apply_records(self, *, records: Iterable[Record], revision: int, now_s: float) -> bool:
        """Apply changes that follow this revision without a gap; return whether any was new."""
        changed = [
            record
            for record in records
            if record.revision > self.revision and self._apply_record(record, now_s)
        ]
        self._append_to_log(changed)
        return self._complete_update(revision, bool(changed), now_s)

    def apply_snapshot(self, *, records: Sequence[Record], revision: int, now_s: float) -> bool:
        """Replace the content by a full snapshot of the store, unless the snapshot is older."""
        if revision < self.revision:
            log.warning(
                "older snapshot discarded",
                extra={"revision": revision, "replica_revision": self.revision},
            )
            return False
        missing = self._records.keys() - {record.key for record in records}
        deleted = [
            Record(key=key, revision=revision, created_revision=revision, value=None)
            for key in missing
        ]
        changed = [record for record in [*records, *deleted] if self._apply_record(record, now_s)]
        self._log.clear()
        self._log_floor = revision
        return self._complete_update(revision, bool(changed), now_s)

    def _apply_record(self, record: Record, now_s: float) -> bool:
        known = self._records.get(record.key)
        if known is not None and known.revision >= record.revision:
            if record.value != known.value:
                log.warning(
                    "record with other content discarded",
                    extra={
                        "key": record.key,
                        "revision": record.revision,
                        "known_revision": known.revision,
                    },
                )
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

    def _complete_update(self, revision: int, has_changes: bool, now_s: float) -> bool:
        self.revision = max(self.revision, revision)
        if has_changes:
            self.changed_s = now_s
            self._rebuild_indexes(now_s)
        return has_changes

    def _rebuild_indexes(self, now_s: float) -> None:
        by_token: dict[int, Target] = {}
        # Two identities may collide on a token. The older target keeps it, because its open flows
        # carry it; the newer one receives no flows.
        for target in sorted(self.targets.values(), key=self._get_age_order):
            by_token.setdefault(build_token(target.identity), target)
        self.by_token = by_token
        self._departures = {
            token: departure
            for token, departure in self._departures.items()
            if now_s - departure.departed_s <= self.keep_departed_s and token not in by_token
        }
        available = sorted(
            (target for target in by_token.values() if not target.is_draining),
            key=lambda target: (target.service, target.key),
        )
        self._by_service = {
            service: list(group)
            for service, group in itertools.groupby(available, key=lambda target: target.service)
        }

    def _get_age_order(self, target: Target) -> tuple[int, str]:
        return self._records[target.key].created_revision, target.key

    # Exchange with peers

    def _append_to_log(self, records: Iterable[Record]) -> None:
        for record in records:
            if len(self._log) == MAX_LOG_RECORDS:
                self._log_floor = self._log[0].revision
            self._log.append(record)

    def list_records(self) -> list[Record]:
        """Return all records, for a peer that is too far behind for the change log."""
        return list(self._records.values())

    def list_changes(self, after: int) -> list[Record] | None:
        """Return the changes after revision `after`; None if the change log starts later."""
        if after < self._log_floor:
            return None
        return [record for record in self._log if record.revision > after]
