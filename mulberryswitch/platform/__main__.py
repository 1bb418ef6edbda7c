"""Run a VM on the users' platform with ``python -m mulberryswitch.platform``."""

import signal

# By default SIGHUP ends the process; one that arrives during the imports must not.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio  # noqa: E402
import logging  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
from dataclasses import replace  # noqa: E402
from pathlib import Path  # noqa: E402

from mulberryswitch.front import (  # noqa: E402
    FrontSettings,
    FrontSettingsError,
    parse_options,
    run_front,
)
from mulberryswitch.observability import NonBlockingHandler, configure_logs  # noqa: E402

from ._adapter import ADAPTER, OPTIONS_VARIABLE, SETTINGS_VARIABLE  # noqa: E402

EXIT_BAD_SETTINGS = 2
# Limit of log lines with the same message in 10 s. With the small number of different messages it
# keeps a VM below 200 lines a second.
MAX_LINES_PER_MESSAGE = 500

log = logging.getLogger("front")


def main() -> int:
    """Read the settings file and run the VM until it is stopped; return the exit code."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    handler = NonBlockingHandler(descriptor=sys.stdout.fileno())
    try:
        settings = _read_settings(path)
    except (OSError, ValueError, FrontSettingsError) as exc:
        configure_logs(level="info", vm="", handler=handler)
        log.error("invalid settings file", extra={"path": str(path), "error": str(exc)})
        return EXIT_BAD_SETTINGS
    configure_logs(level="info", vm=settings.vm, handler=handler, limit=MAX_LINES_PER_MESSAGE)
    asyncio.run(run_front(settings_path=path, adapter=ADAPTER, settings=settings))
    return 0


def _read_settings(path: Path) -> FrontSettings:
    """Return the platform's settings together with the operators' options, if there are any."""
    settings = ADAPTER.parse_settings(path.read_text())
    options = os.environ.get(OPTIONS_VARIABLE)
    if not options:
        return settings
    return replace(settings, hedge_limits=parse_options(Path(options).read_text()))


if __name__ == "__main__":
    sys.exit(main())
