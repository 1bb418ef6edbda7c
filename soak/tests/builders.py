"""Builders of run records for the tests of the checks."""

from soak._records import Opening, Records, Reset
from soak._wire import FlowId

__all__ = ["build_flow", "build_opening", "build_records", "build_reset"]


def build_flow(port: int = 443, caller_port: int = 1024) -> FlowId:
    return FlowId("127.10.3.1", caller_port, "198.18.0.1", port)


def build_records() -> Records:
    """Return the records of a run with one VM and two routes to the service ``feeds``."""
    records = Records()
    records.vm_starts_s["vm-1"].append(-10.0)
    records.allowed_services[443].add("feeds")
    records.allowed_services[2000].add("feeds")
    return records


def build_opening(at_s: float, *, port: int = 443, **changes) -> Opening:
    fields = {
        "at_s": at_s,
        "sent_s": at_s,
        "flow": build_flow(port),
        "target": "t1",
        "service": "feeds",
        "vm": "vm-1",
    }
    return Opening(**(fields | changes))


def build_reset(at_s: float, *, port: int = 443, **changes) -> Reset:
    fields = {
        "at_s": at_s,
        "flow": build_flow(port),
        "opened_s": at_s,
        "target": "",
        "vm": "vm-1",
    }
    return Reset(**(fields | changes))
