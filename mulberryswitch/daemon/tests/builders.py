"""Builders of sheets, a simulated fleet, requests and flows for the tests of the node core."""

from .fleet import FakeTarget, Fleet

SERVICE_ADDRESSES = {"feeds": "10.0.0.1:443", "scans": "10.0.0.2:443"}
TARGETS = {
    "feeds": {"at-f0": "a", "bt-f1": "b", "at-f2": "a", "bt-f3": "b"},
    "scans": {"at-s0": "a", "bt-s1": "b"},
}
JOINING_TARGET = "bt-f3"
LEAVING_TARGET = "at-f0"


def build_document(*, without=(), leaving=(), addresses=SERVICE_ADDRESSES) -> dict:
    """Return a sheet that lists all fake targets except those named in `without`."""
    ports = {name: 7000 + i for i, name in enumerate(n for t in TARGETS.values() for n in t)}
    return {
        "format": 1,
        "zones": ["a", "b"],
        "services": [
            {
                "name": service,
                "addresses": [addresses[service]],
                "slots": 2,
                "connections": 4000,
                "targets": [
                    {
                        "name": name,
                        "zone": zone,
                        "address": f"127.0.0.1:{ports[name]}",
                        "state": "leaving" if name in leaving else "active",
                    }
                    for name, zone in targets.items()
                    if name not in without
                ],
            }
            for service, targets in TARGETS.items()
        ],
    }


def build_fleet(*, seed: int = 1, settle_s: float = 3.0, **options) -> Fleet:
    """Return a fleet in which version 1 is in force at every VM."""
    fleet = Fleet(seed=seed, **options)
    for service, targets in TARGETS.items():
        for name, zone in targets.items():
            fleet.add_target(FakeTarget(name=name, service=service, zone=zone))
    fleet.publish(build_document(without=(JOINING_TARGET,)))
    fleet.run(settle_s)
    return fleet


def send_request(fleet: Fleet, *, service="feeds", idempotent=False, work_s=0.05):
    """Send one request of `service` through the fabric."""
    return fleet.send_request(
        address=SERVICE_ADDRESSES[service], service=service, idempotent=idempotent, work_s=work_s
    )


def open_flow(fleet: Fleet, *, service="feeds"):
    """Open one long-lived flow of `service`."""
    return fleet.open_flow(address=SERVICE_ADDRESSES[service], service=service)
