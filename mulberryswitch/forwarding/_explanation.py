"""Explanation of one flow's state and placement, for operators."""

from dataclasses import dataclass
from ipaddress import IPv4Address

from mulberryswitch.directory import Target, build_token

from ._forwarder import Forwarder
from ._packets import FlowKey
from ._placement import pick_service

__all__ = ["FlowExplanation", "TargetView", "explain_flow", "parse_flow"]


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetView:
    """Load and health of a target as seen by this VM; times in seconds."""

    key: str
    zone: str
    long_flows: int
    busy: int
    is_ejected: bool
    answered_ago_s: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class FlowExplanation:
    """Route, service and target of a flow; None for what is unknown to this VM.

    `version` and `revision` are those of the current configuration and directory.
    """

    route: str | None
    service: str | None
    version: int
    revision: int
    target: str | None
    token: int | None
    is_opening: bool
    is_busy: bool
    repeats: int
    tried: tuple[str, ...]
    targets: tuple[TargetView, ...]


def parse_flow(caller: str, route: str) -> FlowKey:
    """Return the flow between a caller and a route, each given as ``IP:PORT``.

    Raises
    ------
    ValueError
        If one of them is malformed.
    """
    return (*_parse_address(caller), *_parse_address(route))


def _parse_address(text: str) -> tuple[int, int]:
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and int(port) < 65_536):
        raise ValueError(f"{text!r} is not IP:PORT")
    return int(IPv4Address(host)), int(port)


def explain_flow(*, forwarder: Forwarder, flow: FlowKey, now_s: float) -> FlowExplanation:
    """Return the state of `flow` in `forwarder` and its view of the targets of the service."""
    directory = forwarder.directory
    route = directory.routes.get(flow[2:])
    service = pick_service(route=route, flow=flow) if route else None
    known = forwarder.flows.find(flow)
    target = directory.find_target(known.token) if known else None
    serving = directory.list_serving(service, now_s) if service else []
    return FlowExplanation(
        route=route.name if route else None,
        service=service,
        version=directory.version,
        revision=directory.revision,
        target=target.key if target else None,
        token=known.token if known else None,
        is_opening=known is not None and known.opening is not None,
        is_busy=known is not None and known.busy,
        repeats=known.repeats if known else 0,
        tried=known.tried if known else (),
        targets=tuple(_view_target(forwarder, candidate, now_s) for candidate in serving),
    )


def _view_target(forwarder: Forwarder, target: Target, now_s: float) -> TargetView:
    load = forwarder.loads.get_or_create(build_token(target.identity))
    answered_s = load.health.evidence.answered_s
    return TargetView(
        key=target.key,
        zone=target.zone,
        long_flows=load.long_flows,
        busy=load.busy,
        is_ejected=load.health.is_ejected(now_s),
        answered_ago_s=round(now_s - answered_s, 3) if answered_s > float("-inf") else None,
    )
