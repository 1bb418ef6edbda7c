"""HTTP pages of a VM: readiness, metrics and status."""

import json
from collections.abc import Mapping
from dataclasses import asdict
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

from mulberryswitch.forwarding import explain_flow, parse_flow
from mulberryswitch.transport import HttpResponse

if TYPE_CHECKING:
    from ._node import Front

__all__ = ["StatusPages"]

# Upper bound of ages in gauges, which cannot represent an infinite age ("never").
MAX_REPORTED_AGE_S = 86_400.0
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class StatusPages:
    """Renders the HTTP pages that the platform and the operators request.

    Parameters
    ----------
    front : Front
    """

    def __init__(self, *, front: "Front"):
        self.front = front
        self._renderers = {
            "/-/ready": self._render_ready,
            "/metrics": self._render_metrics,
            "/status": self._render_status,
            "/explain": self._render_explain,
        }

    def render(self, path: str) -> HttpResponse:
        """Return the response to a GET request for a path with its query."""
        url = urlsplit(path)
        renderer = self._renderers.get(url.path)
        if renderer is None:
            return HttpResponse(status=404, body=b"{}")
        return renderer({name: values[-1] for name, values in parse_qs(url.query).items()})

    def _render_ready(self, query: Mapping[str, str]) -> HttpResponse:
        return HttpResponse(status=200 if self.front.is_ready else 503, body=b"{}")

    def _render_metrics(self, query: Mapping[str, str]) -> HttpResponse:
        body, _ = self.front.metrics.render(self._read_gauges())
        return HttpResponse(status=200, body=body, content_type=METRICS_CONTENT_TYPE)

    def _render_status(self, query: Mapping[str, str]) -> HttpResponse:
        front = self.front
        status = {
            "vm": front.settings.vm,
            "zone": front.settings.zone,
            "ready": front.is_ready,
            "stopping": front.is_stopping,
            "version": front.directory.version,
            "evacuated_zones": [
                {"zone": item.zone, "for_s": round(front.clock() - item.since_s, 1)}
                for item in front.directory.evacuations.list_zones()
            ],
            "pull_failure": front.peers.directory_sync.failure,
            **self._read_gauges(),
        }
        return HttpResponse(status=200, body=json.dumps(status).encode())

    def _render_explain(self, query: Mapping[str, str]) -> HttpResponse:
        front = self.front
        try:
            flow = parse_flow(query.get("caller", ""), query.get("route", ""))
        except ValueError as exc:
            return HttpResponse(status=400, body=json.dumps({"error": str(exc)}).encode())
        explanation = explain_flow(forwarder=front.forwarder, flow=flow, now_s=front.clock())
        content = asdict(explanation) | {
            "vm": front.settings.vm,
            "confirmed_age_s": self._read_gauges()["confirmed_age_s"],
        }
        return HttpResponse(status=200, body=json.dumps(content).encode())

    def _read_gauges(self) -> dict[str, float]:
        front = self.front
        return {
            "epoch": front.directory.epoch,
            "revision": front.directory.revision,
            "routes": len(front.directory.routes),
            "targets": len(front.directory.targets),
            "flows": len(front.forwarder.flows.flows),
            "members": len(front.peers.membership.live()),
            "evacuated_zones_count": len(front.directory.evacuations.zones),
            "flows_in_evacuated_zones": front.forwarder.count_flows_in_evacuated_zones(),
            "pulls_failing_s": round(front.peers.feed.get_failing_s(front.clock()), 3),
            "confirmed_age_s": round(min(front.peers.get_confirmed_age_s(), MAX_REPORTED_AGE_S), 3),
        }
