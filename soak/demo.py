"""Run the direct path end to end in separate processes: ``python -m soak.demo``.

Six VMs serve long flows and requests while a route is added, a VM is killed, a target drains, the
store comes back from an older copy and a route is removed. The last line of output is a JSON
object; the exit code is 1 if a guarantee was broken.
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import click

from standins._run import exit_on_sigterm

from ._faults import Fault, FaultKind
from ._run import VMS, run_soak

FAULTS = tuple(
    Fault(kind=kind, at_s=at_s, duration_s=0.5, selector=selector)
    for at_s, kind, selector in (
        (1.0, FaultKind.CONFIG_ADD, 0),
        (1.5, FaultKind.VM_KILL, 1),
        (2.0, FaultKind.TARGET_DRAIN, 1),
        (3.0, FaultKind.STORE_RESTORE, 2),
        (5.0, FaultKind.CONFIG_REMOVE, 0),
    )
)


@click.command()
@click.option("--seed", default=1, help="Seed of the load.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Folder to keep settings and logs in."
)
def main(seed: int, keep: Path | None) -> None:
    """Run the direct path for some seconds and print what callers got."""
    # On termination, the VM processes of the run must be stopped too.
    exit_on_sigterm()
    for fault in FAULTS:
        print(f"{fault.at_s:4.1f} s  {fault.kind.value}")
    with tempfile.TemporaryDirectory(prefix="demo-") as name:
        folder = keep or Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        result = asyncio.run(run_soak(seed=seed, faults=FAULTS, folder=folder))
    findings = [f"{finding.guarantee}: {finding.detail}" for finding in result.findings]
    summary = {
        "vms": VMS,
        "asked": result.requests,
        "answered": result.answered,
        "findings": findings[:5],
    }
    print(json.dumps(summary))
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
