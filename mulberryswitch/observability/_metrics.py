"""Counters, gauges and histograms of one VM, rendered for Prometheus."""

from collections import defaultdict
from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["Metrics"]

WAIT_BUCKETS_S = [0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0]


class Metrics:
    """Metrics of one VM.

    Plain integers are counted on the packet path and copied into the registry when it is read,
    because a labelled counter of the library costs several microseconds per update.
    """

    def __init__(self, *, registry: Registry | None = None):
        self.registry = registry or Registry()
        self.counts: defaultdict[str, int] = defaultdict(int)
        self._counter = Counter(
            "mulberryswitch_events_total", "Events by name.", registry=self.registry
        )
        self._gauge = Gauge("mulberryswitch_state", "State by name.", registry=self.registry)
        self._wait = Histogram(
            "mulberryswitch_queue_wait_seconds",
            "Time a request waited for a slot.",
            registry=self.registry,
            buckets=WAIT_BUCKETS_S,
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self.counts[name] += amount

    def observe_wait(self, service: str, wait_s: float) -> None:
        """Record how long a request waited for a slot, in seconds."""
        self._wait.observe({"service": service}, wait_s)

    def render(self, gauges: Mapping[str, float], accept: str = "") -> tuple[bytes, Mapping]:
        """Return body and headers of a scrape; `gauges` are states read at this moment."""
        for name, value in self.counts.items():
            self._counter.set({"event": name}, value)
        for name, value in gauges.items():
            self._gauge.set({"name": name}, value)
        return render(self.registry, [accept] if accept else [])
