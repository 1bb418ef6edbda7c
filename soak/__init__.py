"""Randomized soak: real VMs as processes, faults from outside, promises checked from outside."""

from ._faults import Fault, FaultKind, draw_faults
from ._judge import Finding, judge
from ._run import SoakResult, run_soak

__all__ = ["Fault", "FaultKind", "Finding", "SoakResult", "draw_faults", "judge", "run_soak"]
