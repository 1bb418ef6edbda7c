"""Replica of the routes and targets at one position of the store."""

import logging
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace

from ._change_log import ChangeLog
from ._config_in_force import ConfigInForce
from ._departures import LAPSE_GRACE_S, Departure, DepartureCause
from ._evacuations import Evacuations
from ._records import (
    START,
    DecodeRecord,
    Evacuation,
    Manifest,
    Position,
    Record,
    RecordContent,
    Route,
    RouteKey,
    Target,
)
from ._restore import CopyVerdict, EpochTransition, Heritage, judge_copied_target
from ._target_table import TargetTable
from ._tokens import build_token

__all__ = ["Directory"]

# Below the epochs of any store.
FORMER_STORE_EPOCH = -1

log = logging.getLogger("directory")


class Directory:
    """This VM's replica of the store; its position and its version never decrease.

    When the store is restored from an older copy, the replica follows it to the new epoch and keeps
    what it knows better: the newest version of the configuration, targets that the copy lacks until
    they have had the time to register again, and departures that the copy does not contain.

    Parameters
    ----------
    decode : callable
        Decodes a record; see ``DecodeRecord``.
    keep_departed_s : float
        How long a departed target is remembered by its token, in seconds. Matches the maximum
        lifetime of a flow.
    zones : frozenset of str
        Availability zones that exist; empty if they are not known.

    Attributes
    ----------
    position : Position
        Newest position of the store that is included; ``START`` before the first read.
    changed_s : float
        Time of the last change of the content.
    keeps_heritage : bool
        Whether the content differs from the store's because of what was known before a restore.
    """

    def __init__(
        self,
        *,
        decode: DecodeRecord,
        keep_departed_s: float = 60.0,
        zones: frozenset[str] = frozenset(),
    ):
        self.decode = decode
        self.zones = zones
        self.position = START
        self.changed_s = 0.0
        self.keeps_heritage = False
        self.config = ConfigInForce()
        self._table = TargetTable(
            get_created_revision=lambda key: self._records[key].created_revision,
            keep_departed_s=keep_departed_s,
        )
        self.evacuations = Evacuations()
        self.targets = self._table.targets
        self.by_token = self._table.by_token
        self.cold_until_s = self._table.cold_until_s
        self._records: dict[str, Record] = {}
        self._log = ChangeLog()
        self._transition = EpochTransition()

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration has been received."""
        return bool(self.config.version)

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first one."""
        return self.config.version

    @property
    def routes(self) -> Mapping[RouteKey, Route]:
        """Routes of the configuration in force."""
        return self.config.routes

    @property
    def epoch(self) -> int:
        """Epoch of the position."""
        return self.position.epoch

    @property
    def revision(self) -> int:
        """Revision of the position."""
        return self.position.revision

    @property
    def due_s(self) -> float:
        """Time from which `apply_due` may change the content; infinite if nothing is pending."""
        return self._transition.due_s

    @property
    def needs_heritage(self) -> bool:
        """Whether this epoch was entered through the store alone, so that a peer may know more."""
        return self._transition.needs_heritage

    # Lookups

    def find_target(self, token: int) -> Target | None:
        """Return the target with `token`; None if it is unknown or has departed."""
        return self.by_token.get(token)

    def find_departure(self, token: int) -> Departure | None:
        """Return the departure of the target with `token`; None if none is remembered."""
        return self._table.find_departure(token)

    def list_tokens(self) -> list[int]:
        """Return the tokens of all targets, including the departed ones that are remembered."""
        return self._table.list_tokens()

    def list_serving(self, service: str, now_s: float) -> list[Target]:
        """Return the targets that accept new flows of `service`; see ``TargetTable``."""
        return self._table.list_serving(service, now_s)

    def is_evacuated(self, service: str) -> bool:
        """Return whether `service` has targets, all of them in evacuated zones."""
        if not self.evacuations.zones:
            return False
        zones = {t.zone for t in self.targets.values() if t.service == service}
        return bool(zones) and zones <= self.evacuations.zones

    def is_cold(self, target: Target, now_s: float) -> bool:
        """Return whether a target is in its warm-up phase."""
        return now_s < self.cold_until_s.get(target.key, 0.0)

    # Changes

    def apply_records(self, *, records: Iterable[Record], position: Position, now_s: float) -> bool:
        """Apply changes that follow this position without a gap; return whether any was new.

        Changes of another epoch are discarded, since their revisions cannot be compared.
        """
        if position.epoch != self.epoch:
            return False
        new = [record for record in records if record.revision > self.revision]
        changed = [record for record in new if self._apply_record(record, now_s)]
        # A later page of a snapshot may have held some already; peers at its position lack them.
        self._log.append(new)
        return self._complete_update(position, bool(changed), now_s)

    def apply_snapshot(
        self,
        *,
        records: Sequence[Record],
        position: Position,
        now_s: float,
        heritage: Heritage | None = None,
    ) -> bool:
        """Replace the content by a full snapshot; return whether anything changed.

        An older snapshot is discarded. If it is a peer's of the same epoch, its `heritage` is used.

        Parameters
        ----------
        records : sequence of Record
            Records of an earlier epoch than `position` are part of the sender's heritage.
        position : Position
        now_s : float
        heritage : Heritage or None
            What the sender knows from before the last restore; None for a snapshot of the store.
        """
        is_older = position < self.position
        if is_older and (heritage is None or position.epoch < self.epoch):
            log.warning(
                "older snapshot discarded",
                extra={"position": position, "replica_position": self.position},
            )
            return False
        has_changes = False
        if not is_older:
            is_new_epoch = self.position == START or position.epoch > self.epoch
            if is_new_epoch:
                self._enter_epoch(position, now_s, heritage)
            has_changes = self._replace_records(records, position, now_s)
            has_changes |= self._remove_missing(records, heritage, is_new_epoch, now_s)
            self._log.clear(position)
        if heritage is not None:
            inherited = [record for record in records if record.epoch < position.epoch]
            has_changes |= self._apply_heritage(inherited, heritage, position, now_s)
        return self._complete_update(position, has_changes, now_s)

    def apply_due(self, *, now_s: float, confirmed_s: float) -> bool:
        """Drop kept targets and list withheld ones whose time is up; return whether any was.

        Parameters
        ----------
        now_s : float
        confirmed_s : float
            Time at which the store last confirmed this position. If it was before the time was up,
            the store may hold a newer record that has not arrived.
        """
        transition = self._transition
        transition.observe_confirmation(confirmed_s)
        lapsed = [key for key, s in transition.kept_until_s.items() if confirmed_s > s]
        live = [key for key, s in transition.withheld_until_s.items() if confirmed_s > s]
        if not lapsed and not live:
            return False
        for key in lapsed:
            # The grace period has already passed.
            departed_s = max(transition.kept_until_s[key], now_s - LAPSE_GRACE_S) - LAPSE_GRACE_S
            self._remove_record(key, departed_s)
        for key in live:
            transition.settle(key)
            content = self.decode(self._records[key])
            if isinstance(content, Target) and self._is_named(content):
                self._table.list_target(content, now_s)
        return self._complete_update(self.position, True, now_s)

    def apply_sign_of_life(self, token: int, now_s: float) -> bool:
        """List a withheld target that has answered a caller; return whether it was withheld."""
        departure = self.find_departure(token)
        key = departure.target.key if departure else None
        if key not in self._transition.withheld_until_s:
            return False
        self._transition.observe_live(key)
        content = self.decode(self._records[key])
        if isinstance(content, Target) and content.identity == departure.target.identity:
            self._table.list_target(content, now_s)
        return self._complete_update(self.position, True, now_s)

    def observe_outage_end(self, now_s: float) -> None:
        """Record that the store answers again, so that targets can register again from now on."""
        self._transition.observe_outage_end(now_s)

    def forget_position(self) -> None:
        """Prepare for another store, whose epochs and revisions have nothing to do with these.

        The content stays in use as after a restore, until the first snapshot of the other store.
        """
        self.position = START
        self._records = {
            key: replace(record, epoch=FORMER_STORE_EPOCH) for key, record in self._records.items()
        }
        self._log.clear(START)

    def _enter_epoch(self, position: Position, now_s: float, heritage: Heritage | None) -> None:
        if self._records:
            log.warning(
                "store was restored from an older copy",
                extra={
                    "epoch": position.epoch,
                    "revision": position.revision,
                    "former_epoch": self.epoch,
                    "former_revision": self.revision,
                    "version": self.version,
                },
            )
        self._transition.enter(
            former=self.position, position=position, heritage=heritage, now_s=now_s
        )
        self.position = position

    def _replace_records(self, records: Iterable[Record], position: Position, now_s: float) -> bool:
        changed = [
            record
            for record in records
            if record.epoch == position.epoch and self._apply_record(record, now_s)
        ]
        return bool(changed)

    def _apply_record(self, record: Record, now_s: float) -> bool:
        known = self._records.get(record.key)
        if known is not None and known.position >= record.position:
            return False
        content = self.decode(record) if record.value is not None else None
        if record.key == self.config.key or isinstance(content, Manifest):
            return self._apply_config(record, content, now_s)
        if record.value is None:
            return known is not None and self._remove_record(record.key, now_s)
        if isinstance(content, Evacuation):
            return self._apply_evacuation(record, content, now_s)
        target = content if isinstance(content, Target) else None
        if record.epoch == self.epoch and record.revision <= self._transition.copy_revision:
            return self._apply_copied(record, target, now_s)
        return self._list_record(record, target, now_s)

    def _list_record(self, record: Record, target: Target | None, now_s: float) -> bool:
        self._records[record.key] = record
        self._transition.settle(record.key)
        if target is not None and self._is_named(target):
            self._table.list_target(target, now_s)
        elif record.key in self.targets:
            self._table.remove_target(record.key, DepartureCause.UNREADABLE, now_s)
        return True

    def _apply_evacuation(self, record: Record, content: Evacuation, now_s: float) -> bool:
        self._records[record.key] = record
        self._transition.settle(record.key)
        self.evacuations.apply_request(
            key=record.key,
            zone=content.zone,
            position=record.position,
            known_zones=self.zones,
            now_s=now_s,
        )
        return True

    def _remove_record(self, key: str, now_s: float) -> bool:
        created_revision = self._records.pop(key).created_revision
        self._transition.settle(key)
        zone = self.evacuations.remove_request(key, now_s)
        if zone is not None:
            # The targets may have become cold meanwhile.
            starts_s = {name: limit.start_s for name, limit in self.config.cold_limits.items()}
            self._table.restart_warm_up(zone, starts_s, now_s)
        self._table.remove_target(key, DepartureCause.LAPSED, now_s, created_revision)
        return True

    def _is_named(self, target: Target) -> bool:
        """Return whether the service and the zone of a target exist.

        A record that names others is of another writer.
        """
        is_service = not self.config.services or target.service in self.config.services
        return is_service and (not self.zones or target.zone in self.zones)

    # Configuration

    def _apply_config(self, record: Record, content: RecordContent | None, now_s: float) -> bool:
        """Put a configuration in force; return whether it was.

        A configuration that is unreadable or deleted leaves the present one in force.
        """
        services = self.config.services
        if not isinstance(content, Manifest) or not self.config.apply_manifest(content, record):
            return False
        self._records[record.key] = record
        if self.config.services != services:
            self._list_targets_of_new_services(now_s)
        return True

    def _list_targets_of_new_services(self, now_s: float) -> None:
        """List the targets whose records came before the configuration that names their service."""
        skipped = {self.config.key, *self.targets, *self._transition.withheld_until_s}
        for record in [r for key, r in self._records.items() if key not in skipped]:
            content = self.decode(record)
            if isinstance(content, Target) and self._is_named(content):
                self._table.list_target(content, now_s)

    # Restored stores

    def _apply_copied(self, record: Record, target: Target | None, now_s: float) -> bool:
        """Apply a record that may have been written before the restore."""
        listed = self.targets.get(record.key)
        departure = self.find_departure(build_token(target.identity)) if target else None
        verdict = judge_copied_target(
            record=record, copied=target, listed=listed, departure=departure, now_s=now_s
        )
        if verdict is CopyVerdict.APPLY:
            cold_until_s = self.cold_until_s.get(record.key)
            self._list_record(record, target, now_s)
            if listed is not None and listed == target:
                # The warm-up goes on from the first record of the process.
                self.cold_until_s[record.key] = cold_until_s
            return True
        if verdict is CopyVerdict.WITHHOLD:
            self._records[record.key] = record
            self._transition.withhold(record.key)
        elif not listed.is_draining:
            self._transition.keep([record.key])
        log.info(
            "record of the store's copy not used",
            extra={"key": record.key, "revision": record.revision, "verdict": verdict.value},
        )
        return False

    def _remove_missing(
        self,
        records: Iterable[Record],
        heritage: Heritage | None,
        is_new_epoch: bool,
        now_s: float,
    ) -> bool:
        """Remove what a snapshot lacks; keep targets for a while that only the copy may lack.

        A peer that was at least as far before the restore has already decided about those.
        """
        missing = self._records.keys() - {record.key for record in records} - {self.config.key}
        is_decided = heritage is not None and heritage.former >= self._transition.former
        if is_new_epoch and not is_decided:
            kept = self.targets.keys() | self.evacuations.list_keys()
            self._transition.keep(missing & kept)
        removed = missing - self._transition.kept_until_s.keys()
        for key in removed:
            self._remove_record(key, now_s)
        return bool(removed)

    def _apply_heritage(
        self, inherited: Iterable[Record], heritage: Heritage, position: Position, now_s: float
    ) -> bool:
        """Adopt what a peer knows from before the restore; return whether anything changed."""
        self._transition.adopt(heritage, now_s)
        changed = [
            record.key for record in inherited if self._inherit_record(record, position, now_s)
        ]
        kept = self.targets.keys() | self.evacuations.list_keys()
        known = {record.key for record in inherited} & kept
        self._transition.keep(
            key for key in heritage.kept & known if self._records[key].epoch < self.epoch
        )
        for key in heritage.withheld & self.targets.keys():
            if self._records[key].epoch == self.epoch and self._records[key].position <= position:
                self._transition.withhold(key)
                if key in self._transition.withheld_until_s:
                    # The grace period has passed for the peer.
                    departed_s = now_s - 2 * LAPSE_GRACE_S
                    created_revision = self._records[key].created_revision
                    self._table.remove_target(
                        key, DepartureCause.LAPSED, departed_s, created_revision
                    )
                    changed.append(key)
        return bool(changed)

    def _inherit_record(self, record: Record, position: Position, now_s: float) -> bool:
        """Apply a record that a peer at `position` keeps from before the restore."""
        known = self._records.get(record.key)
        content = self.decode(record)
        if isinstance(content, Manifest):
            is_newer = content.version > self.version
            return is_newer and self._apply_config(record, content, now_s)
        if isinstance(content, Evacuation):
            return known is None and self._apply_evacuation(record, content, now_s)
        if not isinstance(content, Target):
            return False
        departure = self.find_departure(build_token(content.identity))
        if known is None and departure is not None and departure.is_gone(now_s):
            return False
        is_known = known is not None and record.position <= known.position
        is_outdated = known is not None and known.position > position
        if is_outdated or (is_known and known.epoch < self.epoch):
            return False
        return self._list_record(record, content, now_s)

    def _complete_update(self, position: Position, has_changes: bool, now_s: float) -> bool:
        self.position = max(self.position, position)
        self.keeps_heritage = bool(self._transition.withheld_until_s) or any(
            record.epoch < self.epoch for record in self._records.values()
        )
        if has_changes:
            self.changed_s = now_s
            self._table.evacuated_zones = self.evacuations.zones
            self._table.rebuild_indexes(now_s)
        return has_changes

    # Exchange with peers

    def list_records(self) -> list[Record]:
        """Return all records, for a peer that is too far behind for the change log.

        Those of an earlier epoch are kept from before the last restore.
        """
        return list(self._records.values())

    def build_heritage(self, now_s: float) -> Heritage:
        """Return what belongs to `list_records` from before the last restore."""
        return self._transition.build_heritage(now_s)

    def list_changes(self, after: Position) -> list[Record] | None:
        """Return the changes after a position; None if the change log does not reach back to it."""
        return self._log.list_after(after)
