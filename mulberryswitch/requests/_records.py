"""Request records: the state and outcome of each (flow, request id) at a dispatcher."""

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from mulberryswitch.contracts import Forward

__all__ = [
    "RETENTION_S",
    "MAX_DEADLINE_AHEAD_S",
    "Record",
    "RecordKey",
    "RecordState",
    "RequestRecords",
    "Waiter",
]

RecordKey = tuple[bytes, int]

# A record is kept for RETENTION_S after its deadline and after its outcome, whichever is later.
# Together with the limit on how far ahead a deadline may be, this ensures that a copy that arrives
# within its deadline always finds the record.
RETENTION_S = 30.0
MAX_DEADLINE_AHEAD_S = 60.0
MAX_RECORDS = 131_072
MAX_ANSWER_BYTES = 64 * 1024
MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024
EVICTION_BUCKETS = 65_536
MAX_REPORTED_CODES = 8
MIN_PIECE_COST_BYTES = 64  # an empty piece takes memory as well


class RecordState(Enum):
    """State of a request at its dispatcher."""

    QUEUED = "queued"
    RUNNING = "running"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Waiter:
    """An attempt that waits for the outcome, and the entry VMs that forwarded it.

    `has_proof` is True if no earlier attempt can have run elsewhere.
    """

    forward: Forward
    entry_vms: list[str]
    has_proof: bool = True

    @property
    def attempt(self) -> int:
        """Number of the attempt."""
        return self.forward.packet.attempt


@dataclass(slots=True, eq=False)
class Record:
    """One request; the fields from `sequence` on describe its current attempt and run."""

    key: RecordKey
    forward: Forward
    state: RecordState = RecordState.QUEUED
    code: int = 0
    attempt: int = 1
    last_deadline_ms: int = 0
    waiters: list[Waiter] = field(default_factory=list)
    reported_codes: dict[int, int] = field(default_factory=dict)
    expires_s: float = 0.0
    pieces: list[bytes] | None = None
    kept_bytes: int = 0
    sequence: int = 0
    kind: tuple[str, int] = ("", 0)
    is_long: bool = False
    is_remote: bool = False
    counted_long: bool = False
    may_have_run: bool = False
    has_proof: bool = True
    sheds: int = 0
    queued_s: float = 0.0
    dispatch_id: int = 0
    target: str = ""
    started_s: float = 0.0
    next_index: int = 0
    sent_pieces: int = 0

    @property
    def is_open(self) -> bool:
        """Whether the request is queued or running."""
        return self.state in (RecordState.QUEUED, RecordState.RUNNING)

    @property
    def deadline_ms(self) -> int:
        """Deadline of the attempt that is queued or running."""
        return self.forward.packet.deadline_ms

    def is_past_deadline(self, now_s: float) -> bool:
        """Return whether the deadline has passed."""
        return 0 < self.deadline_ms <= now_s * 1000.0


class RequestRecords:
    """Bounded table of request records.

    Finished records are removed when they expire. If the table is over its limit, the finished
    record that expires first is evicted early. The latest deadline of evicted records is kept for
    each of ``EVICTION_BUCKETS`` hash buckets, so that a late copy is recognised as possibly run.
    """

    def __init__(self, *, max_records: int = MAX_RECORDS, max_bytes: int = MAX_TOTAL_ANSWER_BYTES):
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.kept_bytes = 0
        self.evicted = 0
        self._records: dict[RecordKey, Record] = {}
        self._expiries: list[tuple[float, int, Record]] = []
        self._expiry_count = 0
        self._answers: OrderedDict[RecordKey, Record] = OrderedDict()
        self._evicted_deadlines_ms: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records.values())

    def get(self, key: RecordKey) -> Record | None:
        """Return the record of `key`."""
        return self._records.get(key)

    def may_have_been_evicted(self, key: RecordKey, deadline_ms: int) -> bool:
        """Return whether a record of `key` due at `deadline_ms` or later may have been evicted."""
        return 0 < deadline_ms <= self._evicted_deadlines_ms.get(_bucket_of(key), 0)

    def add(self, forward: Forward) -> Record:
        """Add and return a record for `forward`."""
        packet = forward.packet
        key = (packet.flow, packet.request_id)
        record = self._records[key] = Record(key, forward, attempt=packet.attempt)
        return record

    def reopen(self, record: Record) -> None:
        """Stop the retention of `record`, whose request is open again, and drop its answer."""
        record.expires_s = 0.0
        self._drop_answer(record)

    def keep_piece(self, record: Record, body: bytes) -> None:
        """Keep one piece of the answer for replay, within the memory limits."""
        if record.pieces is None:
            return
        size_bytes = max(len(body), MIN_PIECE_COST_BYTES)
        if record.kept_bytes + size_bytes > MAX_ANSWER_BYTES:
            self._drop_answer(record)
            return
        record.pieces.append(body)
        record.kept_bytes += size_bytes
        self.kept_bytes += size_bytes
        self._answers[record.key] = record
        while self.kept_bytes > self.max_bytes:
            self._drop_answer(next(iter(self._answers.values())))

    def start_retention(self, record: Record, now_s: float) -> None:
        """Start the retention of a record that has an outcome."""
        until_s = max(now_s, record.last_deadline_ms / 1000.0) + RETENTION_S
        # Only idempotent requests can have a later deadline. A record that is removed before it
        # counts as evicted, see `_remove`.
        record.expires_s = min(until_s, now_s + MAX_DEADLINE_AHEAD_S + RETENTION_S)
        self._expiry_count += 1
        heapq.heappush(self._expiries, (record.expires_s, self._expiry_count, record))
        if record.state is not RecordState.ANSWERED:
            self._drop_answer(record)

    def expire(self, now_s: float) -> None:
        """Remove expired records, and evict finished ones while the table is over its limit."""
        expiries = self._expiries
        while expiries:
            expires_s, _, record = expiries[0]
            over = len(self._records) > self.max_records
            if expires_s > now_s and not over:
                return
            heapq.heappop(expiries)
            if record.expires_s == expires_s and not record.is_open:
                self._remove(record, now_s)

    def _remove(self, record: Record, now_s: float) -> None:
        deadline_ms = record.last_deadline_ms
        if now_s < deadline_ms / 1000.0 + RETENTION_S:
            bucket = _bucket_of(record.key)
            self._evicted_deadlines_ms[bucket] = max(
                self._evicted_deadlines_ms.get(bucket, 0), deadline_ms
            )
            self.evicted += 1
        record.expires_s = 0.0
        del self._records[record.key]
        self._drop_answer(record)

    def _drop_answer(self, record: Record) -> None:
        self.kept_bytes -= record.kept_bytes
        record.kept_bytes = 0
        record.pieces = None
        self._answers.pop(record.key, None)


def _bucket_of(key: RecordKey) -> int:
    flow, request_id = key
    return xxhash.xxh3_64_intdigest(flow, seed=request_id & (2**64 - 1)) % EVICTION_BUCKETS
