"""Load on the platform if every VM reads it once per period, for several timer policies.

Run with ``python -m benchmarks.platform_timers``. The platform serves reads sequentially. A VM is
overdue while its last completed read is older than the period. Passing the token takes no time in
the simulation, which favours the token policy.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

VM_COUNT = 3_500
PERIOD_S = 10.0
SERVICE_TIME_S = 1 / 2_000  # the platform serves about 2,000 reads a second
JITTER_FRACTION = 0.05
PAUSED_FRACTION = 0.3
PAUSE_S = 30.0
MEASUREMENT_S = 100.0
SAMPLE_INTERVAL_S = 0.1
SETTLING_S = 50.0
SEED = 1

DelaySampler = Callable[[Random], float]


def sample_fixed(rng: Random) -> float:
    """Return the period."""
    return PERIOD_S


def sample_jittered(rng: Random) -> float:
    """Return the period shortened by a random part of up to `JITTER_FRACTION`."""
    return PERIOD_S * (1 - JITTER_FRACTION * rng.random())


def sample_uniform(rng: Random) -> float:
    """Return a uniformly distributed part of the period."""
    return PERIOD_S * rng.random()


@dataclass(frozen=True, kw_only=True)
class TimerPolicy:
    """A kind of timer.

    `sample_first_delay` gives the delay after a start or a pause. Without it, a start uses
    `sample_delay`, and a timer that became due during a pause expires as the pause ends.
    """

    name: str
    sample_delay: DelaySampler
    sample_first_delay: DelaySampler | None = None
    has_token: bool = False


TIMER_POLICIES = (
    TimerPolicy(name="fixed", sample_delay=sample_fixed),
    TimerPolicy(name="jitter 0-5%", sample_delay=sample_jittered),
    TimerPolicy(name="token", sample_delay=sample_fixed, has_token=True),
    TimerPolicy(
        name="jitter, random start",
        sample_delay=sample_jittered,
        sample_first_delay=sample_uniform,
    ),
)


@dataclass(kw_only=True)
class Fleet:
    """Simulated VMs with one timer each; a timer of an older generation is ignored."""

    timer_policy: TimerPolicy
    rng: Random
    now_s: float = 0.0
    server_free_s: float = 0.0
    token_messages: int = 0
    read_times_s: list[float] = field(default_factory=list)
    overdue_shares: list[tuple[float, float]] = field(default_factory=list)
    last_read_s: list[float] = field(default_factory=lambda: [0.0] * VM_COUNT)
    generations: list[int] = field(default_factory=lambda: [0] * VM_COUNT)
    paused: frozenset[int] = frozenset()
    deferred: list[Callable[[], None]] = field(default_factory=list)
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    event_count: int = 0

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule `action` after `delay_s`."""
        self.event_count += 1
        heapq.heappush(self.events, (self.now_s + delay_s, self.event_count, action))

    def run(self, end_s: float) -> None:
        """Process all events up to `end_s`."""
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        self.now_s = end_s

    def start_timer(self, vm: int, delay_s: float) -> None:
        """Restart the timer of `vm`."""
        self.generations[vm] += 1
        generation = self.generations[vm]
        self.schedule(delay_s, lambda: self.expire(vm, generation))

    def expire(self, vm: int, generation: int) -> None:
        """Read the platform unless the timer was restarted; defer this if the VM is paused."""
        if vm in self.paused:
            self.deferred.append(lambda: self.expire_after_pause(vm, generation))
        elif generation == self.generations[vm]:
            self.read_platform(vm)

    def expire_after_pause(self, vm: int, generation: int) -> None:
        """Handle a timer that became due during a pause."""
        if self.timer_policy.sample_first_delay:
            self.start_timer(vm, self.timer_policy.sample_first_delay(self.rng))
        else:
            self.expire(vm, generation)

    def read_platform(self, vm: int) -> None:
        """Send a read to the platform, which serves them in order, and restart the timer."""
        self.read_times_s.append(self.now_s)
        self.server_free_s = max(self.server_free_s, self.now_s) + SERVICE_TIME_S
        self.schedule(self.server_free_s - self.now_s, lambda: self.complete_read(vm))
        self.start_timer(vm, self.timer_policy.sample_delay(self.rng))

    def complete_read(self, vm: int) -> None:
        """Record the time of the answer."""
        self.last_read_s[vm] = self.now_s

    def receive_token(self, vm: int) -> None:
        """Read the platform, hold the token and pass it to a random VM; a paused VM keeps it."""
        if vm in self.paused:
            self.deferred.append(lambda: self.receive_token(vm))
            return
        self.read_platform(vm)
        self.token_messages += 1
        receiver = self.rng.randrange(VM_COUNT)
        self.schedule(PERIOD_S / VM_COUNT, lambda: self.receive_token(receiver))

    def sample_overdue(self) -> None:
        """Record the share of running VMs that are overdue."""
        oldest_s = self.now_s - PERIOD_S
        overdue = sum(
            s < oldest_s and vm not in self.paused for vm, s in enumerate(self.last_read_s)
        )
        self.overdue_shares.append((self.now_s, overdue / (VM_COUNT - len(self.paused))))
        self.schedule(SAMPLE_INTERVAL_S, self.sample_overdue)

    def pause_vms(self) -> None:
        """Pause a random sample of the VMs."""
        self.paused = frozenset(self.rng.sample(range(VM_COUNT), round(VM_COUNT * PAUSED_FRACTION)))

    def resume_vms(self) -> None:
        """Resume the paused VMs and run their deferred actions."""
        deferred, self.paused, self.deferred = self.deferred, frozenset(), []
        for action in deferred:
            action()


def find_peak(read_times_s: list[float]) -> int:
    """Return the maximum number of reads in any interval of `SAMPLE_INTERVAL_S`."""
    peak = start = 0
    for index, time_s in enumerate(read_times_s):
        while time_s - read_times_s[start] >= SAMPLE_INTERVAL_S:
            start += 1
        peak = max(peak, index - start + 1)
    return peak


def build_row(fleet: Fleet, event: str, start_s: float) -> tuple[str, ...]:
    """Return the table row of the figures from `start_s` on."""
    read_times_s = [time_s for time_s in fleet.read_times_s if time_s >= start_s]
    settled_times_s = [time_s for time_s in read_times_s if time_s >= start_s + SETTLING_S]
    overdue = [share for now_s, share in fleet.overdue_shares if now_s >= start_s]
    return (
        event,
        fleet.timer_policy.name,
        str(find_peak(read_times_s)),
        str(find_peak(settled_times_s)),
        f"{len(read_times_s) / (fleet.now_s - start_s):.0f}",
        f"{sum(overdue) / len(overdue):.2%}",
        f"{max(overdue):.2%}",
        f"{fleet.token_messages / fleet.now_s:.0f}",
    )


def measure_start(timer_policy: TimerPolicy) -> tuple[str, ...]:
    """Start all VMs simultaneously, each with a read that was just completed."""
    fleet = Fleet(timer_policy=timer_policy, rng=Random(SEED))
    sample_delay = timer_policy.sample_first_delay or timer_policy.sample_delay
    for vm in range(VM_COUNT):
        fleet.start_timer(vm, sample_delay(fleet.rng))
    if timer_policy.has_token:
        fleet.receive_token(0)
    fleet.sample_overdue()
    fleet.run(MEASUREMENT_S)
    return build_row(fleet, "common start", 0.0)


def measure_pause(timer_policy: TimerPolicy) -> tuple[str, ...]:
    """Pause 30% of VMs with evenly spread timers, and measure from the end of the pause."""
    fleet = Fleet(timer_policy=timer_policy, rng=Random(SEED))
    for vm in range(VM_COUNT):
        phase_s = PERIOD_S * vm / VM_COUNT
        fleet.last_read_s[vm] = phase_s - PERIOD_S
        fleet.start_timer(vm, phase_s)
    if timer_policy.has_token:
        fleet.receive_token(0)
    pause_start_s = 3 * PERIOD_S
    fleet.schedule(pause_start_s, fleet.pause_vms)
    fleet.schedule(pause_start_s + PAUSE_S, fleet.resume_vms)
    fleet.schedule(pause_start_s + PAUSE_S, fleet.sample_overdue)
    fleet.run(pause_start_s + PAUSE_S + MEASUREMENT_S)
    return build_row(fleet, "30% paused 30 s", pause_start_s + PAUSE_S)


def main() -> None:
    """Print the table."""
    names = ("event", "timers", "peak", "peak later", "reads/s", "past", "past max", "messages/s")
    rows = [measure_start(timer_policy) for timer_policy in TIMER_POLICIES]
    rows += [measure_pause(timer_policy) for timer_policy in TIMER_POLICIES]
    print(
        f"{VM_COUNT} VMs, period {PERIOD_S:.0f} s, {MEASUREMENT_S:.0f} s observed; "
        "peak: reads in 100 ms,"
    )
    print(
        f"later: {SETTLING_S:.0f} s and more after the event; past: share of VMs past their period"
    )
    for row in (names, *rows):
        print(f"{row[0]:<17}{row[1]:<25}" + "".join(f"{cell:>12}" for cell in row[2:]))


if __name__ == "__main__":
    main()
