"""Run the benchmarks and their baselines: ``python -m benchmarks [NAME ...]``."""

import importlib
import sys

NAMES = (
    "forwarding",
    "routing",
    "requests",
    "membership",
    "platform_timers",
    "configuration",
    "hard_load",
)


def main() -> None:
    """Run the benchmarks named on the command line, or all of them."""
    for name in sys.argv[1:] or NAMES:
        print(f"## {name}\n", flush=True)
        importlib.import_module(f"benchmarks.{name}").main()
        print(flush=True)


if __name__ == "__main__":
    main()
