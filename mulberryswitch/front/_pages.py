"""HTTP pages of a VM: readiness, metrics and status."""

import json
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from mulberryswitch.transport import HttpResponse

if TYPE_CHECKING:
    from ._node import Front

__all__ = ["Pages"]

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
        }

    def answer(self, target: str) -> HttpResponse:
        """Return the page of a request target."""
        answer = self._answers.get(urlsplit(target).path)
        if answer is None:
            return HttpResponse(status=404, body=b"{}")
        return answer()

    def _answer_ready(self) -> HttpResponse:
        return HttpResponse(status=200 if self.front.is_ready else 503, body=b"{}")

    def _answer_metrics(self) -> HttpResponse:
        body, _ = self.front.metrics.render(self._read_gauges())
        return HttpResponse(status=200, body=body, content_type=TEXT)

    def _answer_status(self) -> HttpResponse:
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

    def _read_gauges(self) -> dict[str, float]:
        front = self.front
        return {
            "revision": front.directory.revision,
            "routes": len(front.directory.routes),
            "targets": len(front.directory.targets),
            "flows": len(front.forwarder.flows.flows),
        }
