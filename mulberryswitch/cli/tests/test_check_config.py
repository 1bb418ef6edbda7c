"""Tests of the check of a configuration before it is sent."""

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.cli import main

ROUTE = {
    "name": "cards",
    "host": "198.18.0.1",
    "prefix": "/8443/",
    "type": "safe",
    "timeoutMs": 2264,
    "sloMs": 453,
    "priority": 2,
    "maxAttempts": 2,
    "service": "live",
}
SERVICE = {"name": "live", "maxConns": 2000, "coldStartS": 2.0, "coldPerS": 0.0}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [SERVICE],
    "limits": {"idleTimeoutMs": 15000},
}


def build_config(*routes: dict, **changes) -> dict:
    """Return a configuration whose routes are `ROUTE` with changes; `ROUTE` alone without any."""
    return CONFIG | {"routes": [ROUTE | route for route in routes or ({},)]} | changes


class CheckConfigTest(unittest.TestCase):
    """An entry that cannot work must be found before callers meet it."""

    def run_check(self, content, against=None, *options: str):
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for name, item in (("new", content), ("old", against)):
                path = Path(folder, name)
                data = item if isinstance(item, bytes) else json.dumps(item).encode()
                path.write_bytes(data)
                paths.append(str(path))
            extra = ["--against", paths[1]] if against is not None else []
            arguments = ["front", "check-config", paths[0], *extra, *options]
            return CliRunner().invoke(main, arguments)

    def check(self, content, against=None) -> dict:
        result = self.run_check(content, against, "--output", "json")
        answer = json.loads(result.output)
        self.assertEqual(result.exit_code, 0 if answer["ok"] else 1)
        return answer

    def assert_problem(self, severity: str, reason: str, content: dict) -> None:
        problems = self.check(content)["problems"]
        found = [p for p in problems if p["severity"] == severity and reason in p["reason"]]
        self.assertTrue(found, problems)

    def test_valid_configuration(self):
        self.assertEqual(self.check(CONFIG), {"ok": True, "problems": [], "differences": []})

    def test_errors(self):
        other = {"name": "other"}
        cases = (
            ("one of the two never matches", build_config({}, other)),
            ("the name stands 2 times", build_config({}, {"prefix": "/1/"})),
            ("service gone does not exist", build_config({"service": "gone"})),
            ("no service with a positive weight", build_config({"service": None})),
            (
                "is not a weight",
                build_config({"service": None, "split": [{"service": "live", "weight": -1}]}),
            ),
            ("not positive", build_config({"sloMs": 0})),
            ("may hold 0 connections", build_config(services=[SERVICE | {"maxConns": 0}])),
            ("the name stands 2 times", build_config(services=[SERVICE, SERVICE])),
            ("type is 'odd'", build_config({"type": "odd"})),
            ("is not a port", build_config({"prefix": "/a/"})),
            ("Expected 4 octets", build_config({"host": "x"})),
            ("$.routes[0].sloMs", build_config({"sloMs": "soon"})),
            ("missing required field", {"version": 1}),
        )
        for reason, content in cases:
            with self.subTest(reason):
                self.assert_problem("error", reason, content)

    def test_warnings(self):
        split = [{"service": "live", "weight": 1}, {"service": "next", "weight": 0}]
        services = [SERVICE, SERVICE | {"name": "next"}]
        cases = (
            ("gets no flow", build_config({"service": None, "split": split}, services=services)),
            ("no route leads to it", build_config(services=services)),
            ("beyond its limit", build_config({"sloMs": 3000})),
            ("2 attempts", build_config({"sloMs": 1500})),
            ("may be discarded", build_config(limits={"idleTimeoutMs": 1000})),
            (
                "a rate for cold targets",
                build_config(services=[SERVICE | {"coldPerS": 5, "coldStartS": 0}]),
            ),
        )
        for reason, content in cases:
            with self.subTest(reason):
                self.assert_problem("warning", reason, content)
                self.assertTrue(self.check(content)["ok"])

    def test_differences(self):
        changed = build_config({"timeoutMs": 3000}, {"name": "notes", "prefix": "/1/"}, version=8)
        answer = self.check(changed, CONFIG)
        self.assertEqual(
            answer["differences"],
            [
                {"place": "route cards", "change": "timeout_s: 2.264 -> 3.0"},
                {"place": "route notes", "change": "added"},
            ],
        )
        self.assertTrue(answer["ok"])

    def test_version_that_would_not_replace_the_one_in_force(self):
        answer = self.check(CONFIG, CONFIG)
        self.assertEqual((answer["ok"], answer["problems"][0]["place"]), (False, "version"))

    def test_unreadable_files(self):
        for data in (b"", b"\xff", b"[" * 100_000, b"{" + b" " * 1_100_000 + b"}"):
            with self.subTest(data[:9]):
                answer = self.check(data)
                self.assertFalse(answer["ok"])
                self.assertTrue(answer["problems"][0]["reason"])
        result = CliRunner().invoke(main, ["front", "check-config", "/nonexistent"])
        self.assertEqual(result.exit_code, 1)

    def test_text(self):
        result = self.run_check(build_config({"sloMs": 3000}))
        self.assertIn("warning: route cards: its aim of 3 s", result.output)
        self.assertIn("may be sent", result.output)

    @given(st.binary(max_size=100))
    def test_arbitrary_bytes(self, data):
        self.check(data)


if __name__ == "__main__":
    unittest.main()
