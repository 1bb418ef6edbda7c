"""Tests of sheet validation, the digest, deltas and the store."""

import json
import unittest
from pathlib import Path
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberryswitch.configuration import (
    MAX_DOCUMENT_BYTES,
    MAX_TOMBSTONES,
    Binding,
    ConfigStore,
    DeltaError,
    SheetRefusedError,
    apply_delta,
    build_delta,
    check_sheet,
)
from mulberryswitch.contracts import ResultCode, TargetState

from .builders import build_document, build_service, build_targets

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
BOUND_ADDRESS = {"10.0.97.1:80": "z"}  # the address of service "a", bound to another service


def read_problems(document: bytes, tombstones=None):
    """Return the problems of `document`, none if it is valid."""
    try:
        check_sheet(document=document, version=1, tombstones=tombstones or {})
    except SheetRefusedError as exc:
        return exc.problems
    return ()


def read_codes(document: bytes, tombstones=None) -> list[ResultCode]:
    """Return the codes of all problems of `document`."""
    return [problem.code for problem in read_problems(document, tombstones)]


def replace_targets(*targets) -> bytes:
    return build_document(build_service("a", targets=list(targets)))


class ValidationTest(unittest.TestCase):
    def test_each_code_is_reported(self):
        """Guards against an invalid sheet that is accepted or reported with a misleading code."""
        target = build_targets("a")[0]
        other = build_targets("b")[0]
        cases = [
            (build_document()[:-9], [300]),
            (b"\xff{}", [300]),
            (b"[" * 100_000, [300]),
            (build_document().replace(b'"slots": 3', b'"slots": NaN'), [300]),
            (build_document().replace(b'"slots": 3', b'"slots": 3, "slots": 4'), [300]),
            (build_document() + b" " * MAX_DOCUMENT_BYTES, [301]),
            (b"[]", [302]),
            (build_document(note=""), [302]),
            (build_document(format=2), [302]),
            (build_document(zones=["za", "za"]), [302]),
            (build_document(build_service("a", slots=3.0)), [302]),
            (build_document(build_service("a", slots=True)), [302]),
            (build_document(build_service("a", connections=15)), [302]),
            (build_document(build_service("a\n", "1.2.3.4:5")), [302, 302]),
            (build_document(build_service("a", addresses=[])), [302]),
            (build_document(*[build_service("a")] * 2), [303, 304, 306, 306]),
            (build_document(build_service("a", "1.2.3.4:5", "1.2.3.4:5")), [304]),
            (replace_targets(target, {**other, "name": "a0"}), [306]),
            (replace_targets(target, {**other, "address": target["address"]}), [306]),
            (replace_targets({**target, "zone": "zc"}), [307]),
            (build_document(build_service("a", count=0)), [308]),
            *((build_document(build_service("a", text)), [309]) for text in BAD_ADDRESSES),
        ]
        for document, codes in cases:
            with self.subTest(document=document[:200], codes=codes):
                self.assertEqual(read_codes(document), codes)

    def test_every_invalid_item_is_listed_in_order(self):
        """Guards against reporting one problem at a time, so that each fix needs a publication."""
        targets = build_targets("a", 3)
        targets[0]["state"] = "gone"
        targets[1]["zone"] = "zc"
        document = build_document(
            build_service("b", "host:1", count=0),
            build_service("a", targets=targets),
            build_service("c", slots=0),
        )
        problems = read_problems(document, BOUND_ADDRESS)
        self.assertEqual([int(p.code) for p in problems], [302, 302, 305, 307, 308, 309])
        self.assertEqual(problems[0].item, "services.1.targets.0.state")
        self.assertEqual(problems, read_problems(document, BOUND_ADDRESS))

    def test_rebound_address_is_refused(self):
        """Guards against a service that receives packets meant for the former one."""
        self.assertEqual(read_codes(build_document(), BOUND_ADDRESS), [ResultCode.ADDRESS_REBOUND])
        self.assertEqual(read_codes(build_document(), {"10.0.97.1:80": "a"}), [])

    def test_long_keys_are_truncated_in_problems(self):
        """Guards against refused sheets whose problems take unbounded memory."""
        problem = read_problems(build_document(**{"k" * 100_000: 1}))[0]
        self.assertLessEqual(len(problem.item) + len(problem.message), 512)

    def test_order_has_no_meaning(self):
        """Guards against different digests of the same content."""
        services = [build_service("a", "1.1.1.1:1", "[2001:db8::1]:1", count=3)]
        services.append(build_service("b", count=2))
        reversed_services = [{**s, "targets": s["targets"][::-1]} for s in services[::-1]]
        sheets = [
            check_sheet(document=document, version=1, tombstones={})
            for document in (
                build_document(*services),
                build_document(*reversed_services, zones=["zb", "za"]),
            )
        ]
        self.assertEqual(*sheets)
        self.assertEqual(sheets[0].service_by_address["[2001:db8::1]:1"], "a")
        self.assertIs(sheets[0].services["a"].targets[0].state, TargetState.ACTIVE)

    def test_examples_are_valid(self):
        """Guards against published examples that operators copy and that are refused."""
        for path in sorted(EXAMPLES.glob("*-sheet.json")):
            with self.subTest(path=path.name):
                sheet = check_sheet(document=path.read_bytes(), version=1, tombstones={})
                self.assertEqual({s.connections for s in sheet.services.values()}, {4000})


BAD_ADDRESSES = (
    "", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:080", "1.2.3.4:65536", "1.2.3.4:٣",
    "1.2.3:80", "1.2.3.256:80", "01.2.3.4:80", "host:80", " 1.2.3.4:80", "1.2.3.4:80\n",
    "::1:80", "[1.2.3.4]:80", "[2001:DB8::1]:80", "[::1%eth0]:80",
    "0.0.0.0:80", "[::]:80",
)  # fmt: skip


def build_random_document(rng: Random) -> bytes:
    """Return a random valid document."""
    services = [build_service(n, count=rng.randint(1, 5)) for n in "abcdef" if rng.random() < 0.6]
    for service in services:
        service["slots"] = rng.randint(1, 2)
        service["targets"] = [t for t in service["targets"][1:] if rng.random() < 0.7] + [
            {**service["targets"][0], "state": rng.choice(["active", "leaving"])}
        ]
    return build_document(*services)


class DeltaTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.integers(0, 10_000))
    def test_delta_reproduces_the_digest(self, seed):
        """Guards against a VM whose content differs from that of the sender of a delta."""
        rng = Random(seed)
        old, new = build_random_document(rng), build_random_document(rng)
        rebuilt = apply_delta(old, build_delta(old, new))
        sheets = [check_sheet(document=d, version=2, tombstones={}) for d in (new, rebuilt)]
        self.assertEqual(*sheets)

    def test_delta_holds_only_changes(self):
        """Guards against control traffic that grows with the size of the sheet."""
        many = [build_service(name, count=200) for name in "abc"]
        old = build_document(*many)
        many[0]["targets"][7]["state"] = "leaving"
        self.assertLess(len(build_delta(old, build_document(*many))), 400)

    def test_malformed_delta_raises_delta_error(self):
        """Guards against a malformed peer message that ends the task reading it."""
        valid = json.loads(build_delta(build_document(), build_document(build_service("b"))))
        malformed = [b"", b"[]", b"{}", *(json.dumps({**valid, key: 1}).encode() for key in valid)]
        for delta in malformed:
            with self.subTest(delta=delta), self.assertRaises(DeltaError):
                apply_delta(build_document(), delta)


def offer(store: ConfigStore, document: bytes, version: int, **changes):
    """Offer a document of the platform."""
    values = {"tombstones": {}, "source": "platform", "now_s": float(version), **changes}
    return store.offer(document=document, version=version, **values)


class StoreTest(unittest.TestCase):
    def test_version_never_decreases(self):
        """Guards against a replayed or stale document that reverts the configuration."""
        store = ConfigStore()
        documents = [build_document(build_service("a", count=n)) for n in (1, 2)]
        self.assertTrue(offer(store, documents[0], 5).accepted)
        self.assertTrue(offer(store, documents[1], 4).ignored)
        self.assertTrue(offer(store, documents[0], 5).ignored)
        for version in (0, -1, 2**63):
            self.assertTrue(offer(ConfigStore(), documents[0], version).ignored)
        self.assertEqual((store.version, store.since_s, store.ignored_count), (5, 5.0, 2))

    def test_same_version_resolves_to_the_higher_digest(self):
        """Guards against VMs that stay at different contents of one version."""
        documents = [build_document(build_service("a", count=n)) for n in (1, 2)]
        stores = [ConfigStore(), ConfigStore()]
        for store, order in zip(stores, (documents, documents[::-1]), strict=True):
            for document in order:
                offer(store, document, 1)
        self.assertEqual(stores[0].key, stores[1].key)

    def test_refused_sheet_leaves_the_last_one_in_force(self):
        """Guards against an outage or a missing reason after an invalid publication."""
        store = ConfigStore()
        offer(store, build_document(), 1)
        for _ in range(3):
            offer(store, build_document(x=1), 2)
        self.assertEqual((store.version, len(store.refused)), (1, 1))
        record = store.refused[0]
        self.assertEqual((record.version, record.count, record.problem_count), (2, 3, 1))
        for version in range(3, 100):
            offer(store, build_document(x=version), version)
        self.assertEqual((len(store.refused), store.refused_count), (32, 100))

    def test_binding_outlives_the_service(self):
        """Guards against an address that is reassigned after the removal of its service."""
        store = ConfigStore()
        offer(store, build_document(build_service("a", "1.1.1.1:1")), 1)
        offer(store, build_document(build_service("b")), 2)
        refused = offer(store, build_document(build_service("b", "1.1.1.1:1")), 3)
        self.assertEqual([p.code for p in refused.problems], [ResultCode.ADDRESS_REBOUND])
        informed = offer(ConfigStore(), build_document(), 3, tombstones=BOUND_ADDRESS)
        self.assertEqual([p.code for p in informed.problems], [ResultCode.ADDRESS_REBOUND])

    def test_conflicting_binding_resolves_to_the_oldest_in_any_order(self):
        """Guards against VMs that map one address to two services after a partition."""
        document = build_document(build_service("a", "1.1.1.1:1", "2.2.2.2:2"), build_service("b"))
        older = {"1.1.1.1:1": Binding("b", 3)}
        stores = [ConfigStore(), ConfigStore()]
        offer(stores[0], document, 5)
        stores[0].merge_bindings(bindings=older)
        stores[1].merge_bindings(bindings=older)
        taken = offer(stores[1], document, 5, accepted_by_peer=True)
        self.assertEqual([p.code for p in taken.problems], [ResultCode.ADDRESS_REBOUND])
        self.assertEqual(stores[0].sheet, stores[1].sheet)
        self.assertEqual(stores[0].sheet.service_by_address["1.1.1.1:1"], "b")
        self.assertEqual(stores[0].sheet.services["a"].addresses, ("2.2.2.2:2",))
        self.assertEqual(stores[0].tombstones.digest, stores[1].tombstones.digest)

    def test_tombstones_are_bounded(self):
        """Guards against memory that grows with every address ever published."""
        store = ConfigStore()
        hosts = (f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:1" for i in range(MAX_TOMBSTONES + 9))
        store.merge_bindings(bindings={host: Binding("s", 1) for host in hosts})
        self.assertEqual(len(store.tombstones), MAX_TOMBSTONES)
        refused = offer(store, build_document(), 2)
        self.assertEqual([p.code for p in refused.problems], [ResultCode.SHEET_TOO_LARGE])
        known = build_document(build_service("s", "10.0.0.0:1"))
        self.assertTrue(offer(store, known, 2).accepted)
