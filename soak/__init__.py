"""Randomized soak test: VM processes under injected faults, checked by external observation."""

from ._faults import Fault, FaultKind, generate_faults
from ._judge import Finding, collect_findings
from ._run import SoakResult, run_soak

__all__ = [
    "Fault",
    "FaultKind",
    "Finding",
    "SoakResult",
    "collect_findings",
    "generate_faults",
    "run_soak",
]
