"""Spreading of the configuration among peers."""

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
from ._history import History, Kept
from ._readers import PlatformReads, ReadPlan
from ._store import ConfigStore, OfferResult

__all__ = ["CONFIG_TICK_S", "ConfigExchange", "Outgoing"]

CONFIG_TICK_S = 0.25  # period at which `decide_tick` is meant to be called
FANOUT = 3
# With 3 announces a round, `ceil(ln(n) / 3) + 2` rounds miss a VM with a chance below 0.01 / n; two
# of the rounds make up for lost messages.
SPARE_ROUNDS = 2
MAX_ROUNDS = 6
# Anti-entropy repairs lost announces; two announces per period cost about 20 bytes a second.
REPAIR_S = 3.0
# VMs that skipped different versions differ in recent tombstones. The whole table, about 0.5 MB for
# 13,000 addresses, is exchanged only when the recent ones did not help for this long.
WHOLE_TABLE_S = 30.0
ASK_S = 1.0
# Peers that announce a document but cannot deliver it do not block a start for longer.
MAX_START_S = 5.0
# A starting VM asks more peers than an announce reaches, because the newest version may have
# reached only a part of the fleet.
ASK_NEAR = 6
ASK_FAR = 2
PULL_TIMEOUT_S = 1.0
MAX_PULL_SOURCES = 4
# A fleet of mixed releases may announce documents that this release refuses; each pull of one may
# cost a megabyte.
REFUSED_S = 60.0
MAX_REFUSED_KEYS = 8

ConfigMessage = ConfigAnnounce | ConfigPull | ConfigDocument


@dataclass(frozen=True, kw_only=True, slots=True)
class Outgoing:
    """Send `message` to VM `vm`."""

    vm: str
    message: ConfigMessage


@dataclass(frozen=True, kw_only=True, slots=True)
class _PlatformDocument:
    document: bytes
    version: int


@dataclass(kw_only=True, slots=True)
class _Pull:
    """A pull on its way; `sources` are further VMs that hold the same configuration."""

    key: tuple[int, bytes]
    vm: str
    sent_s: float
    sources: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_PULL_SOURCES))


def _read_bindings(message: ConfigDocument) -> dict[str, Binding]:
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
        self._near: list[str] = []
        self._far: list[str] = []
        self._reads = PlatformReads()
        self._history = History()
        self._held: _PlatformDocument | None = None
        self._refused_version = 0
        self._refused_read_due_s = float("-inf")
        self._refused_until_s: dict[tuple[int, bytes], float] = {}
        self._differs_digest = b""
        self._differs_since_s = self._differs_last_s = float("-inf")
        self._tombstone_pull_due_s = float("-inf")
        self._pull: _Pull | None = None
        self._rounds = 0
        self._asked_s: float | None = None
        self._tick_s: float | None = None
        self._repair_due_s = float("-inf")

    @property
    def size_bytes(self) -> int:
        """Bytes of the documents and deltas that are kept for peers."""
        return self._history.size_bytes

    def observe_members(self, *, members: Sequence[Member], now_s: float) -> None:
        """Take in the membership view."""
        live = [member for member in members if member.state is MemberState.ALIVE]
        readers = pick_readers(zone=self.zone, members=live)
        self.is_reader = any(member.vm == self.vm for member in readers)
        usable = (MemberState.ALIVE, MemberState.LEAVING)
        peers = [m for m in members if m.vm != self.vm and m.state in usable]
        self._near = [member.vm for member in peers if member.zone == self.zone]
        self._far = [member.vm for member in peers if member.zone != self.zone]

    def may_accept_platform_document(self, *, now_s: float) -> bool:
        """Return whether a document of the platform may be accepted now.

        A starting VM asks its peers first, because the platform may be staler than the
        configuration that the replaced VM had in force.
        """
        if self.store.sheet is not None:
            return True
        if self._asked_s is None:
            return False
        waited_s = now_s - self._asked_s
        return waited_s >= MAX_START_S or (waited_s >= ASK_S and self._pull is None)

    def observe_platform_document(
        self, *, document: bytes, version: int, now_s: float
    ) -> OfferResult | None:
        """Take in a document of the platform; return None while it waits for peers' answers."""
        if not self.may_accept_platform_document(now_s=now_s):
            if self._held is None or version >= self._held.version:
                self._held = _PlatformDocument(document=document, version=version)
            self._reads.observe_success(now_s)
            return None
        offer = self._offer_platform(document, version, now_s)
        if offer.accepted:
            self._reads.observe_success(now_s)
        else:
            # An answer of no use is delayed like a failure, or a stale platform would be read
            # without pause.
            self._reads.observe_failure(now_s)
        return offer

    def observe_platform_unchanged(self, *, now_s: float) -> None:
        """A read ended without a newer version."""
        self._reads.observe_success(now_s)

    def observe_platform_failure(self, *, now_s: float) -> None:
        """A read failed."""
        self._reads.observe_failure(now_s)

    def _offer_platform(self, document: bytes, version: int, now_s: float) -> OfferResult:
        offer = self.store.offer(
            document=document, version=version, tombstones={}, source="platform", now_s=now_s
        )
        if offer.accepted:
            self._keep()
        elif any(problem.code is not ResultCode.SHEET_NOT_JSON for problem in offer.problems):
            # A document cut off on its way is read again at once.
            self._refused_version = max(self._refused_version, version)
            self._refused_read_due_s = now_s + REFUSED_S
        return offer

    def _keep(self) -> None:
        store = self.store
        self._history.add(
            Kept(
                version=store.version,
                digest=store.digest,
                document=store.document,
                sequence=store.tombstones.sequence,
            )
        )
        spread = math.ceil(math.log(len(self._near) + len(self._far) + 1) / FANOUT)
        self._rounds = min(MAX_ROUNDS, spread + SPARE_ROUNDS)
        if self._pull is not None and self._pull.key <= store.key:
            self._pull = None

    def observe_message(
        self, *, sender_vm: str, message: ConfigMessage, now_s: float
    ) -> list[Outgoing]:
        """Take in a peer's message and return the answers."""
        self._reads.observe_news(now_s)
        match message:
            case ConfigAnnounce():
                return self._observe_announce(sender_vm, message, now_s)
            case ConfigPull():
                return self._observe_pull(sender_vm, message)
            case ConfigDocument():
                return self._observe_document(sender_vm, message, now_s)
        raise TypeError(f"no configuration message: {type(message).__name__}")

    def _build_announce(self, vm: str) -> Outgoing:
        message = ConfigAnnounce(
            version=self.store.version,
            digest=self.store.digest,
            tombstones=self.store.tombstones.digest,
        )
        return Outgoing(vm=vm, message=message)

    def _build_pull(self, vm: str, *, whole: bool = False) -> Outgoing:
        version, digest = (0, b"") if whole else self.store.key
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
        mine = self.store.tombstones
        if message.tombstones == mine.digest or mine.is_full:
            return []
        # A change of the own table is progress; an old difference was settled in between.
        if mine.digest != self._differs_digest or now_s - self._differs_last_s > WHOLE_TABLE_S:
            self._differs_since_s = now_s
        self._differs_digest, self._differs_last_s = mine.digest, now_s
        if now_s < self._tombstone_pull_due_s:
            return []
        self._tombstone_pull_due_s = now_s + REPAIR_S
        whole = now_s - self._differs_since_s >= WHOLE_TABLE_S
        if whole:
            self._differs_since_s = now_s
        sent = self._history.build_tombstones(mine, whole=whole)
        return [
            *(Outgoing(vm=sender_vm, message=answer) for answer in sent),
            self._build_pull(sender_vm, whole=whole),
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
        self.store.merge_bindings(bindings=_read_bindings(message))
        if not message.document or (message.version, message.digest) <= self.store.key:
            return []
        document = self._read_document(message)
        if document is None:
            self.mismatch_count += 1
            # A delta that does not fit is replaced by the whole document; a whole document that
            # does not fit is left to the pull's timeout.
            return [self._build_pull(sender_vm, whole=True)] if message.base_version else []
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
            self._keep()
            if message.base_version:
                self._history.add_delta(message.base_digest, message.document)
        elif offer.problems:
            self._apply_refusal((message.version, message.digest), now_s)
        return []

    def _apply_refusal(self, key: tuple[int, bytes], now_s: float) -> None:
        if self._pull is not None and self._pull.key == key:
            self._pull = None
        self._refused_until_s.pop(key, None)
        self._refused_until_s[key] = now_s + REFUSED_S
        while len(self._refused_until_s) > MAX_REFUSED_KEYS:
            self._refused_until_s.pop(next(iter(self._refused_until_s)))

    def _read_document(self, message: ConfigDocument) -> bytes | None:
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

    def _pick_peers(self, rng: Random, near_count: int, far_count: int) -> list[str]:
        # Places that one side cannot fill go to the other.
        total = near_count + far_count
        far_count = min(len(self._far), max(far_count, total - len(self._near)))
        near_count = min(len(self._near), total - far_count)
        return rng.sample(self._near, near_count) + rng.sample(self._far, far_count)

    def decide_tick(self, *, now_s: float, rng: Random) -> list[Outgoing]:
        """Return the messages that are due; meant to be called every `CONFIG_TICK_S` seconds."""
        self._observe_time(now_s)
        if self._held is not None and self.may_accept_platform_document(now_s=now_s):
            held, self._held = self._held, None
            self._offer_platform(held.document, held.version, now_s)
        retries = self._decide_pull_retry(now_s)
        peers = self._pick_announce_peers(now_s, rng)
        return [*retries, *map(self._build_announce, peers)]

    def _observe_time(self, now_s: float) -> None:
        # After a pause the answers of peers may still wait to be read.
        paused = self._tick_s is not None and now_s - self._tick_s > ASK_S
        if self._asked_s is None or paused:
            self._asked_s = now_s
        self._tick_s = now_s

    def _pick_announce_peers(self, now_s: float, rng: Random) -> list[str]:
        if self.store.sheet is None:
            return self._pick_peers(rng, ASK_NEAR, ASK_FAR)
        if self._rounds:
            self._rounds -= 1
            # A random start keeps the repairs of the fleet from falling on the same tick.
            self._repair_due_s = now_s + REPAIR_S * rng.random()
            return self._pick_peers(rng, FANOUT - 1, 1)
        if now_s < self._repair_due_s:
            return []
        self._repair_due_s = now_s + REPAIR_S
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
        return [self._build_pull(pull.vm, whole=True)]

    def decide_platform_read(self, *, now_s: float, rng: Random) -> ReadPlan | None:
        """Return the read of the platform to start now, or None.

        The caller reports its end with one of the ``observe_platform_*`` methods.
        """
        if now_s >= self._refused_read_due_s:
            # The platform may have replaced the content of a refused version.
            self._refused_version = 0
        held_version = self._held.version if self._held else 0
        after = max(self.store.version, self._refused_version, held_version)
        return self._reads.decide(after=after, watches=self.is_reader, now_s=now_s, rng=rng)
