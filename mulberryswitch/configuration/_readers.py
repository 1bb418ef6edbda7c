"""Schedule of platform reads."""

from dataclasses import dataclass
from random import Random

__all__ = ["PlatformReads", "ReadPlan"]

WATCH_TIMEOUT_S = 30.0
READ_TIMEOUT_S = 5.0  # a read counts as failed after this, a watch after its wait plus this
FALLBACK_INTERVAL_S = 10.0
FALLBACK_JITTER = 0.05
FIRST_FALLBACK_JITTER = 0.5
MIN_READ_INTERVAL_S = 0.2
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
BACKOFF_JITTER = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadPlan:
    """Read the platform for a version above `after`; wait for it at most `wait_s` seconds."""

    after: int
    wait_s: float


class PlatformReads:
    """Decide when this VM reads the platform.

    Readers watch the platform all the time. Other VMs read it only as a fallback, when no peer has
    sent a message about the configuration for a while.
    """

    def __init__(self):
        self.failures = 0
        self._last_update_s: float | None = None
        self._last_read_end_s = float("-inf")
        self._read_deadline_s: float | None = None
        self._fallback_delay_s: float | None = None
        self._delay_s: float | None = None
        self._had_message = True

    def observe_peer_message(self, now_s: float) -> None:
        """Record that a peer sent a message about the configuration."""
        self._last_update_s = now_s
        self._fallback_delay_s = None
        self._had_message = True

    def observe_success(self, now_s: float) -> None:
        """Record a read that returned an accepted document or no newer version."""
        self.failures = 0
        self._record_read_end(now_s)

    def observe_failure(self, now_s: float) -> None:
        """Record a read that failed or returned a document that was not accepted."""
        self.failures += 1
        self._record_read_end(now_s)

    def _record_read_end(self, now_s: float) -> None:
        self._read_deadline_s = None
        self._last_read_end_s = self._last_update_s = now_s
        self._had_message = False
        self._delay_s = self._fallback_delay_s = None

    def _pick_delay_s(self, rng: Random) -> float:
        if not self.failures:
            return MIN_READ_INTERVAL_S
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(self.failures - 1, 16))
        return backoff_s * (1 - BACKOFF_JITTER * rng.random())

    def _pick_fallback_delay_s(self, rng: Random) -> float:
        # Peers' messages stop for the whole fleet at once. The first fallback reads are spread over
        # half an interval; with a jitter of 5% alone, a fifth of the fleet reads at the same time.
        if self._had_message:
            return FALLBACK_INTERVAL_S * (1 - FIRST_FALLBACK_JITTER * rng.random())
        return FALLBACK_INTERVAL_S * (1 - FALLBACK_JITTER * rng.random())

    def decide(
        self, *, after: int, is_watching: bool, now_s: float, rng: Random
    ) -> ReadPlan | None:
        """Return the read to start now, or None."""
        if self._last_update_s is None:
            self._last_update_s = now_s
        if self._read_deadline_s is not None:
            if now_s < self._read_deadline_s:
                return None
            self.observe_failure(now_s)
        if self._delay_s is None:
            self._delay_s = self._pick_delay_s(rng)
        if self._fallback_delay_s is None:
            self._fallback_delay_s = self._pick_fallback_delay_s(rng)
        if now_s - self._last_read_end_s < self._delay_s:
            return None
        if not is_watching and now_s - self._last_update_s < self._fallback_delay_s:
            return None
        wait_s = WATCH_TIMEOUT_S if is_watching else 0.0
        self._read_deadline_s = now_s + wait_s + READ_TIMEOUT_S
        return ReadPlan(after=after, wait_s=wait_s)
