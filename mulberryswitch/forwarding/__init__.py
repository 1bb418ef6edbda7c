"""Forwarding of callers' packets: placement of new flows, token routing, and target health."""

from ._cold_targets import NO_COLD_EXCESS, ColdBounds, ColdGate
from ._evidence import Witness
from ._explanation import FlowExplanation, TargetView, explain_flow, parse_flow
from ._flows import Flow, FlowTable
from ._forwarder import Forwarder
from ._hedging import NO_HEDGES, HedgeLimits, Hedging
from ._loads import (
    TargetHealth,
    TargetLoad,
    TargetLoads,
    get_load_period_s,
    subtract_entries,
)
from ._packets import Action, FlowKey, Forward, Packet, Reset, format_flow
from ._placement import Candidate, pick_service, pick_target, sample_targets

__all__ = [
    "NO_COLD_EXCESS",
    "NO_HEDGES",
    "Action",
    "Candidate",
    "ColdBounds",
    "ColdGate",
    "Flow",
    "FlowExplanation",
    "FlowKey",
    "FlowTable",
    "Forward",
    "Forwarder",
    "HedgeLimits",
    "Hedging",
    "Packet",
    "Reset",
    "TargetHealth",
    "TargetLoad",
    "TargetLoads",
    "TargetView",
    "Witness",
    "explain_flow",
    "format_flow",
    "get_load_period_s",
    "parse_flow",
    "pick_service",
    "pick_target",
    "sample_targets",
    "subtract_entries",
]
