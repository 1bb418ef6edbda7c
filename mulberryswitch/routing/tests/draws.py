"""Draws of Hypothesis that depend on the seed alone."""

from hypothesis.internal.conjecture.providers import AVAILABLE_PROVIDERS, HypothesisProvider

__all__ = ["SEED_ONLY"]

SEED_ONLY = "seed-only"
"""Backend whose draws are the same whichever modules are loaded."""


class _SeedOnlyProvider(HypothesisProvider):
    """The default provider, which else also draws constants from the sources of loaded modules."""

    def _maybe_draw_constant(self, choice_type, constraints, *, p=0.05):
        return None


AVAILABLE_PROVIDERS[SEED_ONLY] = _SeedOnlyProvider
