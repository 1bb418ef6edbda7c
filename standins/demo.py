"""Run the system end to end in separate processes for a few seconds and print the counts.

The run puts load on two services, publishes one configuration change (one target joins, another
leaves) and kills the VM that dispatches one service. The last line of output is a JSON object.
"""

import argparse
import asyncio
import json
import signal
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from ._cluster import Cluster, ClusterError
from ._plans import FEEDS, build_plan
from ._run import (
    ActionResult,
    RunResult,
    exit_on_sigterm,
    open_run_directory,
    publish_change,
    run_end_to_end,
)

__all__ = ["build_summary", "change_and_kill_dispatcher", "main"]

DEFAULT_LOAD_S = 8.0
CHANGE_AT_S = 2.5
KILL_AFTER_CHANGE_S = 2.0


async def change_and_kill_dispatcher(cluster: Cluster) -> ActionResult:
    """Publish a configuration change, then kill the dispatcher of the feeds service."""
    await asyncio.sleep(CHANGE_AT_S)
    action_result = await publish_change(cluster)
    await asyncio.sleep(KILL_AFTER_CHANGE_S)
    cluster.signal(cluster.find_dispatcher(FEEDS), signal.SIGKILL)
    return action_result


def build_summary(result: RunResult) -> dict[str, Any]:
    """Return the content of the last line of output."""
    spread_s = result.action_result.spread_s
    return {
        **asdict(result.counts),
        "reverted": result.reverted,
        "late_work": result.late_work,
        "longest_gap_s": round(result.longest_gap_s, 3),
        "config_spread_s": None if spread_s is None else round(spread_s, 3),
    }


def main() -> int:
    """Run the demo and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=DEFAULT_LOAD_S, help="duration of the load"
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the fabric and the callers")
    parser.add_argument("--keep", type=Path, help="empty directory that keeps records and logs")
    args = parser.parse_args()
    exit_on_sigterm()
    plan = build_plan(load_s=args.seconds, seed=args.seed)
    try:
        with open_run_directory(args.keep) as directory:
            result = asyncio.run(run_end_to_end(plan, directory, change_and_kill_dispatcher))
    except ClusterError as exc:
        print(f"demo: {exc}", file=sys.stderr)
        return 2
    failures = result.find_failures()
    if failures:
        print(f"demo: out of bounds: {failures}", file=sys.stderr)
    print(json.dumps(build_summary(result)))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
