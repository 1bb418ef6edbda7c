"""Run seeds with ``python -m soak``."""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

import click

from standins._run import exit_on_sigterm

from ._run import VMS, run_soak

CASES = Path(__file__).parent / "cases.txt"


def _parse_seeds(text: str) -> list[int]:
    """Return the seeds of a list such as ``1-50,77``."""
    spans = (part.partition("-") for part in text.split(","))
    return [n for first, _, last in spans for n in range(int(first), int(last or first) + 1)]


def read_cases() -> list[int]:
    """Return the seeds that once failed."""
    lines = CASES.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


@click.command()
@click.option("--seeds", default="", help="Such as 1-50,77; the seeds that once failed if empty.")
@click.option("--fresh", default=0, help="Also so many seeds that nobody ran before.")
@click.option("--length", "length_s", default=12.0, help="Seconds with faults.")
@click.option("--vms", default=VMS, help="VM processes.")
@click.option("--jobs", default=1, help="Seeds at a time.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the logs of failures.")
def main(seeds, fresh, length_s, vms, jobs, keep) -> None:
    """Run seeds and print one line for each; exit with 1 if any broke a promise."""
    # The VMs of a soak that is asked to stop must not outlive it.
    exit_on_sigterm()
    numbers = _parse_seeds(seeds) if seeds else read_cases()
    now = int(time.time())
    numbers += [now * 100 + n for n in range(fresh)]
    sys.exit(asyncio.run(_run_all(numbers, length_s, vms, jobs, keep)))


async def _run_all(numbers: list[int], length_s: float, vms: int, jobs: int, keep) -> int:
    gate = asyncio.Semaphore(jobs)

    async def run_one(seed: int) -> int:
        async with gate:
            return await _run_one(seed, length_s, vms, keep)

    failed = sum(await asyncio.gather(*map(run_one, numbers)))
    print(f"{len(numbers) - failed} passed, {failed} failed")
    return 1 if failed else 0


async def _run_one(seed: int, length_s: float, vms: int, keep: Path | None) -> int:
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        folder = keep / str(seed) if keep else Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        result = await run_soak(seed=seed, length_s=length_s, folder=folder, vms=vms)
    line = {
        "seed": seed,
        "faults": len(result.faults),
        "asked": result.asked,
        "answered": result.answered,
        "findings": [f"{finding.promise}: {finding.detail}" for finding in result.findings[:5]],
    }
    print(json.dumps(line), flush=True)
    return bool(result.findings)


if __name__ == "__main__":
    main()
