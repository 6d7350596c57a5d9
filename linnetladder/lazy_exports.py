"""Re-exports whose modules are imported on first use.

A daemon that restarts after a power failure can't serve requests while it imports, so
packages don't import modules that a program may never use.
"""

import importlib
from collections.abc import Callable, Mapping

__all__ = ["lazy_exports"]


def lazy_exports(
    package: str, exports: Mapping[str, str]
) -> tuple[Callable[[str], object], Callable[[], list[str]]]:
    """Return a package's ``__getattr__`` and ``__dir__``.

    ``exports`` maps each exported name to the package's module that defines it.
    """

    def load_export(name: str) -> object:
        module = exports.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{module}"), name)

    def exported_names() -> list[str]:
        return sorted(exports)

    return load_export, exported_names
