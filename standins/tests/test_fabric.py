"""Tests of the choice of VMs in the simulated fabric."""

import random
import unittest
from unittest import mock

from mulberryswitch.contracts import Announce
from standins.fabric import Fabric, Impairment

CALLERS = [("127.0.0.1", 1), ("127.0.0.1", 2)]
VMS = {"vm-1": ("127.0.0.1", 11), "vm-2": ("127.0.0.1", 12)}


class FabricTest(unittest.TestCase):
    """Packets must not reach silent, withdrawn or partitioned VMs, else no run tests failover."""

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

    def test_vm_is_used_until_its_announcement_expires_or_is_withdrawn(self):
        self.assertEqual(self.fabric.list_live_vms(11.0, CALLERS[0]), list(VMS.values()))
        self.fabric.observe_announce(Announce(vm="vm-1", withdrawn=True), VMS["vm-1"], 11.0)
        self.assertEqual(self.fabric.list_live_vms(11.0, CALLERS[0]), [VMS["vm-2"]])
        self.assertEqual(self.fabric.list_live_vms(11.1, CALLERS[0]), [])

    def test_partition_limits_each_caller_to_one_side(self):
        self.fabric.is_partitioned = True
        reached = [self.fabric.list_live_vms(10.0, caller) for caller in CALLERS]
        self.assertEqual(reached, [[VMS["vm-1"]], [VMS["vm-2"]]])
