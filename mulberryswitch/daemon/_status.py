"""Status documents and gauges of a VM for operators."""

from typing import Any

from mulberryswitch.contracts import Target
from mulberryswitch.routing import shard_of

from ._core import NodeCore

__all__ = ["build_explanation", "build_gauges", "build_holds", "build_status"]


def build_status(core: NodeCore, now_s: float) -> dict[str, Any]:
    """Return the configuration in force, refused versions, members, targets and queues of a VM."""
    store, sheet = core.store, core.view.sheet
    pinned = core.flows.count_flows_by_target()
    return {
        "vm": core.view.vm,
        "zone": core.view.zone,
        "leaving": core.is_leaving,
        "version": store.version,
        "digest": store.digest.hex(),
        "since_s": store.since_s,
        "now_s": now_s,
        "refused": [_describe_refusal(refused) for refused in store.refused],
        "members": [
            {
                "vm": member.vm,
                "zone": member.zone,
                "address": member.address,
                "state": member.state.name.lower(),
            }
            for member in core.membership.members.values()
        ],
        "targets": [
            _describe_target(core, target, pinned.get(target.name, 0))
            for service in (sheet.services.values() if sheet else ())
            for target in service.targets
        ],
        "queues": {
            name: {"held": len(dispatcher.list_open_requests()), "idle": dispatcher.is_idle}
            for name, dispatcher in core.requests.dispatchers.items()
        },
        "pending": len(core.requests.pending),
    }


def _describe_refusal(refused: Any) -> dict[str, Any]:
    return {
        "version": refused.version,
        "source": refused.source,
        "last_s": refused.last_s,
        "problem_count": refused.problem_count,
        "problems": [
            {"code": int(problem.code), "item": problem.item, "message": problem.message}
            for problem in refused.problems
        ],
    }


def _describe_target(core: NodeCore, target: Target, flows: int) -> dict[str, Any]:
    return {
        "target": target.name,
        "service": target.service,
        "zone": target.zone,
        "state": target.state.value,
        "linked": core.sessions.is_up(target.name),
        "flows": flows,
    }


def build_explanation(core: NodeCore, *, flow: bytes, address: str) -> dict[str, Any]:
    """Return the service, shard, owner and target of a flow in the view of this VM."""
    sheet = core.view.sheet
    service = sheet.service_by_address.get(address) if sheet else None
    if service is None:
        return {"address": address, "service": None, "reason": "address is not in force"}
    number = shard_of(flow)
    shard = core.shards.get_shard(service, number)
    served_here = core.shards.serves(service, number)
    return {
        "address": address,
        "service": service,
        "shard": number,
        "owner": core.view.vm if served_here else core.shards.find_server(service, number),
        "served_here": served_here,
        "pinned_target": shard.get_pinned_target(flow=flow) if shard and served_here else "",
        "known_targets": [target.name for target in sheet.services[service].targets],
    }


def build_holds(core: NodeCore) -> dict[str, Any]:
    """Return the flows and requests that a leaving VM or target has to wait for."""
    return {
        "vm": core.view.vm,
        "leaving": core.is_leaving,
        "pending": len(core.requests.pending),
        "flows": core.flows.count_flows_by_target(),
        "requests": [
            {
                "service": name,
                "flow": request.flow.hex(),
                "request_id": request.request_id,
                "state": str(request.state),
                "target": request.target,
            }
            for name, dispatcher in core.requests.dispatchers.items()
            for request in dispatcher.list_open_requests()
        ],
    }


def build_gauges(core: NodeCore, now_s: float) -> dict[str, float]:
    """Return the current gauges for a metrics scrape."""
    shards = core.shards.counters()
    flows = core.flows.count_flows_by_target().values()
    open_requests = [
        request
        for dispatcher in core.requests.dispatchers.values()
        for request in dispatcher.list_open_requests()
    ]
    mean = sum(flows) / len(flows) if flows else 0.0
    return {
        "config_version": core.store.version,
        "config_age_seconds": now_s - core.store.since_s if core.store.since_s else 0.0,
        "config_refused": core.store.refused_count,
        "members_live": len(core.view.members),
        "flows_open": shards.flows_open,
        "flow_exceptions": shards.exceptions,
        "flow_replication_bytes": shards.replicated_bytes,
        "flow_shards_owned": shards.shards_owned,
        "flow_imbalance": max(flows) / mean if mean else 0.0,
        "requests_pending": len(core.requests.pending),
        "requests_queued": sum(request.state == "queued" for request in open_requests),
        "requests_running": sum(request.state == "running" for request in open_requests),
        "slots_free": sum(
            dispatcher.slots.count_free_slots(now_s)
            for dispatcher in core.requests.dispatchers.values()
        ),
    }
