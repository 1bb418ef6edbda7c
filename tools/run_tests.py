"""Run all unittest tests; leave out exactly those that KNOWN-RED.txt lists and print them."""

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

import hypothesis

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_red() -> frozenset[str]:
    """Return the ids of the tests that KNOWN-RED.txt names in its ``test:`` lines."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip() for line in lines if line.startswith(TEST_PREFIX)
    )


def iterate_cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield every test case of a nested suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_cases(item)
        else:
            yield item


def fix_examples() -> None:
    """Make property tests draw the same examples on every run, however busy the machine is."""
    hypothesis.settings.register_profile(
        "fixed",
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    hypothesis.settings.load_profile("fixed")


def main() -> int:
    """Run the tests and return the exit code."""
    fix_examples()
    # An installed copy of the package must not be tested in place of this checkout.
    sys.path.insert(0, str(ROOT))
    names = sys.argv[1:]
    loader = unittest.TestLoader()
    if names:
        found = loader.loadTestsFromNames(names)
    else:
        found = unittest.TestSuite(
            loader.discover(str(ROOT / package), top_level_dir=str(ROOT))
            for package in ("mulberryswitch", "standins", "soak")
        )
    cases = list(iterate_cases(found))
    known_red = read_known_red()
    unknown = known_red - {case.id() for case in cases}
    if unknown and not names:
        print(f"KNOWN-RED.txt names tests that do not exist: {sorted(unknown)}")
        return 1
    for name in sorted(known_red):
        print(f"known red, not run: {name}")
    suite = unittest.TestSuite(case for case in cases if case.id() not in known_red)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    # Several subtests of one test may fail; the test counts once.
    broken = (test for test, _ in result.failures + result.errors)
    failed = len({getattr(test, "test_case", test).id() for test in broken})
    skipped = len(result.skipped) + len(cases) - suite.countTestCases()
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
