"""Tests of the commands for VMs of the direct path."""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from mulberryswitch.cli import main
from mulberryswitch.front.tests.builders import (
    CALLER_HOST,
    ROUTE_HOST,
    DatagramRecorder,
    RunningFront,
    build_settings,
    encode_syn,
    start_store,
    wait_until,
)
from mulberryswitch.platform.tests.test_settings import SETTINGS_TEXT

FLOW = "1.1.1.1:1>2.2.2.2:2"
OTHER_FLOW = "1.1.1.1:9>2.2.2.2:2"


def build_line(time: str, message: str, **fields: str) -> str:
    return json.dumps({"time": time, "message": message, "vm": "a", **fields})


LINES = (
    build_line("2", "flow placed", flow=FLOW, target="t1"),
    "prefix " + build_line("1", "target listed", target="t1"),
    build_line("3", "flow placed", flow=OTHER_FLOW, target="t2"),
    "not json",
    '{"broken": ',
)


def run(*args: str):
    return CliRunner().invoke(main, ["front", *args])


class CheckTest(unittest.TestCase):
    """Checks that a settings file that a VM would refuse is reported."""

    def check(self, text: str, *options: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "node.conf")
            path.write_text(text)
            return run("check", str(path), *options)

    def test_a_valid_file(self):
        result = self.check(SETTINGS_TEXT, "--output", "json")
        self.assertEqual(json.loads(result.output)["vm"], "front-1")

    def test_a_problem_is_reported_by_key(self):
        result = self.check(SETTINGS_TEXT.replace("nodeName=", "other="))
        self.assertEqual(result.exit_code, 1)
        self.assertIn("nodeName: missing", result.output)

    def test_a_missing_file(self):
        self.assertEqual(run("check", "/nonexistent").exit_code, 1)


class StoryTest(unittest.TestCase):
    """Checks that ``story`` finds the lines about a flow and its target in logs of several VMs."""

    def run_story(self, caller: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "log")
            path.write_text("\n".join(LINES))
            return run("story", caller, "2.2.2.2:2", str(path))

    def test_lines_of_the_flow_and_its_target_in_order(self):
        result = self.run_story("1.1.1.1:1")
        self.assertEqual(
            [line.split()[2:4] for line in result.output.splitlines()],
            [["target", "listed"], ["flow", "placed"]],
        )

    def test_an_unknown_flow(self):
        self.assertEqual(self.run_story("1.1.1.1:7").exit_code, 1)


class RunningVmTest(unittest.IsolatedAsyncioTestCase):
    """Checks ``status`` and ``explain`` against a running VM."""

    async def test_status_and_explain(self):
        target = await DatagramRecorder().start()
        store = await start_store(target.port)
        settings = build_settings(store.port)
        caller = await DatagramRecorder().start(CALLER_HOST, settings.packet_address.port)
        vm = "{}:{}".format(*settings.metrics_address)
        async with RunningFront(settings) as front:
            await wait_until(lambda: front.is_ready)
            caller.send(encode_syn(), settings.packet_address)
            await wait_until(lambda: target.received)
            status = await asyncio.to_thread(run, "status", vm)
            flow = (f"{CALLER_HOST}:1000", f"{ROUTE_HOST}:443")
            known = await asyncio.to_thread(run, "explain", *flow, "--vm", vm)
            wrong = await asyncio.to_thread(run, "explain", "x", flow[1], "--vm", vm)
            other = await asyncio.to_thread(run, "explain", flow[0], "9.9.9.9:1", "--vm", vm)
        for recorder in (target, caller):
            recorder.stop()
        await store.stop()
        self.assertIn("front-1 (za): ready, version 1", status.output)
        self.assertIn("servers/i-1", known.output)
        self.assertIn("no such route", other.output)
        self.assertEqual(wrong.exit_code, 3)

    async def test_a_vm_that_does_not_answer(self):
        result = await asyncio.to_thread(run, "status", "127.0.0.1:1")
        self.assertEqual(result.exit_code, 3)


if __name__ == "__main__":
    unittest.main()
