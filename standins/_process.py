"""Start-up shared by the stand-in programs: INI settings, signals and a bounded run time."""

import argparse
import asyncio
import signal
from collections.abc import Awaitable, Callable
from configparser import ConfigParser
from pathlib import Path

__all__ = ["Serve", "check_loopback", "parse_endpoint", "read_settings", "run_program"]

# A stand-in whose supervisor was killed still ends by itself after this time.
DEFAULT_MAX_RUN_S = 300.0

Serve = Callable[[ConfigParser, asyncio.Event], Awaitable[None]]


def check_loopback(host: str) -> str:
    """Return `host` if it is in 127.0.0.0/8, else raise ``ValueError``."""
    if not host.startswith("127."):
        raise ValueError(f"{host} is no loopback address")
    return host


def parse_endpoint(text: str) -> tuple[str, int]:
    """Return host and port of a loopback ``host:port``."""
    host, _, port = text.strip().rpartition(":")
    return check_loopback(host), int(port)


def read_settings(path: Path) -> ConfigParser:
    """Return the settings in the INI file at `path`."""
    cfg = ConfigParser(interpolation=None)
    with path.open() as file:
        cfg.read_file(file)
    return cfg


async def _serve_until_signal(serve: Serve, cfg: ConfigParser) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    max_run_s = cfg.getfloat("process", "max_run_s", fallback=DEFAULT_MAX_RUN_S)
    loop.call_later(max_run_s, stop.set)
    await serve(cfg, stop)


def run_program(serve: Serve) -> None:
    """Run `serve` with the settings of ``--config`` until it returns.

    `serve` gets the settings and an event that SIGTERM, SIGINT or the maximum run time sets.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--config", type=Path, required=True, metavar="FILE.ini")
    asyncio.run(_serve_until_signal(serve, read_settings(parser.parse_args().config)))
