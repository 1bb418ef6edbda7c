"""Counters, gauges and histograms of one VM, rendered for Prometheus."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aioprometheus import Counter, Gauge, Histogram, Registry

__all__ = ["Metrics"]

# Limit of samples between two scrapes; older ones are dropped and counted.
MAX_PENDING_SAMPLES = 10_000
LATENCY_BUCKETS_S = [0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Collectors:
    registry: Registry
    counter: Counter
    gauge: Gauge
    queue_wait: Histogram
    answer_time: Histogram


class Metrics:
    """Metrics of one VM.

    Events are counted in plain integers and copied into the registry at each scrape, because an
    update of a labelled counter of the library takes several microseconds, too long for the packet
    path. The library is imported at first use, so that its import does not delay the start of a VM.
    """

    def __init__(self, *, registry: Registry | None = None):
        self.registry = registry
        self.counts: defaultdict[str, int] = defaultdict(int)
        self._answer_samples: deque[tuple[str, float]] = deque(maxlen=MAX_PENDING_SAMPLES)

    @cached_property
    def _collectors(self) -> _Collectors:
        from aioprometheus import Counter, Gauge, Histogram, Registry

        registry = self.registry or Registry()
        return _Collectors(
            registry=registry,
            counter=Counter("mulberryswitch_events_total", "Events by name.", registry=registry),
            gauge=Gauge("mulberryswitch_state", "State by name.", registry=registry),
            queue_wait=Histogram(
                "mulberryswitch_queue_wait_seconds",
                "Time a request waited for a slot.",
                registry=registry,
                buckets=LATENCY_BUCKETS_S,
            ),
            answer_time=Histogram(
                "mulberryswitch_answer_seconds",
                "Time from a request's last byte to the acknowledgement of its answer.",
                registry=registry,
                buckets=LATENCY_BUCKETS_S,
            ),
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self.counts[name] += amount

    def observe_wait(self, service: str, wait_s: float) -> None:
        """Record how long a request waited for a slot, in seconds."""
        self._collectors.queue_wait.observe({"service": service}, wait_s)

    def observe_answer(self, service: str, answer_s: float) -> None:
        """Record how long a target took to answer a request, in seconds.

        As this is called on the packet path, the sample only enters the histogram at the next
        scrape.
        """
        if len(self._answer_samples) == MAX_PENDING_SAMPLES:
            self.counts["answer_samples_dropped"] += 1
        self._answer_samples.append((service, answer_s))

    def render(self, gauges: Mapping[str, float], accept: str = "") -> tuple[bytes, Mapping]:
        """Return body and headers of a scrape; `gauges` are the present values of the gauges."""
        from aioprometheus import render

        collectors = self._collectors
        while self._answer_samples:
            service, answer_s = self._answer_samples.popleft()
            collectors.answer_time.observe({"service": service}, answer_s)
        for name, value in self.counts.items():
            collectors.counter.set({"event": name}, value)
        for name, value in gauges.items():
            collectors.gauge.set({"name": name}, value)
        return render(collectors.registry, [accept] if accept else [])
