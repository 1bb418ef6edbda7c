"""Run the whole path in separate processes for a few seconds and print the counts.

The run has load on two services, one configuration change (a target joins, another leaves) and
one VM that is killed. The last line of the output is a JSON object with the counts.
"""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import Any

from ._cluster import Cluster, ClusterError, build_document
from ._plans import JOINING, LEAVING, build_plan, start_targets

__all__ = ["main", "run_demo"]

LOAD_S = 8.0
CHANGE_AT_S = 3.0
KILL_AFTER_CHANGE_S = 2.0
MAX_SPREAD_S = 4.0
CALLERS_TIMEOUT_S = 30.0
KILLED_VM = 2  # index in the plan


async def publish_change(cluster: Cluster) -> float | None:
    """Let one target join and another leave; return the spread time in seconds, None if late."""
    targets = start_targets(cluster.plan)
    document = build_document(
        cluster.plan,
        active=(targets | {JOINING}) - {LEAVING},
        leaving=frozenset({LEAVING}),
    )
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    version = await cluster.publish(document)
    done = await cluster.wait_version(version, MAX_SPREAD_S)
    return None if done is None else loop.time() - start_s


async def wait_callers(cluster: Cluster, names: list[str]) -> None:
    """Wait until the callers have ended by themselves; raise ``ClusterError`` when they do not."""
    for name in names:
        code = await cluster.wait_ended(name, cluster.plan.load_s + CALLERS_TIMEOUT_S)
        if code != 0:
            raise ClusterError(f"{name} ended with code {code}\n{cluster.read_log(name)[-2000:]}")


async def _run_load(cluster: Cluster) -> dict[str, Any]:
    await cluster.start(build_document(cluster.plan, active=start_targets(cluster.plan)))
    callers = cluster.start_callers()
    await asyncio.sleep(CHANGE_AT_S)
    spread_s = await publish_change(cluster)
    await asyncio.sleep(KILL_AFTER_CHANGE_S)
    cluster.signal(cluster.plan.vms[KILLED_VM].name, signal.SIGKILL)
    await wait_callers(cluster, callers)
    return {"config_spread_s": None if spread_s is None else round(spread_s, 3)}


async def run_demo(directory: Path, *, load_s: float) -> dict[str, Any]:
    """Run the demo in `directory` and return its result."""
    cluster = Cluster(plan=build_plan(load_s=load_s), directory=directory)
    try:
        result = await _run_load(cluster)
    finally:
        cluster.stop()
    return asdict(cluster.count()) | result


def _raise_exit(number: int, _frame: Any) -> None:
    raise SystemExit(128 + number)


def find_failures(result: dict[str, Any]) -> list[str]:
    """Return the names of the values of `result` that are out of bounds."""
    names = ("lost", "wrong_answer", "run_twice", "refused_but_run", "wrong_service")
    failures = [name for name in (*names, "broken_flows", "flows_never_open") if result[name]]
    spread_s = result["config_spread_s"]
    if spread_s is None or spread_s > MAX_SPREAD_S:
        failures.append("config_spread_s")
    if not result["answered"]:
        failures.append("answered")
    return failures


def main() -> int:
    """Run the demo and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=LOAD_S, help="duration of the load")
    parser.add_argument("--keep", type=Path, help="existing directory for records and logs")
    args = parser.parse_args()
    signal.signal(signal.SIGTERM, _raise_exit)
    try:
        with tempfile.TemporaryDirectory(prefix="mulberryswitch-") as temporary:
            directory = args.keep or Path(temporary)
            result = asyncio.run(run_demo(directory, load_s=args.seconds))
    except ClusterError as exc:
        print(f"demo: {exc}", file=sys.stderr)
        return 2
    failures = find_failures(result)
    if failures:
        print(f"demo: out of bounds: {', '.join(failures)}", file=sys.stderr)
    print(json.dumps(result))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
