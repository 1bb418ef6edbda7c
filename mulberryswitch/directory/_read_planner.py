"""Schedule of a VM's reads of the store."""

import math
from dataclasses import dataclass
from random import Random

from ._records import START, Position

__all__ = ["Pause", "ReadAll", "ReadPlanner", "Watch"]

# Short enough to notice an unresponsive connection or store within the required time limits.
# Shorter watches cost more, because the store counts each one as a call.
WATCH_TIMEOUT_S = 2.5
# Minimum interval between reads, which batches changes in quick succession.
MIN_READ_INTERVAL_S = 0.4
# A large configuration saturates a small link for a while, so the next read is delayed further.
LARGE_BYTES = 32_768
LARGE_READ_INTERVAL_S = 0.75
# The wait of a watch is in whole milliseconds, and its answer must not be early.
DUE_MARGIN_S = 0.02
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# Maximum for a VM without a configuration, which cannot serve any caller until it has one.
MAX_UNLOADED_BACKOFF_S = 0.4
BACKOFF_JITTER = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadAll:
    """Read every record as of now.

    A cheaper read that may be stale may also be of an earlier epoch, without telling.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class Watch:
    """Watch for changes after position `after` for at most `wait_s` seconds."""

    after: Position
    wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Pause:
    """Wait for `wait_s` seconds before the next read."""

    wait_s: float


class ReadPlanner:
    """Decide on the kind and the time of this VM's next read of the store.

    Attributes
    ----------
    confirmed_s : float or None
        Time of the last successful read; None before the first.
    failures : int
        Consecutive failed reads since then.
    """

    def __init__(self) -> None:
        self.confirmed_s: float | None = None
        self.failures = 0
        self._needs_full_read = False
        self._not_before_s = 0.0

    def observe_success(self, *, size_bytes: int, now_s: float) -> None:
        """Record a successful read that returned `size_bytes` bytes of values."""
        self.confirmed_s = now_s
        self.failures = 0
        self._needs_full_read = False
        spacing_s = LARGE_READ_INTERVAL_S if size_bytes > LARGE_BYTES else MIN_READ_INTERVAL_S
        self._not_before_s = now_s + (spacing_s if size_bytes else 0.0)

    def observe_failure(self, *, is_loaded: bool, now_s: float, rng: Random) -> None:
        """Record a failed read and apply exponential backoff with jitter."""
        self.failures += 1
        limit_s = MAX_BACKOFF_S if is_loaded else MAX_UNLOADED_BACKOFF_S
        backoff_s = min(limit_s, FIRST_BACKOFF_S * 2 ** min(self.failures - 1, 16))
        self._not_before_s = now_s + backoff_s * (1 - BACKOFF_JITTER * rng.random())

    def observe_history_lost(self) -> None:
        """Require a full read, since the store no longer has the changes after our revision."""
        self._needs_full_read = True

    def decide(
        self, *, position: Position, now_s: float, due_s: float = math.inf
    ) -> ReadAll | Watch | Pause:
        """Return the next step of a reader.

        Parameters
        ----------
        position : Position
            Position of the reader.
        now_s : float
        due_s : float
            Time at which the reader needs a confirmation of its position.
        """
        if now_s < self._not_before_s:
            return Pause(wait_s=self._not_before_s - now_s)
        if self._needs_full_read or position == START:
            return ReadAll()
        if self.failures:
            # The store may have been restored. A watch tells its epoch only when it ends.
            return Watch(after=position, wait_s=0.0)
        due_in_s = due_s + DUE_MARGIN_S - now_s
        return Watch(
            after=position,
            wait_s=min(WATCH_TIMEOUT_S, due_in_s) if due_in_s > 0 else WATCH_TIMEOUT_S,
        )
