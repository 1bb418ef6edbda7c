"""When a VM reads the store, and how."""

from dataclasses import dataclass
from random import Random

__all__ = ["Pause", "ReadAll", "ReadPlanner", "Watch"]

# Short enough that a silent connection or a silent store is noticed before the bounds of the
# rules; each watch is a call that the store counts.
WATCH_S = 2.5
# Changes that come in quick succession are taken together.
MIN_SPACING_S = 0.15
# A large configuration fills a small link for a while; the next one waits.
LARGE_BYTES = 32_768
LARGE_SPACING_S = 0.75
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# A VM without a configuration serves nobody until it has one.
MAX_BLANK_BACKOFF_S = 0.4
BACKOFF_SPREAD = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadAll:
    """Read every record; `may_be_stale` allows a cheap read that lags."""

    may_be_stale: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Watch:
    """Wait for changes after revision `after` for at most `wait_s` seconds."""

    after: int
    wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Pause:
    """Do not read for `wait_s` seconds."""

    wait_s: float


class ReadPlanner:
    """Order and spacing of this VM's reads of the store.

    Attributes
    ----------
    confirmed_s : float or None
        When the last read succeeded; None before the first.
    failures : int
        Reads that failed since then.
    """

    def __init__(self) -> None:
        self.confirmed_s: float | None = None
        self.failures = 0
        self._needs_all = False
        self._not_before_s = 0.0

    def observe_success(self, *, size_bytes: int, now_s: float) -> None:
        """A read brought an answer with values of `size_bytes` in all."""
        self.confirmed_s = now_s
        self.failures = 0
        self._needs_all = False
        spacing_s = LARGE_SPACING_S if size_bytes > LARGE_BYTES else MIN_SPACING_S
        self._not_before_s = now_s + (spacing_s if size_bytes else 0.0)

    def observe_failure(self, *, is_loaded: bool, now_s: float, rng: Random) -> None:
        """A read failed."""
        self.failures += 1
        limit_s = MAX_BACKOFF_S if is_loaded else MAX_BLANK_BACKOFF_S
        backoff_s = min(limit_s, FIRST_BACKOFF_S * 2 ** min(self.failures - 1, 16))
        self._not_before_s = now_s + backoff_s * (1 - BACKOFF_SPREAD * rng.random())

    def observe_history_lost(self) -> None:
        """The changes after the known revision are no longer to be had."""
        self._needs_all = True

    def decide(self, *, revision: int, now_s: float) -> ReadAll | Watch | Pause:
        """Return the next step of a VM that reads the store and knows `revision`."""
        if now_s < self._not_before_s:
            return Pause(wait_s=self._not_before_s - now_s)
        if self._needs_all:
            return ReadAll(may_be_stale=False)
        if not revision:
            return ReadAll(may_be_stale=True)
        return Watch(after=revision, wait_s=WATCH_S)
