"""Run a VM on the users' platform with ``python -m mulberryswitch.platform``."""

import os
import signal
import sys

from ._early import SETTINGS_VARIABLE, open_packet_socket

EXIT_BAD_SETTINGS = 2
# Lines of one message in 10 s; together with the few kinds of lines this keeps a VM under 200 lines
# a second.
MAX_LINES_PER_MESSAGE = 500


def main() -> int:
    """Read the settings file and run until the process is asked to stop."""
    # A signal that comes while the libraries load must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        with open(path, encoding="utf-8") as file:  # noqa: PTH123 - pathlib takes time to load
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        print(f"settings {path!r} cannot be read: {exc}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    packet_socket = open_packet_socket(text)
    return run(path, text, packet_socket)


def run(path: str, text: str, packet_socket) -> int:
    """Load the rest of the program and run it."""
    import asyncio
    import logging
    from pathlib import Path

    from mulberryswitch.front import FrontSettingsError, run_front
    from mulberryswitch.observability import NonBlockingHandler, configure_logs

    from ._adapter import ADAPTER

    handler = NonBlockingHandler(descriptor=sys.stdout.fileno())
    try:
        settings = ADAPTER.parse_settings(text)
    except FrontSettingsError as exc:
        configure_logs(level="info", vm="", handler=handler)
        logging.getLogger("front").error(
            "settings cannot be used", extra={"path": path, "error": str(exc)}
        )
        return EXIT_BAD_SETTINGS
    configure_logs(level="info", vm=settings.vm, handler=handler, limit=MAX_LINES_PER_MESSAGE)
    asyncio.run(
        run_front(
            settings_path=Path(path),
            adapter=ADAPTER,
            settings=settings,
            packet_socket=packet_socket,
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
