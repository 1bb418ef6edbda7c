"""Lazy import of public names of a subpackage.

Each imported library costs a VM memory and start-up time, so libraries of parts that a VM does not
run must not be imported.
"""

from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any

__all__ = ["build_lazy_getter"]


def build_lazy_getter(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a module-level ``__getattr__`` that imports names of `package` at first use.

    Parameters
    ----------
    package : str
        ``__name__`` of the subpackage.
    modules : mapping of str to str
        Public names, each with the private module that defines it.
    """

    def get_attribute(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{module}"), name)

    return get_attribute
