"""JSON logs with a rate limit per message, so that a fault cannot flood the log."""

import logging
import time
from collections.abc import Callable

from pythonjsonlogger.json import JsonFormatter

__all__ = ["RateLimitFilter", "configure_logs"]

MAX_RECORDS_PER_WINDOW = 20
WINDOW_S = 10.0
MAX_TRACKED_MESSAGES = 1000


class RateLimitFilter(logging.Filter):
    """Let at most `limit` records of one message through per window.

    The first record of the next window carries ``suppressed``, the number that was left out.
    """

    def __init__(
        self,
        *,
        limit: int = MAX_RECORDS_PER_WINDOW,
        window_s: float = WINDOW_S,
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__()
        self.limit = limit
        self.window_s = window_s
        self.clock = clock
        self._windows: dict[tuple[str, str], tuple[float, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether `record` is written."""
        key = (record.name, str(record.msg))
        now_s = self.clock()
        start_s, count = self._windows.get(key, (now_s, 0))
        if now_s - start_s >= self.window_s:
            record.suppressed = max(0, count - self.limit)
            start_s, count = now_s, 0
        if len(self._windows) >= MAX_TRACKED_MESSAGES and key not in self._windows:
            self._windows.clear()
        self._windows[key] = (start_s, count + 1)
        return count < self.limit


def configure_logs(*, level: str, vm: str) -> None:
    """Write JSON lines to standard error, each with the VM's name."""
    handler = logging.StreamHandler()
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "part"},
            static_fields={"vm": vm},
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    logging.getLogger("aiohttp").setLevel(logging.WARNING)
