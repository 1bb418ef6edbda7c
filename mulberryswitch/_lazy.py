"""Public names of a subpackage that are imported at first use.

A VM pays for the memory and the start-up time of each library that it imports; those of the parts
that it does not run stay out.
"""

from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any

__all__ = ["build_lazy_getter"]


def build_lazy_getter(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return the module-level ``__getattr__`` of `package`.

    Parameters
    ----------
    package : str
        ``__name__`` of the subpackage.
    modules : mapping of str to str
        Private module of each public name.
    """

    def get_attribute(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{module}"), name)

    return get_attribute
