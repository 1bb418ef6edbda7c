"""Stand-ins for platform, targets, fabric and callers, and the demo of the whole path."""
