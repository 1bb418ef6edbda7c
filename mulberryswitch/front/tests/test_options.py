"""Tests of the operators' options."""

import contextlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from mulberryswitch.front import FrontSettingsError, parse_options


class OptionsTest(unittest.TestCase):
    """A limit that is misspelled must not silently be another one."""

    def test_limits(self):
        limits = parse_options("[hedging]\nshare = 0.05\n[hedging:archive]\nshare=0\n")
        self.assertEqual((limits.get_share("feeds"), limits.get_share("archive")), (0.05, 0.0))

    def test_nothing_is_hedged_by_default(self):
        self.assertFalse(parse_options("").are_set)

    def test_invalid_options_are_rejected(self):
        for text in (
            "share = 0.05",
            "[hedge]\nshare = 0.05",
            "[hedging]\n",
            "[hedging]\nshares = 0.05",
            "[hedging]\nshare = much",
            "[hedging]\nshare = nan",
            "[hedging]\nshare = -0.1",
            "[hedging]\nshare = 0.3",
            "[hedging]\nshare = 0.1\nother = 1",
            "[hedging]\nshare = 0.1\n[hedging]\nshare = 0.1",
            "[DEFAULT]\nshare = 0.1",
        ):
            with self.subTest(text), self.assertRaises(FrontSettingsError):
                parse_options(text)

    @given(st.text(max_size=200))
    def test_arbitrary_text(self, text):
        with contextlib.suppress(FrontSettingsError):
            parse_options(text)


if __name__ == "__main__":
    unittest.main()
