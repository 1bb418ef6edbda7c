"""Decisions on callers' packets: placement of new flows, tokens of open ones, silent targets."""

from ._explanation import FlowExplanation, TargetView, explain_flow, parse_flow
from ._flows import Flow, FlowTable
from ._forwarder import Forwarder
from ._loads import (
    TargetHealth,
    TargetLoad,
    TargetLoads,
    get_load_period_s,
    subtract_entries,
)
from ._packets import Action, FlowKey, Forward, Packet, Reset, format_flow
from ._placement import Candidate, draw_targets, pick_service, pick_target

__all__ = [
    "Action",
    "Candidate",
    "Flow",
    "FlowExplanation",
    "FlowKey",
    "FlowTable",
    "Forward",
    "Forwarder",
    "Packet",
    "Reset",
    "TargetHealth",
    "TargetLoad",
    "TargetLoads",
    "TargetView",
    "draw_targets",
    "explain_flow",
    "format_flow",
    "get_load_period_s",
    "parse_flow",
    "pick_service",
    "pick_target",
    "subtract_entries",
]
