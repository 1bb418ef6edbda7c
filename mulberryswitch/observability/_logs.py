"""JSON logs with a rate limit per message, so that a fault cannot flood the log."""

import contextlib
import logging
import os
import time
from collections.abc import Callable

from pythonjsonlogger.json import JsonFormatter

__all__ = ["NonBlockingHandler", "RateLimitFilter", "configure_logs"]

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


class NonBlockingHandler(logging.Handler):
    """Write lines to a descriptor and drop what a slow reader does not take.

    The first line after a loss carries ``dropped``, the number of lines that were lost.

    Parameters
    ----------
    descriptor : int
        Open file descriptor; it is made non-blocking.
    """

    def __init__(self, *, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        self._rest = b""
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write `record`, or count it as dropped."""
        try:
            self._flush_rest()
            if self._rest:
                self.dropped += 1
                return
            if self.dropped:
                record.dropped = self.dropped
            self._rest = (self.format(record) + "\n").encode()
            self.dropped = 0
            self._flush_rest()
        except OSError:
            # Nobody reads the log any more; the packet path goes on.
            self._rest = b""
            self.dropped += 1
        except Exception:  # a record with fields that cannot be written
            self.handleError(record)

    def _flush_rest(self) -> None:
        if not self._rest:
            return
        try:
            written = os.write(self.descriptor, self._rest)
        except BlockingIOError:
            return
        self._rest = self._rest[written:]


def configure_logs(
    *,
    level: str,
    vm: str,
    handler: logging.Handler | None = None,
    limit: int = MAX_RECORDS_PER_WINDOW,
) -> None:
    """Write JSON lines, each with the VM's name.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    vm : str
        Name of this VM.
    handler : logging.Handler, optional
        Where the lines go; standard error by default.
    limit : int
        Lines of one message in each window; see ``RateLimitFilter``.
    """
    handler = handler or logging.StreamHandler()
    handler.addFilter(RateLimitFilter(limit=limit))
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
