"""HTTP server for operators: status, routing explanations, holds and metrics."""

import json
from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import web

from mulberryswitch.transport import parse_host_port

__all__ = ["OperatorServer"]

MAX_FLOW_HEX_CHARS = 32
MAX_BODY_BYTES = 16 * 1024


def _build_json_response(data: Any, status: int = 200) -> web.Response:
    return web.json_response(data, status=status)


class OperatorServer:
    """HTTP server for operators; it is read-only except for simulated partitions in tests.

    Parameters
    ----------
    listen : str
        ``ip:port``.
    read_status, read_holds : callable
        Return the status and the holds as JSON-serializable data.
    explain : callable
        ``explain(flow, address)`` returns JSON-serializable data.
    render_metrics : callable
        ``render_metrics(accept)`` returns body and headers for the given ``Accept`` header.
    cut : callable or None
        Called with the names of the VMs to drop all traffic with; if None, such requests are
        answered with status 403.
    """

    def __init__(
        self,
        *,
        listen: str,
        read_status: Callable[[], Any],
        read_holds: Callable[[], Any],
        explain: Callable[[bytes, str], Any],
        render_metrics: Callable[[str], tuple[bytes, Mapping[str, str]]],
        cut: Callable[[frozenset[str]], None] | None,
    ):
        self.listen = listen
        self.read_status = read_status
        self.read_holds = read_holds
        self.explain = explain
        self.render_metrics = render_metrics
        self.cut = cut
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start the server."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get("/v1/status", self._get_status),
                web.get("/v1/holds", self._get_holds),
                web.get("/v1/explain", self._get_explanation),
                web.get("/metrics", self._get_metrics),
                web.post("/v1/test/cut", self._post_cut),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, port = parse_host_port(self.listen)
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stop the server."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _get_status(self, req: web.Request) -> web.Response:
        return _build_json_response(self.read_status())

    async def _get_holds(self, req: web.Request) -> web.Response:
        return _build_json_response(self.read_holds())

    async def _get_explanation(self, req: web.Request) -> web.Response:
        text, address = req.query.get("flow", ""), req.query.get("address", "")
        try:
            flow = bytes.fromhex(text)
        except ValueError:
            flow = b""
        if not flow or len(text) > MAX_FLOW_HEX_CHARS or not address:
            return _build_json_response(
                {"error": "expected flow=HEX (1 to 16 bytes) and address=IP:PORT"}, 400
            )
        return _build_json_response(self.explain(flow, address))

    async def _get_metrics(self, req: web.Request) -> web.Response:
        body, headers = self.render_metrics(req.headers.get("Accept", ""))
        return web.Response(body=body, headers=headers)

    async def _post_cut(self, req: web.Request) -> web.Response:
        if self.cut is None:
            return _build_json_response({"error": "[testing] allow_cuts is off"}, 403)
        try:
            vms = json.loads(await req.text())["vms"]
            names = frozenset(str(vm) for vm in vms)
        except (ValueError, KeyError, TypeError):
            return _build_json_response({"error": 'expected {"vms": ["NAME", ...]}'}, 400)
        self.cut(names)
        return _build_json_response({"cut": sorted(names)})
