"""Tests of the records of the users' store."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.directory import (
    Directory,
    Evacuation,
    Manifest,
    Position,
    Record,
    Target,
    TrafficKind,
    build_token,
)
from mulberryswitch.platform import decode_record

TARGET = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "tw-north-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemainingMs": 1500,
    "sequence": 4,
    "born": 1774327459111,
}
ROUTE = {
    "name": "r-1",
    "host": "198.18.0.1",
    "prefix": "/8443/",
    "type": "unsafe",
    "service": "huvo11a",
}
CONFIG = {"version": 7, "routes": [ROUTE], "services": [], "limits": {"idleTimeoutMs": 15000}}


def decode(key: str, content) -> Target | Manifest | None:
    value = content if isinstance(content, bytes) else json.dumps(content).encode()
    return decode_record(Record(key=key, revision=5, created_revision=5, value=value))


def decode_target(name: str = "i-267c9b76c2", **changes) -> Target | None:
    return decode(f"servers/{name}", TARGET | changes)


def decode_route(**changes):
    manifest = decode("op/config", CONFIG | {"routes": [ROUTE | changes]})
    return manifest and manifest.routes[0]


class TargetTest(unittest.TestCase):
    """Decoding of targets' entries; invalid ones, also of other programs, must be rejected."""

    def test_valid_target(self):
        target = decode_target()
        self.assertEqual(target.identity.hex(), "000000267c9b76c2")
        self.assertEqual(target.address, ("10.128.0.9", 8080))
        self.assertEqual((target.cold_s, target.slots, target.is_draining), (1.5, 3, False))

    def test_deeply_nested_values_are_invalid(self):
        """An error other than the decoder's own would stop the VM at this record for good."""
        entry = json.dumps(TARGET)[:-1].encode()
        for opening, closing in ((b"[", b"]"), (b'{"a":', b"}")):
            nested = opening * 100_000 + b"1" + closing * 100_000
            with self.subTest(opening):
                self.assertIsNone(decode("servers/i-1", entry + b', "x": ' + nested + b"}"))

    def test_draining_target(self):
        self.assertTrue(decode_target(state="draining").is_draining)

    def test_missing_start_time_is_zero(self):
        entry = {key: value for key, value in TARGET.items() if key != "born"}
        self.assertEqual(decode("servers/i-1", entry).boot_ms, 0)

    def test_invalid_fields_are_rejected(self):
        for changes in (
            {"state": "sleeping"},
            {"slots": "3"},
            {"slots": 0},
            {"address": "nowhere"},
            {"address": "10.0.0.1:0"},
            {"service": None},
            {"address": "[fd00::1]:8080"},
            {"address": "0.0.0.0:8080"},
            {"address": "224.0.0.1:8080"},
            {"service": ""},
            {"zone": ""},
            {"zone": 3},
            {"version": None},
            {"version": 2},
            {"slots": 10**400},
            {"slots": True},
            {"coldRemainingMs": -1},
            {"coldRemainingMs": 1e300},
            {"sequence": "x"},
            {"sequence": -1},
            {"born": 1.5},
            {"born": -(10**400)},
        ):
            with self.subTest(changes), self.assertLogs("platform", "WARNING"):
                self.assertIsNone(decode_target(**changes))

    def test_missing_fields_are_rejected(self):
        for name in TARGET.keys() - {"born"}:
            entry = {key: value for key, value in TARGET.items() if key != name}
            with self.subTest(name), self.assertLogs("platform", "WARNING"):
                self.assertIsNone(decode("servers/i-1", entry))

    def test_keys_without_identity_are_rejected(self):
        for name in ("i-xyz", "i-", "i-0", "i-" + "f" * 17):
            with self.subTest(name), self.assertLogs("platform", "WARNING"):
                self.assertIsNone(decode_target(name))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes(self, value):
        decode("servers/i-1", value)
        decode("op/config", value)

    @given(
        st.dictionaries(
            st.sampled_from(list(TARGET)),
            st.one_of(st.none(), st.integers(), st.text(), st.floats(), st.booleans()),
        )
    )
    def test_arbitrary_fields(self, changes):
        target = decode_target(**changes)
        self.assertTrue(target is None or isinstance(target, Target))


class ForeignRecordTest(unittest.TestCase):
    """Another writer overwrites the entry of a target: it must name no target, others must hold."""

    def setUp(self):
        services = [{"name": "huvo11a"}, {"name": "wuno96b"}]
        config = CONFIG | {"services": services}
        self.directory = Directory(
            decode=decode_record, zones=frozenset({"tw-north-a", "tw-north-b"})
        )
        self.apply(1, "op/config", config)
        self.apply(2, "servers/i-1", TARGET)
        self.apply(3, "servers/i-2", TARGET | {"address": "10.128.0.10:8080"})

    def apply(self, revision: int, key: str, content) -> None:
        value = content if isinstance(content, bytes) else json.dumps(content).encode()
        record = Record(key=key, revision=revision, created_revision=1, value=value)
        self.directory.apply_records(
            records=[record], position=Position(revision=revision), now_s=float(revision)
        )

    def check_only_second_target_is_listed(self):
        self.assertEqual({*self.directory.targets}, {"servers/i-2"})

    def test_unknown_service_or_zone(self):
        for revision, changes in enumerate(({"service": "other"}, {"zone": "elsewhere"}), start=4):
            with self.subTest(changes):
                self.apply(revision, "servers/i-1", TARGET | changes)
                self.check_only_second_target_is_listed()

    def test_last_good_record_serves_open_flows_until_the_target_writes_again(self):
        first = self.directory.targets["servers/i-1"]
        foreign = {key: value for key, value in TARGET.items() if key != "version"}
        self.apply(4, "servers/i-1", foreign | {"service": "wuno96b", "address": "10.9.9.9:1"})
        token = build_token(first.identity)
        departure = self.directory.find_departure(token)
        self.assertEqual(departure.target, first)
        self.assertFalse(departure.is_gone(60.0))
        self.apply(5, "servers/i-1", TARGET | {"sequence": 5})
        self.assertEqual(self.directory.find_target(token), first)

    def test_service_that_a_later_configuration_names(self):
        self.apply(4, "servers/i-3", TARGET | {"service": "later"})
        self.assertNotIn("servers/i-3", self.directory.targets)
        services = [{"name": "huvo11a"}, {"name": "later"}]
        self.apply(5, "op/config", CONFIG | {"version": 8, "services": services})
        self.assertIn("servers/i-3", self.directory.targets)

    @given(
        st.sampled_from(sorted(TARGET.keys() - {"born"})),
        st.one_of(st.none(), st.lists(st.integers(), max_size=2), st.just({}), st.floats(0.1, 0.9)),
        st.booleans(),
    )
    def test_damaged_fields(self, name, value, is_missing):
        """No field may be missing or of another type."""
        damaged = TARGET | {name: value}
        if is_missing:
            del damaged[name]
        elif name == "coldRemainingMs" and isinstance(value, float):
            return
        self.setUp()
        self.apply(4, "servers/i-1", damaged)
        self.check_only_second_target_is_listed()


class ConfigTest(unittest.TestCase):
    """Decoding of the configuration; an invalid one must not replace the routes in force."""

    def test_valid_route(self):
        route = decode_route()
        self.assertEqual(route.key, (0xC6120001, 8443))
        self.assertEqual(route.kind, TrafficKind.NON_IDEMPOTENT)
        self.assertFalse(route.is_retried)

    def test_retries_are_allowed_for_safe_and_download_routes(self):
        self.assertTrue(decode_route(type="safe").is_retried)
        self.assertTrue(decode_route(type="download").is_retried)

    def test_split_omits_zero_weights(self):
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 0}]
        self.assertEqual(decode_route(service=None, split=split).shares, (("a", 90.0),))

    def test_invalid_configuration_is_rejected(self):
        for changes in ({"host": "x"}, {"prefix": "/a/"}, {"type": "odd"}, {"service": None}):
            with self.subTest(changes), self.assertLogs("platform", "WARNING"):
                self.assertIsNone(decode_route(**changes))

    def test_unchanged_routes_are_reused_by_next_version(self):
        """Decoding thousands of unchanged routes anew would delay packets at each change."""
        first = decode_route()
        self.assertIs(decode_route(timeoutMs=9), first)
        self.assertIsNot(decode_route(service="other"), first)

    def test_evacuation_is_named_by_its_key(self):
        """The value says nothing, so a damaged one must not undo the request."""
        for value in (b"{}", b"", b"\xff", {"a": 1}):
            with self.subTest(value):
                self.assertEqual(
                    decode("op/evacuate/tw-north-a", value), Evacuation(zone="tw-north-a")
                )

    def test_other_keys_are_ignored(self):
        self.assertIsNone(decode("my/leader", b"x"))


if __name__ == "__main__":
    unittest.main()
