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

__all__ = ["Pages"]

# Stands for "never" in a gauge.
MAX_AGE_S = 86_400.0
TEXT = "text/plain; version=0.0.4; charset=utf-8"


class Pages:
    """Answers to the platform's and the operators' requests.

    Parameters
    ----------
    front : Front
    """

    def __init__(self, *, front: "Front"):
        self.front = front
        self._answers = {
            "/-/ready": self._answer_ready,
            "/metrics": self._answer_metrics,
            "/status": self._answer_status,
            "/explain": self._answer_explain,
        }

    def answer(self, target: str) -> HttpResponse:
        """Return the page of a request target."""
        url = urlsplit(target)
        answer = self._answers.get(url.path)
        if answer is None:
            return HttpResponse(status=404, body=b"{}")
        return answer({name: values[-1] for name, values in parse_qs(url.query).items()})

    def _answer_ready(self, query: Mapping[str, str]) -> HttpResponse:
        return HttpResponse(status=200 if self.front.is_ready else 503, body=b"{}")

    def _answer_metrics(self, query: Mapping[str, str]) -> HttpResponse:
        body, _ = self.front.metrics.render(self._read_gauges())
        return HttpResponse(status=200, body=body, content_type=TEXT)

    def _answer_status(self, query: Mapping[str, str]) -> HttpResponse:
        front = self.front
        status = {
            "vm": front.settings.vm,
            "zone": front.settings.zone,
            "ready": front.is_ready,
            "stopping": front.is_stopping,
            "version": front.directory.version,
            **self._read_gauges(),
        }
        return HttpResponse(status=200, body=json.dumps(status).encode())

    def _answer_explain(self, query: Mapping[str, str]) -> HttpResponse:
        front = self.front
        try:
            flow = parse_flow(query.get("caller", ""), query.get("route", ""))
        except ValueError as exc:
            return HttpResponse(status=400, body=json.dumps({"error": str(exc)}).encode())
        explanation = explain_flow(forwarder=front.forwarder, flow=flow, now_s=front.clock())
        answer = asdict(explanation) | {
            "vm": front.settings.vm,
            "confirmed_age_s": self._read_gauges()["confirmed_age_s"],
        }
        return HttpResponse(status=200, body=json.dumps(answer).encode())

    def _read_gauges(self) -> dict[str, float]:
        front = self.front
        return {
            "revision": front.directory.revision,
            "routes": len(front.directory.routes),
            "targets": len(front.directory.targets),
            "flows": len(front.forwarder.flows.flows),
            "members": len(front.peers.membership.live()),
            "confirmed_age_s": round(min(front.peers.get_confirmed_age_s(), MAX_AGE_S), 3),
        }
