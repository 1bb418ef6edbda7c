"""Layer-4 load balancing for fleets of small VMs."""

__version__ = "0.1.0"

__all__ = ["__version__"]
