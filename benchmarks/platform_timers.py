"""Load on the platform when every VM reads it once per period, for several kinds of timer.

Run with ``python -m benchmarks.platform_timers``. The platform serves reads one after the other;
a VM is past its period while its last completed read is older than the period. The token passes
without delay, which favours it.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

VMS = 3_500
PERIOD_S = 10.0
READ_S = 1 / 2_000  # the platform serves about 2,000 reads a second
SHORTENED_SHARE = 0.05
PAUSED_SHARE = 0.3
PAUSE_S = 30.0
OBSERVED_S = 100.0
BIN_S = 0.1
LATER_S = 50.0
SEED = 1

Draw = Callable[[Random], float]


def draw_fixed(rng: Random) -> float:
    """Return the period."""
    return PERIOD_S


def draw_shortened(rng: Random) -> float:
    """Return the period less a random share of it."""
    return PERIOD_S * (1 - SHORTENED_SHARE * rng.random())


def draw_any(rng: Random) -> float:
    """Return any part of the period."""
    return PERIOD_S * rng.random()


@dataclass(frozen=True, kw_only=True)
class Scheme:
    """A kind of timer; without `draw_first` an overdue timer expires when a pause ends."""

    name: str
    draw: Draw
    draw_first: Draw | None = None
    has_token: bool = False


SCHEMES = (
    Scheme(name="fixed", draw=draw_fixed),
    Scheme(name="shortened 0-5%", draw=draw_shortened),
    Scheme(name="token", draw=draw_fixed, has_token=True),
    Scheme(name="shortened, spread start", draw=draw_shortened, draw_first=draw_any),
)


@dataclass(kw_only=True)
class Fleet:
    """VMs with a timer each; `generations` invalidates timers that were started again."""

    scheme: Scheme
    rng: Random
    now_s: float = 0.0
    free_s: float = 0.0
    messages: int = 0
    reads_s: list[float] = field(default_factory=list)
    late_shares: list[tuple[float, float]] = field(default_factory=list)
    read_s: list[float] = field(default_factory=lambda: [0.0] * VMS)
    generations: list[int] = field(default_factory=lambda: [0] * VMS)
    paused: frozenset[int] = frozenset()
    waiting: list[Callable[[], None]] = field(default_factory=list)
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    count: int = 0

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call `action` after `delay_s`."""
        self.count += 1
        heapq.heappush(self.events, (self.now_s + delay_s, self.count, action))

    def run(self, end_s: float) -> None:
        """Run all events until `end_s`."""
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        self.now_s = end_s

    def start_timer(self, vm: int, delay_s: float) -> None:
        """Start the timer of `vm` again."""
        self.generations[vm] += 1
        generation = self.generations[vm]
        self.schedule(delay_s, lambda: self.expire(vm, generation))

    def expire(self, vm: int, generation: int) -> None:
        """Read the platform if the timer was not started again."""
        if vm in self.paused:
            self.waiting.append(lambda: self.resume(vm, generation))
        elif generation == self.generations[vm]:
            self.read(vm)

    def resume(self, vm: int, generation: int) -> None:
        """Handle a timer that expired during a pause."""
        if self.scheme.draw_first:
            self.start_timer(vm, self.scheme.draw_first(self.rng))
        else:
            self.expire(vm, generation)

    def read(self, vm: int) -> None:
        """Read the platform, which answers in order of arrival, and start the timer."""
        self.reads_s.append(self.now_s)
        self.free_s = max(self.free_s, self.now_s) + READ_S
        self.schedule(self.free_s - self.now_s, lambda: self.finish_read(vm))
        self.start_timer(vm, self.scheme.draw(self.rng))

    def finish_read(self, vm: int) -> None:
        """Note the time of the answer."""
        self.read_s[vm] = self.now_s

    def take_token(self, vm: int) -> None:
        """Read, hold the token and pass it to a random VM; a paused VM keeps it."""
        if vm in self.paused:
            self.waiting.append(lambda: self.take_token(vm))
            return
        self.read(vm)
        self.messages += 1
        receiver = self.rng.randrange(VMS)
        self.schedule(PERIOD_S / VMS, lambda: self.take_token(receiver))

    def sample(self) -> None:
        """Note the share of running VMs that are past their period."""
        limit_s = self.now_s - PERIOD_S
        late = sum(s < limit_s and vm not in self.paused for vm, s in enumerate(self.read_s))
        self.late_shares.append((self.now_s, late / (VMS - len(self.paused))))
        self.schedule(BIN_S, self.sample)

    def pause(self) -> None:
        """Pause random VMs."""
        self.paused = frozenset(self.rng.sample(range(VMS), round(VMS * PAUSED_SHARE)))

    def end_pause(self) -> None:
        """Resume them; their overdue timers expire at once."""
        waiting, self.paused, self.waiting = self.waiting, frozenset(), []
        for action in waiting:
            action()


def find_peak(reads_s: list[float]) -> int:
    """Return the most reads in any interval of 100 ms."""
    peak = start = 0
    for index, read_s in enumerate(reads_s):
        while read_s - reads_s[start] >= BIN_S:
            start += 1
        peak = max(peak, index - start + 1)
    return peak


def build_row(fleet: Fleet, event: str, start_s: float) -> tuple[str, ...]:
    """Return the figures from `start_s` on."""
    reads_s = [read_s for read_s in fleet.reads_s if read_s >= start_s]
    later_s = [read_s for read_s in reads_s if read_s >= start_s + LATER_S]
    late = [share for now_s, share in fleet.late_shares if now_s >= start_s]
    return (
        event,
        fleet.scheme.name,
        str(find_peak(reads_s)),
        str(find_peak(later_s)),
        f"{len(reads_s) / (fleet.now_s - start_s):.0f}",
        f"{sum(late) / len(late):.2%}",
        f"{max(late):.2%}",
        f"{fleet.messages / fleet.now_s:.0f}",
    )


def measure_start(scheme: Scheme) -> tuple[str, ...]:
    """Start all VMs at the same moment, each with a copy that was just read."""
    fleet = Fleet(scheme=scheme, rng=Random(SEED))
    draw = scheme.draw_first or scheme.draw
    for vm in range(VMS):
        fleet.start_timer(vm, draw(fleet.rng))
    if scheme.has_token:
        fleet.take_token(0)
    fleet.sample()
    fleet.run(OBSERVED_S)
    return build_row(fleet, "common start", 0.0)


def measure_pause(scheme: Scheme) -> tuple[str, ...]:
    """Pause 30% of VMs whose timers were evenly spread; observe from their return."""
    fleet = Fleet(scheme=scheme, rng=Random(SEED))
    for vm in range(VMS):
        phase_s = PERIOD_S * vm / VMS
        fleet.read_s[vm] = phase_s - PERIOD_S
        fleet.start_timer(vm, phase_s)
    if scheme.has_token:
        fleet.take_token(0)
    pause_s = 3 * PERIOD_S
    fleet.schedule(pause_s, fleet.pause)
    fleet.schedule(pause_s + PAUSE_S, fleet.end_pause)
    fleet.schedule(pause_s + PAUSE_S, fleet.sample)
    fleet.run(pause_s + PAUSE_S + OBSERVED_S)
    return build_row(fleet, "30% paused 30 s", pause_s + PAUSE_S)


def main() -> None:
    """Print the table."""
    names = ("event", "timers", "peak", "peak later", "reads/s", "past", "past max", "messages/s")
    rows = [measure_start(scheme) for scheme in SCHEMES]
    rows += [measure_pause(scheme) for scheme in SCHEMES]
    print(
        f"{VMS} VMs, period {PERIOD_S:.0f} s, {OBSERVED_S:.0f} s observed; peak: reads in 100 ms,"
    )
    print(f"later: {LATER_S:.0f} s and more after the event; past: share of VMs past their period")
    for row in (names, *rows):
        print(f"{row[0]:<17}{row[1]:<25}" + "".join(f"{cell:>12}" for cell in row[2:]))


if __name__ == "__main__":
    main()
