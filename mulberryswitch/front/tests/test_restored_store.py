"""Tests of a store that comes back from a copy some seconds old and repeats revisions."""

import unittest

from .builders import FrontTestCase, RunningFront, build_config, wait_until

# Upper bound of the delay of a change, as the platform states it.
CONFIG_TIMEOUT_S = 3.0


class RestoredStoreTest(FrontTestCase):
    """What the operator writes after a restore must be in force, and nothing older."""

    async def publish(self, front, *versions: int) -> None:
        """Publish versions one by one, each of which has a route with its number as port."""
        for version in versions:
            self.store.put("op/config", build_config(version, {443: "feeds", version: "feeds"}))
            await wait_until(
                lambda version=version: front.directory.version == version,
                timeout_s=CONFIG_TIMEOUT_S,
            )

    async def test_version_whose_revision_was_given_out_before_is_in_force(self):
        async with RunningFront(self.settings) as front:
            await wait_until(lambda: front.is_ready)
            await self.publish(front, 4)
            copied_s = self.store.clock()
            await self.publish(front, 8, 11)
            self.store.restore(at_s=copied_s)
            calls = len(self.store.calls)
            await wait_until(lambda: len(self.store.calls) > calls + 1)
            for version in (11, 14):
                self.store.put("op/config", build_config(version))
            await wait_until(lambda: front.directory.version == 14, timeout_s=CONFIG_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
