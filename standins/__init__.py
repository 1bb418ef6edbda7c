"""Simulated platform, store, targets, fabric and callers, and end-to-end runs with them."""
