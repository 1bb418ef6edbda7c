"""Configuration that a replica has in force; its version never decreases."""

import logging
from collections.abc import Mapping

from ._records import ColdLimit, Manifest, Record, Route, RouteKey

__all__ = ["ConfigInForce"]

log = logging.getLogger("directory")


class ConfigInForce:
    """Content of the newest configuration that was received.

    Attributes
    ----------
    key : str or None
        Key of its record; None before the first configuration.
    version : int
        0 before the first configuration.
    removed_routes : set of tuple
        Keys of the routes that an earlier version had.
    """

    def __init__(self) -> None:
        self.key: str | None = None
        self.version = 0
        self.idle_timeout_s = 60.0
        self.routes: dict[RouteKey, Route] = {}
        self.removed_routes: set[RouteKey] = set()
        self.services: frozenset[str] = frozenset()
        self.cold_limits: Mapping[str, ColdLimit] = {}

    def apply_manifest(self, manifest: Manifest, record: Record) -> bool:
        """Put a configuration in force, unless a newer version is; return whether it was.

        A restored store may hold an older version at a later position.
        """
        position = {"epoch": record.epoch, "revision": record.revision}
        if manifest.version < self.version:
            log.warning(
                "older configuration ignored",
                extra={"version": manifest.version, "version_in_force": self.version, **position},
            )
            return False
        routes = {route.key: route for route in manifest.routes}
        log.info(
            "configuration in force",
            extra={
                "version": manifest.version,
                "former_version": self.version,
                "routes": len(routes),
                **position,
            },
        )
        self.removed_routes |= self.routes.keys()
        self.removed_routes -= routes.keys()
        self.key = record.key
        self.version = manifest.version
        self.idle_timeout_s = manifest.idle_timeout_s
        self.routes = routes
        self.services = manifest.services
        self.cold_limits = manifest.cold_limits
        return True
