"""Classification of requests as short or long work, learned from their run times."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from statistics import median

__all__ = ["WorkClassifier", "WorkKind"]

WorkKind = tuple[str, int]

# A run is long if it takes more than this multiple of the median run time.
LONG_RUN_FACTOR = 8.0
MEDIAN_WINDOW = 127
MEDIAN_INTERVAL = 16
# Hysteresis: a kind becomes long above the first share of long runs, short below the second.
LONG_KIND_SHARE, SHORT_KIND_SHARE = 0.5, 0.25
SHARE_WEIGHT = 0.1
# The wait behind n requests is estimated as n times the mean, which therefore averages over
# many samples.
MEAN_WEIGHT = 0.005
# Averages over about 5,000 requests: with 2% long work, these include about 100 long runs.
MEAN_ALL_WEIGHT = 0.0002
MAX_KINDS = 4096


@dataclass(slots=True)
class _KindState:
    count: int = 0
    long_share: float = 0.0
    is_long: bool = False


class WorkClassifier:
    """Classify kinds of work as short or long; a kind is an address and a body size class."""

    def __init__(self):
        self._kinds: OrderedDict[WorkKind, _KindState] = OrderedDict()
        self._recent_s: deque[float] = deque(maxlen=MEDIAN_WINDOW)
        self._until_median = 1
        self.median_s = 0.0
        self._runs = {False: 0, True: 0}
        self.mean_all_s = 0.0
        self.mean_s = {False: 0.0, True: 0.0}

    @staticmethod
    def kind_of(address: str, size_bytes: int) -> WorkKind:
        """Return the kind of a request; sizes with the same bit length share a size class."""
        return address, size_bytes.bit_length()

    def is_long(self, kind: WorkKind) -> bool:
        """Return whether requests of this kind count as long work."""
        state = self._kinds.get(kind)
        return state is not None and state.is_long

    def is_long_run(self, elapsed_s: float) -> bool:
        """Return whether a run of `elapsed_s` is long compared with the median run."""
        return self.median_s > 0.0 and elapsed_s > LONG_RUN_FACTOR * self.median_s

    def observe_long_run(self, kind: WorkKind) -> None:
        """Count a run as long before it ends."""
        self._observe_share(kind, True)

    def observe_elapsed(
        self, kind: WorkKind, elapsed_s: float, *, already_counted: bool = False
    ) -> None:
        """Add the run time of a finished run.

        Parameters
        ----------
        kind : tuple of str and int
        elapsed_s : float
        already_counted : bool
            Whether ``observe_long_run`` has counted this run towards the share of long runs.
        """
        self._recent_s.append(elapsed_s)
        self._until_median -= 1
        if self._until_median <= 0:
            self.median_s = median(self._recent_s)
            self._until_median = min(MEDIAN_INTERVAL, len(self._recent_s))
        long_run = self.is_long_run(elapsed_s)
        self._runs[long_run] += 1
        weight = max(MEAN_WEIGHT, 1.0 / self._runs[long_run])
        self.mean_s[long_run] += (elapsed_s - self.mean_s[long_run]) * weight
        weight = max(MEAN_ALL_WEIGHT, 1.0 / sum(self._runs.values()))
        self.mean_all_s += (elapsed_s - self.mean_all_s) * weight
        if not already_counted:
            self._observe_share(kind, long_run)

    def _observe_share(self, kind: WorkKind, long_run: bool) -> None:
        state = self._kinds.get(kind)
        if state is None:
            state = self._kinds[kind] = _KindState()
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        state.count += 1
        # A plain mean at first, then an exponential one; a new kind starts as if one short run
        # had been seen.
        weight = max(SHARE_WEIGHT, 1.0 / (state.count + 1))
        state.long_share += (long_run - state.long_share) * weight
        if state.long_share > LONG_KIND_SHARE:
            state.is_long = True
        elif state.long_share < SHORT_KIND_SHARE:
            state.is_long = False
