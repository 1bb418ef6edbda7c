"""Dissemination of the configuration among peers by gossip and anti-entropy."""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from mulberryswitch.contracts import (
    ConfigAnnounce,
    ConfigDocument,
    ConfigPull,
    MemberState,
    ResultCode,
)
from mulberryswitch.vms import Member, pick_readers

from ._bindings import Binding
from ._delta import DeltaError, apply_delta
from ._document import check_address, check_name, compute_digest
from ._history import History, HistoryEntry
from ._readers import PlatformReads, ReadPlan
from ._store import ConfigStore, OfferResult

__all__ = ["CONFIG_TICK_S", "ConfigExchange", "Outgoing"]

CONFIG_TICK_S = 0.25  # period at which `decide_tick` is meant to be called
FANOUT = 3
# With 3 announces per round, `ceil(ln(n) / 3) + 2` rounds miss a VM with a probability below
# 0.01 / n; two of the rounds compensate for lost messages.
EXTRA_ROUNDS = 2
MAX_ROUNDS = 6
# Anti-entropy repairs lost announces; two announces per interval cost about 20 bytes per second.
ANTI_ENTROPY_INTERVAL_S = 3.0
# VMs that skipped different versions differ in recent tombstones. The full table, about 0.5 MB for
# 13,000 addresses, is exchanged only if exchanging recent tombstones has not helped for this long.
FULL_TABLE_DELAY_S = 30.0
START_QUERY_WAIT_S = 1.0
# Bound on the delay of a start by peers that announce a document but cannot deliver it.
MAX_START_WAIT_S = 5.0
# A starting VM queries more peers than an announce reaches, because the newest version may have
# reached only part of the fleet.
START_SAME_ZONE_PEERS = 6
START_OTHER_ZONE_PEERS = 2
PULL_TIMEOUT_S = 1.0
MAX_PULL_SOURCES = 4
# In a fleet of mixed releases, peers may announce documents that this release refuses; pulling one
# again may cost a megabyte each time.
REFUSED_RETRY_S = 60.0
MAX_REFUSED_KEYS = 8

ConfigMessage = ConfigAnnounce | ConfigPull | ConfigDocument


@dataclass(frozen=True, kw_only=True, slots=True)
class Outgoing:
    """A message to VM `vm`."""

    vm: str
    message: ConfigMessage


@dataclass(frozen=True, kw_only=True, slots=True)
class _PlatformDocument:
    document: bytes
    version: int


@dataclass(kw_only=True, slots=True)
class _Pull:
    """A pull in flight; `sources` are further VMs that hold the same configuration."""

    key: tuple[int, bytes]
    vm: str
    sent_s: float
    sources: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_PULL_SOURCES))


def _parse_bindings(message: ConfigDocument) -> dict[str, Binding]:
    bindings: dict[str, Binding] = {}
    for address, service, version in message.tombstones:
        try:
            check_address(address)
            check_name(service)
        except ValueError:
            continue
        bindings[address] = Binding(service, version)
    return bindings


class ConfigExchange:
    """Decide what one VM sends to its peers and when it reads the platform.

    Parameters
    ----------
    vm, zone : str
        Name and zone of this VM.
    store : ConfigStore
        Configuration of this VM; only the exchange offers documents to it.

    Attributes
    ----------
    is_reader : bool
        Whether this VM watches the platform for its zone.
    mismatch_count : int
        Peers' documents and deltas that did not have the announced digest.
    """

    def __init__(self, *, vm: str, zone: str, store: ConfigStore):
        self.vm = vm
        self.zone = zone
        self.store = store
        self.mismatch_count = 0
        self.is_reader = False
        self._same_zone_peers: list[str] = []
        self._other_zone_peers: list[str] = []
        self._reads = PlatformReads()
        self._history = History()
        self._deferred_document: _PlatformDocument | None = None
        self._refused_version = 0
        self._refused_read_due_s = float("-inf")
        self._refused_until_s: dict[tuple[int, bytes], float] = {}
        self._tombstone_mismatch_digest = b""
        self._tombstone_mismatch_since_s = self._tombstone_mismatch_last_s = float("-inf")
        self._tombstone_pull_due_s = float("-inf")
        self._pull: _Pull | None = None
        self._announce_rounds_left = 0
        self._start_query_s: float | None = None
        self._last_tick_s: float | None = None
        self._anti_entropy_due_s = float("-inf")

    @property
    def size_bytes(self) -> int:
        """Total size of the documents and deltas that are held for peers."""
        return self._history.size_bytes

    def observe_members(self, *, members: Sequence[Member], now_s: float) -> None:
        """Update readers and peers from the membership view."""
        live = [member for member in members if member.state is MemberState.ALIVE]
        readers = pick_readers(zone=self.zone, members=live)
        self.is_reader = any(member.vm == self.vm for member in readers)
        usable_states = (MemberState.ALIVE, MemberState.LEAVING)
        peers = [m for m in members if m.vm != self.vm and m.state in usable_states]
        self._same_zone_peers = [member.vm for member in peers if member.zone == self.zone]
        self._other_zone_peers = [member.vm for member in peers if member.zone != self.zone]

    def may_accept_platform_document(self, *, now_s: float) -> bool:
        """Return whether a document of the platform may be accepted now.

        A starting VM queries its peers first, because the platform may return an older version than
        the configuration that was in force at the replaced VM.
        """
        if self.store.sheet is not None:
            return True
        if self._start_query_s is None:
            return False
        waited_s = now_s - self._start_query_s
        return waited_s >= MAX_START_WAIT_S or (
            waited_s >= START_QUERY_WAIT_S and self._pull is None
        )

    def observe_platform_document(
        self, *, document: bytes, version: int, now_s: float
    ) -> OfferResult | None:
        """Offer a document of the platform; return None while it is deferred for peers' answers."""
        if not self.may_accept_platform_document(now_s=now_s):
            if self._deferred_document is None or version >= self._deferred_document.version:
                self._deferred_document = _PlatformDocument(document=document, version=version)
            self._reads.observe_success(now_s)
            return None
        offer = self._offer_platform_document(document, version, now_s)
        if offer.accepted:
            self._reads.observe_success(now_s)
        else:
            # The next read is delayed as after a failure; otherwise a stale platform would be read
            # in a tight loop.
            self._reads.observe_failure(now_s)
        return offer

    def observe_platform_unchanged(self, *, now_s: float) -> None:
        """Record a read that returned no newer version."""
        self._reads.observe_success(now_s)

    def observe_platform_failure(self, *, now_s: float) -> None:
        """Record a failed read."""
        self._reads.observe_failure(now_s)

    def _offer_platform_document(self, document: bytes, version: int, now_s: float) -> OfferResult:
        offer = self.store.offer(
            document=document, version=version, tombstones={}, source="platform", now_s=now_s
        )
        if offer.accepted:
            self._record_accepted()
        elif any(problem.code is not ResultCode.SHEET_NOT_JSON for problem in offer.problems):
            # Truncated documents (SHEET_NOT_JSON) are not recorded: they are read again at once.
            self._refused_version = max(self._refused_version, version)
            self._refused_read_due_s = now_s + REFUSED_RETRY_S
        return offer

    def _record_accepted(self) -> None:
        store = self.store
        self._history.add(
            HistoryEntry(
                version=store.version,
                digest=store.digest,
                document=store.document,
                sequence=store.tombstones.sequence,
            )
        )
        rounds = math.ceil(
            math.log(len(self._same_zone_peers) + len(self._other_zone_peers) + 1) / FANOUT
        )
        self._announce_rounds_left = min(MAX_ROUNDS, rounds + EXTRA_ROUNDS)
        if self._pull is not None and self._pull.key <= store.key:
            self._pull = None

    def observe_message(
        self, *, sender_vm: str, message: ConfigMessage, now_s: float
    ) -> list[Outgoing]:
        """Handle a message of a peer and return the answers."""
        self._reads.observe_peer_message(now_s)
        match message:
            case ConfigAnnounce():
                return self._observe_announce(sender_vm, message, now_s)
            case ConfigPull():
                return self._observe_pull(sender_vm, message)
            case ConfigDocument():
                return self._observe_document(sender_vm, message, now_s)
        raise TypeError(f"not a configuration message: {type(message).__name__}")

    def _build_announce(self, vm: str) -> Outgoing:
        message = ConfigAnnounce(
            version=self.store.version,
            digest=self.store.digest,
            tombstones=self.store.tombstones.digest,
        )
        return Outgoing(vm=vm, message=message)

    def _build_pull(self, vm: str, *, full: bool = False) -> Outgoing:
        version, digest = (0, b"") if full else self.store.key
        return Outgoing(vm=vm, message=ConfigPull(version=version, digest=digest))

    def _observe_announce(
        self, sender_vm: str, message: ConfigAnnounce, now_s: float
    ) -> list[Outgoing]:
        key = (message.version, message.digest)
        if key < self.store.key:
            return [self._build_announce(sender_vm)]
        if key == self.store.key:
            return self._observe_tombstones(sender_vm, message, now_s)
        if self._refused_until_s.get(key, now_s) > now_s:
            return []
        pull = self._pull
        if pull is not None and key <= pull.key:
            if key == pull.key and sender_vm != pull.vm and sender_vm not in pull.sources:
                pull.sources.append(sender_vm)
            return []
        self._pull = _Pull(key=key, vm=sender_vm, sent_s=now_s)
        return [self._build_pull(sender_vm)]

    def _observe_tombstones(
        self, sender_vm: str, message: ConfigAnnounce, now_s: float
    ) -> list[Outgoing]:
        tombstones = self.store.tombstones
        if message.tombstones == tombstones.digest or tombstones.is_full:
            return []
        # The timer restarts after a change of the own table, which is progress, and when the last
        # difference is so old that it must have been resolved.
        if (
            tombstones.digest != self._tombstone_mismatch_digest
            or now_s - self._tombstone_mismatch_last_s > FULL_TABLE_DELAY_S
        ):
            self._tombstone_mismatch_since_s = now_s
        self._tombstone_mismatch_digest, self._tombstone_mismatch_last_s = tombstones.digest, now_s
        if now_s < self._tombstone_pull_due_s:
            return []
        self._tombstone_pull_due_s = now_s + ANTI_ENTROPY_INTERVAL_S
        full = now_s - self._tombstone_mismatch_since_s >= FULL_TABLE_DELAY_S
        if full:
            self._tombstone_mismatch_since_s = now_s
        messages = self._history.build_tombstone_messages(tombstones, full=full)
        return [
            *(Outgoing(vm=sender_vm, message=answer) for answer in messages),
            self._build_pull(sender_vm, full=full),
        ]

    def _observe_pull(self, sender_vm: str, message: ConfigPull) -> list[Outgoing]:
        key = (message.version, message.digest)
        if key > self.store.key or self.store.sheet is None:
            return [self._build_announce(sender_vm)]
        answers = self._history.build_answers(message, self.store.tombstones)
        return [Outgoing(vm=sender_vm, message=answer) for answer in answers]

    def _observe_document(
        self, sender_vm: str, message: ConfigDocument, now_s: float
    ) -> list[Outgoing]:
        self.store.merge_bindings(bindings=_parse_bindings(message))
        if not message.document or (message.version, message.digest) <= self.store.key:
            return []
        document = self._decode_document(message)
        if document is None:
            self.mismatch_count += 1
            # After a mismatching delta the full document is pulled; a mismatching full document is
            # left to the timeout of the pull.
            return [self._build_pull(sender_vm, full=True)] if message.base_version else []
        offer = self.store.offer(
            document=document,
            version=message.version,
            tombstones={},
            source=sender_vm,
            now_s=now_s,
            accepted_by_peer=True,
            canonical=message.base_version > 0,
        )
        if offer.accepted:
            self._record_accepted()
            if message.base_version:
                self._history.add_delta(message.base_digest, message.document)
        elif offer.problems:
            self._record_refusal((message.version, message.digest), now_s)
        return []

    def _record_refusal(self, key: tuple[int, bytes], now_s: float) -> None:
        if self._pull is not None and self._pull.key == key:
            self._pull = None
        self._refused_until_s.pop(key, None)
        self._refused_until_s[key] = now_s + REFUSED_RETRY_S
        while len(self._refused_until_s) > MAX_REFUSED_KEYS:
            self._refused_until_s.pop(next(iter(self._refused_until_s)))

    def _decode_document(self, message: ConfigDocument) -> bytes | None:
        document = message.document
        if message.base_version:
            base = self._history.find(message.base_version, message.base_digest)
            if base is None:
                return None
            try:
                document = apply_delta(base.document, message.document)
            except DeltaError:
                return None
        return document if compute_digest(document) == message.digest else None

    def _pick_peers(self, rng: Random, same_zone_count: int, other_zone_count: int) -> list[str]:
        # If one group has too few peers, more are picked from the other.
        total = same_zone_count + other_zone_count
        other_zone_count = min(
            len(self._other_zone_peers), max(other_zone_count, total - len(self._same_zone_peers))
        )
        same_zone_count = min(len(self._same_zone_peers), total - other_zone_count)
        return rng.sample(self._same_zone_peers, same_zone_count) + rng.sample(
            self._other_zone_peers, other_zone_count
        )

    def decide_tick(self, *, now_s: float, rng: Random) -> list[Outgoing]:
        """Return the messages that are due; meant to be called every `CONFIG_TICK_S` seconds."""
        self._update_start_query(now_s)
        if self._deferred_document is not None and self.may_accept_platform_document(now_s=now_s):
            deferred, self._deferred_document = self._deferred_document, None
            self._offer_platform_document(deferred.document, deferred.version, now_s)
        retries = self._decide_pull_retry(now_s)
        peers = self._pick_announce_peers(now_s, rng)
        return [*retries, *map(self._build_announce, peers)]

    def _update_start_query(self, now_s: float) -> None:
        # After a pause of the process, answers of peers may still be unread: the wait starts again.
        paused = self._last_tick_s is not None and now_s - self._last_tick_s > START_QUERY_WAIT_S
        if self._start_query_s is None or paused:
            self._start_query_s = now_s
        self._last_tick_s = now_s

    def _pick_announce_peers(self, now_s: float, rng: Random) -> list[str]:
        if self.store.sheet is None:
            return self._pick_peers(rng, START_SAME_ZONE_PEERS, START_OTHER_ZONE_PEERS)
        if self._announce_rounds_left:
            self._announce_rounds_left -= 1
            # A random phase keeps the fleet from running anti-entropy in the same tick.
            self._anti_entropy_due_s = now_s + ANTI_ENTROPY_INTERVAL_S * rng.random()
            return self._pick_peers(rng, FANOUT - 1, 1)
        if now_s < self._anti_entropy_due_s:
            return []
        self._anti_entropy_due_s = now_s + ANTI_ENTROPY_INTERVAL_S
        return self._pick_peers(rng, 1, 1)

    def _decide_pull_retry(self, now_s: float) -> list[Outgoing]:
        pull = self._pull
        if pull is None or now_s - pull.sent_s < PULL_TIMEOUT_S:
            return []
        if not pull.sources:
            self._pull = None
            return []
        pull.vm = pull.sources.popleft()
        pull.sent_s = now_s
        return [self._build_pull(pull.vm, full=True)]

    def decide_platform_read(self, *, now_s: float, rng: Random) -> ReadPlan | None:
        """Return the read of the platform to start now, or None.

        The caller reports its end with one of the ``observe_platform_*`` methods.
        """
        if now_s >= self._refused_read_due_s:
            # The platform may have replaced the content of the refused version: read it again.
            self._refused_version = 0
        deferred_version = self._deferred_document.version if self._deferred_document else 0
        after = max(self.store.version, self._refused_version, deferred_version)
        return self._reads.decide(after=after, is_watching=self.is_reader, now_s=now_s, rng=rng)
