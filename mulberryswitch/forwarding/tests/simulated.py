"""Parameters, state and results of the simulation of callers, VMs and targets."""

from collections import Counter, deque
from dataclasses import dataclass, field

__all__ = ["CallerFlow", "Outcome", "Request", "Target", "Workload"]


@dataclass(frozen=True, kw_only=True)
class Workload:
    """Parameters of a simulation; times in seconds, rates per second.

    `feeds` is the number of long flows, which send a request after each pause. Reports are requests
    with a flow of their own. The share `tail` of the requests works `tail_factor` times longer.
    """

    zones: tuple[str, ...] = ("za", "zb", "zc", "zd")
    vms_per_zone: int = 4
    targets: tuple[str, ...] = ("za", "za", "zb", "zb", "zc", "zc", "zd")
    slots: int = 3
    queue: int = 12
    feeds: int = 150
    feed_pause_s: float = 1.1
    reports_per_s: float = 37.0
    work_s: float = 0.05
    tail: float = 0.03
    tail_factor: float = 7.0
    latency_goal_s: float = 0.25
    deadline_s: float = 4.0
    attempts: int = 3
    length_s: float = 10.0


@dataclass(kw_only=True)
class Target:
    """A target with slots and a queue.

    `state` is ``"up"``, ``"crashed"`` (resets every opening) or ``"dark"`` (answers nothing).
    """

    key: str
    zone: str
    state: str = "up"
    slowness: float = 1.0
    running: int = 0
    waiting: deque = field(default_factory=deque)
    flows: set = field(default_factory=set)
    served: int = 0
    work_s: float = 0.0


@dataclass(kw_only=True)
class Request:
    """One request of a caller, over all of its attempts.

    `has_opened` is set once one of its flows is open; it may then run. `runs` is the number of the
    attempt that a target accepted last, `starts` counts how often a target began to work on it.
    """

    caller: int
    zone: str
    port: int
    asked_s: float
    is_feed: bool
    attempts: int = 0
    is_done: bool = False
    result: str = ""
    has_opened: bool = False
    runs: int = 0
    starts: int = 0


@dataclass(kw_only=True)
class CallerFlow:
    """The caller's side of a flow."""

    key: tuple
    zone: str
    vm: int
    target: str = ""
    token: int = 0
    is_open: bool = False
    is_closed: bool = False
    request: Request | None = None
    position: int = 1
    acknowledged: int = 0


@dataclass(kw_only=True)
class Outcome:
    """Results of the callers' requests."""

    on_time: int = 0
    late: int = 0
    failed: int = 0
    shed: int = 0
    opened: int = 0
    busiest_share: float = 0.0
    latencies_s: list[float] = field(default_factory=list)
    by_window: Counter = field(default_factory=Counter)

    @property
    def asked(self) -> int:
        """Requests with a result."""
        return self.on_time + self.late + self.failed

    @property
    def share_on_time(self) -> float:
        """Share of requests that were answered within the latency goal."""
        return self.on_time / max(1, self.asked)
