"""Property tests: random fault sequences against a fleet of memberships."""

import unittest
from dataclasses import replace
from itertools import product

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from mulberryswitch.vms.tests.builders import Fleet

COUNT = 5
# Long enough for two consecutive suspicions: a lost acknowledgement may have started one just
# before the faults end.
SETTLE_S = 30.0
# Two probe rounds of 4 members (8 periods), 0.75 s until suspicion, 1.5 s suspicion timeout and
# 1 s for gossip.
DETECTION_S = 8 * 0.5 + 0.75 + 1.5 + 1.0
INDEXES = st.integers(0, COUNT - 1)


class MembershipMachine(RuleBasedStateMachine):
    """Guards against permanent false deaths, diverging views and late detection."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(count=COUNT)
        self.is_undisturbed = True
        self.address_changes = 0

    def settle(self):
        self.fleet.heal()
        self.fleet.run(SETTLE_S)
        self.check_converged()
        self.is_undisturbed = True

    def check_converged(self):
        views = {vm: sorted(self.fleet.live_names(vm)) for vm in self.fleet.running}
        assert self.fleet.is_converged(), views

    @rule(seconds=st.integers(1, 20))
    def advance(self, seconds):
        self.fleet.run(seconds)

    @rule(index=INDEXES)
    def kill(self, index):
        vm = f"vm-{index}"
        if vm in self.fleet.running and len(self.fleet.running) > 2:
            self.fleet.kill(vm)
            self.is_undisturbed = False

    @rule(index=INDEXES, changes_address=st.booleans())
    def restart(self, index, changes_address):
        vm = f"vm-{index}"
        if vm in self.fleet.running:
            return
        # The incarnation is the start time in whole seconds, so a restart has to be a second later.
        self.fleet.run(1.0)
        entry = self.fleet.entries[vm]
        if changes_address:
            self.address_changes += 1
            entry = replace(entry, address=f"10.0.{self.address_changes}.{index}:7")
        node = self.fleet.start(entry)
        node.observe_list(entries=self.fleet.entries.values(), now_s=self.fleet.now_s)
        self.is_undisturbed = False

    @rule(index=INDEXES)
    def pause(self, index):
        vm = f"vm-{index}"
        if vm in self.fleet.running:
            self.fleet.pause(vm)
            self.fleet.run(30.0)
            self.fleet.resume(vm)
            self.is_undisturbed = False

    @rule(one=INDEXES, other=INDEXES)
    def cut_one_way(self, one, other):
        self.fleet.cuts.add((f"vm-{one}", f"vm-{other}"))
        self.is_undisturbed = False

    @rule(side=st.sets(INDEXES, min_size=1, max_size=COUNT - 1))
    def cut_both_ways(self, side):
        near = {f"vm-{index}" for index in side}
        far = {f"vm-{index}" for index in range(COUNT)} - near
        self.fleet.cuts |= {*product(near, far), *product(far, near)}
        self.is_undisturbed = False

    @rule(loss=st.sampled_from((0.0, 0.1, 0.3)), duplicates=st.sampled_from((0.0, 0.5)))
    def disturb_network(self, loss, duplicates):
        self.fleet.loss_rate, self.fleet.duplicate_rate = loss, duplicates
        self.is_undisturbed = False

    @rule(indexes=st.sets(INDEXES))
    def publish_stale_list(self, indexes):
        self.fleet.publish(
            entry for vm, entry in self.fleet.entries.items() if int(vm[3:]) in indexes
        )

    @rule()
    def heal(self):
        self.settle()

    @precondition(lambda self: self.is_undisturbed)
    @rule(index=INDEXES)
    def detect_kill(self, index):
        vm = f"vm-{index}"
        if vm in self.fleet.running and len(self.fleet.running) > 2:
            self.fleet.kill(vm)
            self.fleet.run(DETECTION_S)
            self.check_converged()

    @precondition(lambda self: self.is_undisturbed and len(self.fleet.running) > 2)
    @rule(one=INDEXES, other=INDEXES)
    def tolerate_one_way_cut(self, one, other):
        self.fleet.cuts = {(f"vm-{one}", f"vm-{other}")}
        for _ in range(20):
            self.fleet.run(1.0)
            self.check_converged()
        self.fleet.cuts.clear()

    def teardown(self):
        self.settle()


MembershipMachineTest = MembershipMachine.TestCase
MembershipMachineTest.settings = settings(
    derandomize=True, max_examples=25, stateful_step_count=12, deadline=None, database=None
)

if __name__ == "__main__":
    unittest.main()
