"""Operator's configuration as written, for the check before it is sent."""

import msgspec

from mulberryswitch.front import ConfigDocument, FrontSettingsError, RouteEntry, ServiceEntry

from ._records import KINDS, parse_route_key

__all__ = ["MAX_CONFIG_BYTES", "parse_config_document"]

# Largest value of the users' store.
MAX_CONFIG_BYTES = 1_048_576
MS_PER_S = 1_000


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    type: str = "safe"
    timeout_ms: float = float("inf")
    slo_ms: float = float("inf")
    priority: int = 0
    max_attempts: int = 1
    service: str | None = None
    split: list[_Share] = []


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_conns: int = 1
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    idle_timeout_ms: float = 60_000


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


_decode = msgspec.json.Decoder(_Document).decode


def parse_config_document(data: bytes) -> ConfigDocument:
    """Return a configuration with all its entries.

    Raises
    ------
    FrontSettingsError
        If it is too large, is no JSON, or lacks a field or has one of the wrong type; the message
        names the place.
    """
    if len(data) > MAX_CONFIG_BYTES:
        raise FrontSettingsError(
            f"{len(data)} bytes, but the store takes at most {MAX_CONFIG_BYTES}"
        )
    try:
        wire = _decode(data)
    except (ValueError, RecursionError) as exc:
        raise FrontSettingsError(str(exc)) from exc
    return ConfigDocument(
        version=wire.version,
        routes=tuple(_build_route(route) for route in wire.routes),
        services=tuple(
            ServiceEntry(
                name=service.name,
                max_connections=service.max_conns,
                cold_per_s=service.cold_per_s,
                cold_start_s=service.cold_start_s,
            )
            for service in wire.services
        ),
        idle_timeout_s=wire.limits.idle_timeout_ms / MS_PER_S,
    )


def _build_route(wire: _Route) -> RouteEntry:
    place = f"route {wire.name}"
    kind = KINDS.get(wire.type)
    if kind is None:
        raise FrontSettingsError(f"{place}: type is {wire.type!r}, expected one of {[*KINDS]}")
    try:
        parse_route_key(wire.host, wire.prefix)
    except ValueError as exc:
        raise FrontSettingsError(f"{place}: {exc}") from exc
    shares = tuple((share.service, share.weight) for share in wire.split)
    return RouteEntry(
        name=wire.name,
        address=f"{wire.host}:{wire.prefix.strip('/')}",
        kind=kind,
        shares=((wire.service, 1.0),) if wire.service is not None else shares,
        timeout_s=wire.timeout_ms / MS_PER_S,
        goal_s=wire.slo_ms / MS_PER_S,
        attempts=wire.max_attempts,
        priority=wire.priority,
    )
