"""Tests of ownership that at most one VM claims at a time."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from mulberryswitch.contracts import MemberState
from mulberryswitch.vms import Member, OwnershipClaims
from mulberryswitch.vms._claims import CLAIM_DELAY_S, READY_DELAY_S

TICK_S = 0.5
# Within this time a view follows a death, a cut or a start; the claims allow for more.
MAX_VIEW_DELAY_S = 4.0
NAMES = tuple(f"vm-{n}" for n in range(6))
KEYS = tuple(f"t{n}" for n in range(4))


def build_member(name: str, zone: str = "za") -> Member:
    return Member(vm=name, zone=zone, address="10.0.0.1:7", incarnation=1, state=MemberState.ALIVE)


class Fleet:
    """VMs of one zone whose views follow the truth with random delays.

    A VM is in a group; only VMs of one group reach each other. Group None means stopped.
    """

    def __init__(self, *, seed: int):
        self.rng = Random(seed)
        self.now_s = 0.0
        self.groups: dict[str, int | None] = dict.fromkeys(NAMES, 0)
        self.frozen: set[str] = set()
        self.claims = {name: OwnershipClaims(vm=name, zone="za") for name in NAMES}
        # What each VM believes of each other one, and when it will see the truth.
        self.views = {name: dict.fromkeys(NAMES, True) for name in NAMES}
        self.due_s: dict[tuple[str, str], float] = {}

    def change(self, name: str, group: int | None) -> None:
        if self.groups[name] is None and group is not None:
            self.claims[name] = OwnershipClaims(vm=name, zone="za")
            self.views[name] = {other: other == name for other in NAMES}
        self.groups[name] = group

    def step(self) -> None:
        self.now_s += TICK_S
        for vm, other in ((v, o) for v in NAMES for o in NAMES if v != o):
            truth = self.groups[vm] is not None and self.groups[vm] == self.groups[other]
            if self.views[vm][other] == truth:
                self.due_s.pop((vm, other), None)
                continue
            delay_s = self.rng.uniform(0.0, MAX_VIEW_DELAY_S - TICK_S)
            if self.now_s >= self.due_s.setdefault((vm, other), self.now_s + delay_s):
                self.views[vm][other] = truth
        for vm in NAMES:
            if self.groups[vm] is not None and vm not in self.frozen:
                live = [build_member(other) for other, is_live in self.views[vm].items() if is_live]
                self.claims[vm].observe_members(live, self.now_s)

    def list_owners(self, key: str) -> list[str]:
        return [
            vm
            for vm in NAMES
            if self.groups[vm] is not None
            and vm not in self.frozen
            and self.claims[vm].is_owner(key, self.now_s)
        ]

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.step()


class ClaimTest(unittest.TestCase):
    """Two owners of a target that starts would pass its limit together."""

    def setUp(self):
        self.fleet = Fleet(seed=1)
        self.fleet.run(2 * READY_DELAY_S)

    def test_each_key_has_one_owner_with_all_well(self):
        self.assertEqual([len(self.fleet.list_owners(key)) for key in KEYS], [1] * len(KEYS))

    def test_all_vms_take_part(self):
        owners = {owner for n in range(100) for owner in self.fleet.list_owners(f"x{n}")}
        self.assertEqual(owners, {*NAMES})

    def test_next_owner_follows_after_a_death(self):
        (owner,) = self.fleet.list_owners("t0")
        self.fleet.change(owner, None)
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.list_owners("t0"), [])
        self.fleet.run(2 * CLAIM_DELAY_S)
        (successor,) = self.fleet.list_owners("t0")
        self.assertNotEqual(successor, owner)

    def test_vm_that_is_cut_off_owns_nothing(self):
        for name in NAMES[:2]:
            self.fleet.change(name, 1 + NAMES.index(name))
        self.fleet.run(60.0)
        for key in KEYS:
            (owner,) = self.fleet.list_owners(key)
            self.assertNotIn(owner, NAMES[:2])

    def test_half_of_a_zone_owns_nothing(self):
        for name in NAMES[:3]:
            self.fleet.change(name, 1)
        self.fleet.run(30.0)
        self.assertEqual([self.fleet.list_owners(key) for key in KEYS], [[]] * len(KEYS))

    def test_vm_that_stood_still_waits(self):
        (owner,) = self.fleet.list_owners("t0")
        self.fleet.frozen.add(owner)
        self.fleet.run(3.0)
        self.fleet.frozen.clear()
        self.fleet.run(1.0)
        self.assertFalse(self.fleet.claims[owner].is_owner("t0", self.fleet.now_s))

    def test_members_of_other_zones_do_not_count(self):
        claims = OwnershipClaims(vm="vm-0", zone="za")
        near = [build_member(f"vm-{n}") for n in range(3)]
        far = [build_member(f"far-{n}", "zb") for n in range(9)]
        for number in range(20):
            claims.observe_members([*near, *far], 0.5 * number)
        self.assertTrue(any(claims.is_owner(f"t{n}", 9.5) for n in range(9)))

    def test_vm_that_knows_no_other_owns_nothing(self):
        claims = OwnershipClaims(vm="vm-0", zone="za")
        for number in range(100):
            claims.observe_members([build_member("vm-0")], 0.5 * number)
        self.assertFalse(claims.is_owner("t0", 49.5))

    @settings(max_examples=60)
    @given(
        st.integers(0, 2**16),
        st.lists(
            st.tuples(
                st.sampled_from(NAMES),
                st.sampled_from(("stop", "start", "cut", "heal", "freeze", "wake")),
                st.integers(0, 2),
                st.floats(0.0, 6.0),
            ),
            max_size=12,
        ),
    )
    def test_never_two_owners(self, seed, events):
        """Any mix of deaths, starts, cuts and pauses, with views that lag by up to 4 s."""
        fleet = Fleet(seed=seed)
        fleet.run(2 * READY_DELAY_S)
        for name, what, group, wait_s in events:
            if what in ("freeze", "wake"):
                (fleet.frozen.add if what == "freeze" else fleet.frozen.discard)(name)
            elif what == "stop":
                fleet.change(name, None)
            elif what == "start" or fleet.groups[name] is not None:
                fleet.change(name, group if what == "cut" else 0)
            for _ in range(round(wait_s / TICK_S)):
                fleet.step()
                for key in KEYS:
                    self.assertLessEqual(len(fleet.list_owners(key)), 1, (fleet.now_s, key))


if __name__ == "__main__":
    unittest.main()
