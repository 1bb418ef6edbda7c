"""Run all unittest tests except those listed in KNOWN-RED.txt, whose ids are printed."""

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

import hypothesis

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_red() -> frozenset[str]:
    """Return the test ids from the ``test:`` lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip() for line in lines if line.startswith(TEST_PREFIX)
    )


def iterate_cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield all test cases of a nested suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_cases(item)
        else:
            yield item


def use_deterministic_examples() -> None:
    """Give property tests the same examples on every run, regardless of the load on the host."""
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
    use_deterministic_examples()
    # Import the packages of this checkout even if another copy of them is installed.
    sys.path.insert(0, str(ROOT))
    test_names = sys.argv[1:]
    loader = unittest.TestLoader()
    if test_names:
        suite = loader.loadTestsFromNames(test_names)
    else:
        suite = unittest.TestSuite(
            loader.discover(str(ROOT / package), top_level_dir=str(ROOT))
            for package in ("mulberryswitch", "standins", "soak")
        )
    cases = list(iterate_cases(suite))
    known_red = read_known_red()
    unknown = known_red - {case.id() for case in cases}
    if unknown and not test_names:
        print(f"KNOWN-RED.txt names tests that do not exist: {sorted(unknown)}")
        return 1
    for name in sorted(known_red):
        print(f"known red, not run: {name}")
    selected = unittest.TestSuite(case for case in cases if case.id() not in known_red)
    result = unittest.TextTestRunner(verbosity=1).run(selected)
    # A test with several failed subtests counts once.
    failing_tests = (test for test, _ in result.failures + result.errors)
    failed = len({getattr(test, "test_case", test).id() for test in failing_tests})
    skipped = len(result.skipped) + len(cases) - selected.countTestCases()
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
