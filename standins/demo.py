"""Run the whole path in separate processes for a few seconds and print the counts.

The run has load on two services, one configuration change (a target joins, another leaves) and
the kill of the VM that dispatches one service. The last line of the output is a JSON object.
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
    Findings,
    RunResult,
    exit_on_sigterm,
    open_directory,
    publish_change,
    run_path,
)

__all__ = ["act", "build_summary", "main"]

LOAD_S = 8.0
CHANGE_AT_S = 2.5
KILL_AFTER_CHANGE_S = 2.0


async def act(cluster: Cluster) -> Findings:
    """Publish the change, then kill the dispatcher of the feeds."""
    await asyncio.sleep(CHANGE_AT_S)
    findings = await publish_change(cluster)
    await asyncio.sleep(KILL_AFTER_CHANGE_S)
    cluster.signal(cluster.find_dispatcher(FEEDS), signal.SIGKILL)
    return findings


def build_summary(result: RunResult) -> dict[str, Any]:
    """Return the values of the last line."""
    spread_s = result.findings.spread_s
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
    parser.add_argument("--seconds", type=float, default=LOAD_S, help="duration of the load")
    parser.add_argument("--seed", type=int, default=1, help="seed of the fabric and the callers")
    parser.add_argument("--keep", type=Path, help="empty directory that keeps records and logs")
    args = parser.parse_args()
    exit_on_sigterm()
    plan = build_plan(load_s=args.seconds, seed=args.seed)
    try:
        with open_directory(args.keep) as directory:
            result = asyncio.run(run_path(plan, directory, act))
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
