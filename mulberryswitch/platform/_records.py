"""Records of the users' store: the operator's configuration and the entries of targets."""

import ipaddress
import logging
from functools import lru_cache
from typing import Annotated

import msgspec

from mulberryswitch.directory import (
    ColdLimit,
    Evacuation,
    Manifest,
    Record,
    RecordContent,
    Route,
    RouteKey,
    Target,
    TrafficKind,
)

__all__ = ["KINDS", "MANIFEST_KEY", "TARGET_PREFIX", "decode_record", "parse_route_key"]

MANIFEST_KEY = "op/config"
TARGET_PREFIX = "servers/"
# Followed by a zone. The key alone is the request, so no value can damage it.
EVACUATION_PREFIX = "op/evacuate/"
IDENTITY_BYTES = 8
MAX_PORT = 65_535
# Beyond what any process serves; larger numbers would overflow the choice of a target.
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 3_600_000
MAX_WHOLE_NUMBER = 2**63 - 1
MAX_CACHED_ROUTES = 16_384

log = logging.getLogger("platform")

KINDS = {
    # Requests on an "unsafe" route must not run twice.
    "unsafe": TrafficKind.NON_IDEMPOTENT,
    "safe": TrafficKind.IDEMPOTENT,
    "download": TrafficKind.DOWNLOAD,
}


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel", frozen=True):
    name: str
    # An IPv4 address of the platform, not a host name.
    host: str
    # A port number between slashes, not a path.
    prefix: str
    type: str = "safe"
    priority: int = 0
    service: str | None = None
    split: tuple[_Share, ...] = ()


class _Limits(msgspec.Struct, rename="camel"):
    idle_timeout_ms: float = 60_000


class _Service(msgspec.Struct, rename="camel"):
    name: str
    cold_start_s: float = 0.0
    # 0 for no limit.
    cold_per_s: float = 0.0


class _Manifest(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]


class _Target(msgspec.Struct, rename="camel"):
    """Entry of a target. Each field that targets always write is required, also if it is unused.

    An entry without one of them is of another writer, even if the rest could be used.
    """

    service: _Name
    address: str
    zone: _Name
    # Version of the target's software.
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    # Remaining cold time when the record was written; the target does not update it afterwards.
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]
    # Number of heartbeats of the target.
    sequence: _Count
    # Start time of the process in Unix milliseconds.
    born: _Count = 0


_decode_manifest = msgspec.json.Decoder(_Manifest).decode
_decode_target = msgspec.json.Decoder(_Target).decode


def decode_record(record: Record) -> RecordContent | None:
    """Return the target, configuration or evacuation of a record.

    Returns None for other keys, and, with a warning in the log, for an invalid value.
    """
    try:
        if record.key == MANIFEST_KEY:
            return _build_manifest(_decode_manifest(record.value))
        if record.key.startswith(EVACUATION_PREFIX):
            return Evacuation(zone=record.key.removeprefix(EVACUATION_PREFIX))
        if record.key.startswith(TARGET_PREFIX):
            return _build_target(record.key, _decode_target(record.value))
    except (ValueError, RecursionError) as exc:  # includes msgspec's errors and deep nesting
        log.warning(
            "invalid record ignored",
            extra={"key": record.key, "revision": record.revision, "error": str(exc)},
        )
    return None


def _build_manifest(wire: _Manifest) -> Manifest:
    return Manifest(
        version=wire.version,
        routes=tuple(_build_route(route) for route in wire.routes),
        idle_timeout_s=wire.limits.idle_timeout_ms / 1000,
        services=frozenset(service.name for service in wire.services),
        cold_limits={
            service.name: ColdLimit(per_s=service.cold_per_s, start_s=service.cold_start_s)
            for service in wire.services
            if service.cold_per_s > 0
        },
    )


@lru_cache(maxsize=MAX_CACHED_ROUTES)
def _build_route(wire: _Route) -> Route:
    """Return a route; cached, as a new version changes few of thousands of routes."""
    kind = KINDS.get(wire.type)
    if kind is None:
        raise ValueError(f"route {wire.name}: unknown type {wire.type!r}")
    shares = tuple((share.service, share.weight) for share in wire.split if share.weight > 0)
    if wire.service is not None:
        shares = ((wire.service, 1.0),)
    if not shares:
        raise ValueError(f"route {wire.name}: neither a service nor a split with a positive weight")
    return Route(
        name=wire.name,
        key=parse_route_key(wire.host, wire.prefix),
        kind=kind,
        shares=shares,
        priority=wire.priority,
    )


def parse_route_key(host: str, prefix: str) -> RouteKey:
    """Return address and port of a route; raise ``ValueError`` if one of them is invalid."""
    return int(ipaddress.IPv4Address(host)), _parse_port(prefix.strip("/"))


def _build_target(key: str, wire: _Target) -> Target:
    if wire.state not in ("ready", "draining"):
        raise ValueError(f"unknown state {wire.state!r}")
    return Target(
        key=key,
        identity=_build_identity(key.removeprefix(TARGET_PREFIX)),
        service=wire.service,
        address=_parse_address(wire.address),
        zone=wire.zone,
        slots=wire.slots,
        is_draining=wire.state == "draining",
        cold_s=wire.cold_remaining_ms / 1000,
        boot_ms=wire.born,
    )


def _build_identity(name: str) -> bytes:
    """Return the hexadecimal number in a target's name, such as ``i-7f3a91c2``, as eight bytes."""
    digits = name.rpartition("-")[2]
    value = int(digits, 16)
    if not 0 < value < 256**IDENTITY_BYTES:
        raise ValueError(f"{name!r} has no non-zero identity of at most {IDENTITY_BYTES} bytes")
    return value.to_bytes(IDENTITY_BYTES, "big")


def _parse_address(text: str) -> tuple[str, int]:
    """Return host and port of a process; an address that no process can have is an error."""
    host, _, port = text.rpartition(":")
    address = ipaddress.IPv4Address(host)
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise ValueError(f"{host!r} is not the address of a process")
    return str(address), _parse_port(port)


def _parse_port(text: str) -> int:
    if not (text.isascii() and text.isdigit() and 0 < int(text) <= MAX_PORT):
        raise ValueError(f"{text!r} is not a port")
    return int(text)
