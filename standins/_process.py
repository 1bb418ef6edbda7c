"""Start-up code shared by the simulators: INI settings, signals and a limited run time."""

import argparse
import asyncio
import signal
from collections.abc import Awaitable, Callable
from configparser import ConfigParser
from pathlib import Path

__all__ = ["Program", "check_loopback", "parse_host_port", "read_settings", "run_program"]

# Ends a simulator whose parent process was killed before it could stop its children.
DEFAULT_MAX_RUN_S = 300.0

Program = Callable[[ConfigParser, asyncio.Event], Awaitable[None]]


def check_loopback(host: str) -> str:
    """Return `host` if it is in 127.0.0.0/8, else raise ``ValueError``."""
    if not host.startswith("127."):
        raise ValueError(f"{host} is not a loopback address")
    return host


def parse_host_port(text: str) -> tuple[str, int]:
    """Return the host and the port of a loopback ``host:port``."""
    host, _, port = text.strip().rpartition(":")
    return check_loopback(host), int(port)


def read_settings(path: Path) -> ConfigParser:
    """Return the settings in the INI file at `path`."""
    cfg = ConfigParser(interpolation=None)
    with path.open() as file:
        cfg.read_file(file)
    return cfg


async def _run_until_signal(program: Program, cfg: ConfigParser) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    max_run_s = cfg.getfloat("process", "max_run_s", fallback=DEFAULT_MAX_RUN_S)
    loop.call_later(max_run_s, stop.set)
    await program(cfg, stop)


def run_program(program: Program) -> None:
    """Run `program` with the settings of ``--config`` until it returns.

    `program` gets the settings and an event that is set by SIGTERM, by SIGINT and when the maximum
    run time is over.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--config", type=Path, required=True, metavar="FILE.ini")
    asyncio.run(_run_until_signal(program, read_settings(parser.parse_args().config)))
