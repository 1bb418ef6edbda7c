"""Tests of the fabric stand-in's choice of VMs."""

import random
import unittest
from unittest import mock

from mulberryswitch.contracts import Announce
from standins.fabric import Fabric, Impairment

CALLERS = [("127.0.0.1", 1), ("127.0.0.1", 2)]
VMS = {"vm-1": ("127.0.0.1", 11), "vm-2": ("127.0.0.1", 12)}


class FabricTest(unittest.TestCase):
    """Guards the faults that VMs are tested against: vanished, withdrawn and cut-off VMs."""

    def setUp(self):
        self.fabric = Fabric(
            caller_sock=mock.Mock(),
            vm_sock=mock.Mock(),
            impairment=Impairment(),
            rng=random.Random(1),
            record=mock.Mock(),
            split_vms=frozenset({"vm-1"}),
        )
        for vm, address in VMS.items():
            self.fabric.observe_announce(Announce(vm=vm), address, 10.0)

    def test_vm_is_used_until_its_announcement_is_old_or_withdrawn(self):
        self.assertEqual(self.fabric.live_vms(11.0, CALLERS[0]), list(VMS.values()))
        self.fabric.observe_announce(Announce(vm="vm-1", withdrawn=True), VMS["vm-1"], 11.0)
        self.assertEqual(self.fabric.live_vms(11.0, CALLERS[0]), [VMS["vm-2"]])
        self.assertEqual(self.fabric.live_vms(11.1, CALLERS[0]), [])

    def test_split_gives_each_caller_one_side(self):
        self.fabric.is_split = True
        reached = [self.fabric.live_vms(10.0, caller) for caller in CALLERS]
        self.assertEqual(reached, [[VMS["vm-1"]], [VMS["vm-2"]]])
