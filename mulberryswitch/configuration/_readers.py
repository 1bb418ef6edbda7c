"""Timing of platform reads."""

from dataclasses import dataclass
from random import Random

__all__ = ["PlatformReads", "ReadPlan"]

WATCH_S = 30.0
READ_S = 5.0  # a read without a watch, and the margin of a watch, count as failed after this
QUIET_S = 10.0
QUIET_SPREAD = 0.05
FIRST_SPREAD = 0.5
MIN_SPACING_S = 0.2
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
BACKOFF_SPREAD = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadPlan:
    """Read the platform for a version above `after`; wait for it at most `wait_s` seconds."""

    after: int
    wait_s: float


class PlatformReads:
    """When this VM reads the platform."""

    def __init__(self):
        self.failures = 0
        self._news_s: float | None = None
        self._ready_s = float("-inf")
        self._reading_until_s: float | None = None
        self._quiet_s: float | None = None
        self._delay_s: float | None = None
        self._had_news = True

    def observe_news(self, now_s: float) -> None:
        """A peer sent a message about the configuration."""
        self._news_s = now_s
        self._quiet_s = None
        self._had_news = True

    def observe_success(self, now_s: float) -> None:
        """A read ended with an accepted document or with nothing new."""
        self.failures = 0
        self._finish(now_s)

    def observe_failure(self, now_s: float) -> None:
        """A read failed, or ended with a document of no use."""
        self.failures += 1
        self._finish(now_s)

    def _finish(self, now_s: float) -> None:
        self._reading_until_s = None
        self._ready_s = self._news_s = now_s
        self._had_news = False
        self._delay_s = self._quiet_s = None

    def _pick_delay_s(self, rng: Random) -> float:
        if not self.failures:
            return MIN_SPACING_S
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(self.failures - 1, 16))
        return backoff_s * (1 - BACKOFF_SPREAD * rng.random())

    def _pick_quiet_s(self, rng: Random) -> float:
        # When the news stop, they stop for the whole fleet at once. The first reads are spread over
        # half a period; timers shortened by 5% alone leave a peak of a fifth of the fleet.
        if self._had_news:
            return QUIET_S * (1 - FIRST_SPREAD * rng.random())
        return QUIET_S * (1 - QUIET_SPREAD * rng.random())

    def decide(self, *, after: int, watches: bool, now_s: float, rng: Random) -> ReadPlan | None:
        """Return the read to start now, or None."""
        if self._news_s is None:
            self._news_s = now_s
        if self._reading_until_s is not None:
            if now_s < self._reading_until_s:
                return None
            self.observe_failure(now_s)
        if self._delay_s is None:
            self._delay_s = self._pick_delay_s(rng)
        if self._quiet_s is None:
            self._quiet_s = self._pick_quiet_s(rng)
        if now_s - self._ready_s < self._delay_s:
            return None
        if not watches and now_s - self._news_s < self._quiet_s:
            return None
        wait_s = WATCH_S if watches else 0.0
        self._reading_until_s = now_s + wait_s + READ_S
        return ReadPlan(after=after, wait_s=wait_s)
