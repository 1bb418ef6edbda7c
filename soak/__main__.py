"""Command line of the soak test: ``python -m soak``."""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

import click

from standins._run import exit_on_sigterm

from ._faults import generate_faults
from ._run import VMS, run_soak

REGRESSION_SEEDS = Path(__file__).parent / "cases.txt"


def _parse_seeds(text: str) -> list[int]:
    """Parse a list of seeds and ranges such as ``1-50,77``."""
    spans = (part.partition("-") for part in text.split(","))
    return [n for first, _, last in spans for n in range(int(first), int(last or first) + 1)]


def read_regression_seeds() -> list[int]:
    """Return the seeds of past failures from ``cases.txt``."""
    lines = REGRESSION_SEEDS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


@click.command()
@click.option("--seeds", default="", help="Such as 1-50,77; default: the seeds in cases.txt.")
@click.option("--fresh", default=0, help="Number of additional new seeds.")
@click.option("--length", "length_s", default=12.0, help="Duration of the fault phase in seconds.")
@click.option("--vms", default=VMS, help="Number of VM processes.")
@click.option("--jobs", default=1, help="Number of seeds to run in parallel.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Folder to keep settings and logs in."
)
def main(seeds, fresh, length_s, vms, jobs, keep) -> None:
    """Run seeds and print one JSON line for each; exit with 1 if any run has findings."""
    # On termination, the VM processes of a run must be stopped too.
    exit_on_sigterm()
    chosen_seeds = _parse_seeds(seeds) if seeds else read_regression_seeds()
    now = int(time.time())
    chosen_seeds += [now * 100 + n for n in range(fresh)]
    sys.exit(asyncio.run(_run_all(chosen_seeds, length_s, vms, jobs, keep)))


async def _run_all(chosen_seeds: list[int], length_s: float, vms: int, jobs: int, keep) -> int:
    semaphore = asyncio.Semaphore(jobs)

    async def run_one(seed: int) -> int:
        async with semaphore:
            return await _run_one(seed, length_s, vms, keep)

    failed = sum(await asyncio.gather(*map(run_one, chosen_seeds)))
    print(f"{len(chosen_seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


async def _run_one(seed: int, length_s: float, vms: int, keep: Path | None) -> int:
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        folder = keep / str(seed) if keep else Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        faults = generate_faults(seed=seed, length_s=length_s)
        result = await run_soak(seed=seed, faults=faults, folder=folder, vms=vms)
    line = {
        "seed": seed,
        "faults": len(result.faults),
        "asked": result.requests,
        "answered": result.answered,
        "findings": [f"{finding.guarantee}: {finding.detail}" for finding in result.findings[:5]],
    }
    print(json.dumps(line), flush=True)
    return bool(result.findings)


if __name__ == "__main__":
    main()
