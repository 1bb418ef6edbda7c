"""JSON logs with a rate limit per message, so that a repeated failure cannot flood the log."""

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
    """Pass at most `limit` records with the same message per window.

    The first record of a later window has the attribute ``suppressed``, the number of records that
    were dropped in the window before.
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
        """Return whether `record` passes."""
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
    """Write log lines to a file descriptor, dropping lines while it would block.

    The first line after a loss has the field ``dropped``, the number of lines that were dropped.

    Parameters
    ----------
    descriptor : int
        Open file descriptor; it is set to non-blocking mode.
    """

    def __init__(self, *, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        self._unwritten = b""
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write `record`, or count it as dropped."""
        try:
            self._flush_unwritten()
            if self._unwritten:
                self.dropped += 1
                return
            if self.dropped:
                record.dropped = self.dropped
            self._unwritten = (self.format(record) + "\n").encode()
            self.dropped = 0
            self._flush_unwritten()
        except OSError:
            # The log cannot be written, as after its reader has closed the pipe; forwarding must go
            # on without it.
            self._unwritten = b""
            self.dropped += 1
        except Exception:  # fields that cannot be formatted
            self.handleError(record)

    def _flush_unwritten(self) -> None:
        if not self._unwritten:
            return
        try:
            written = os.write(self.descriptor, self._unwritten)
        except BlockingIOError:
            return
        self._unwritten = self._unwritten[written:]


def configure_logs(
    *,
    level: str,
    vm: str,
    handler: logging.Handler | None = None,
    limit: int = MAX_RECORDS_PER_WINDOW,
) -> None:
    """Configure the root logger to write JSON lines, each with the name of the VM.

    Parameters
    ----------
    level : str
        Lowest level of the records that are written.
    vm : str
        Name of this VM.
    handler : logging.Handler, optional
        Destination of the lines; standard error by default.
    limit : int
        Maximum number of lines with the same message per window; see ``RateLimitFilter``.
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
