"""Deltas between two documents."""

import json
from typing import Any

from ._document import dump_canonical, dump_json, parse_json, sort_document

__all__ = ["DeltaError", "apply_delta", "build_delta"]

SERVICE_KEYS = ("name", "addresses", "slots", "connections")


class DeltaError(ValueError):
    """A delta that is malformed or cannot be applied to the given document."""


def _index_by_name(items: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    return {item["name"]: item for item in items}


def _build_service_delta(old: dict[str, Any] | None, new: dict[str, Any]) -> dict[str, Any]:
    old_targets = _index_by_name(old["targets"]) if old else {}
    new_targets = _index_by_name(new["targets"])
    return {
        **{key: new[key] for key in SERVICE_KEYS},
        "targets": [t for name, t in new_targets.items() if old_targets.get(name) != t],
        "removed": sorted(old_targets.keys() - new_targets.keys()),
    }


def build_delta(old_document: bytes, new_document: bytes) -> bytes:
    """Return the delta that turns `old_document` into `new_document`, both valid documents.

    A changed service is listed with its changed targets and the names of its removed targets.
    """
    old, new = (sort_document(json.loads(document)) for document in (old_document, new_document))
    old_services, new_services = _index_by_name(old["services"]), _index_by_name(new["services"])
    changed = [
        _build_service_delta(old_services.get(name), service)
        for name, service in new_services.items()
        if old_services.get(name) != service
    ]
    delta = {
        "zones": new["zones"],
        "services": changed,
        "removed": sorted(old_services.keys() - new_services.keys()),
    }
    return dump_json(delta)


def _merge(old: list[dict[str, Any]], new: list[dict[str, Any]], removed: list[str]) -> list:
    removed_names = frozenset(removed)
    kept = {name: item for name, item in _index_by_name(old).items() if name not in removed_names}
    return list({**kept, **_index_by_name(new)}.values())


def _apply_service_delta(old: dict[str, Any] | None, change: dict[str, Any]) -> dict[str, Any]:
    old_targets = old["targets"] if old else []
    targets = _merge(old_targets, change["targets"], change["removed"])
    return {**{key: change[key] for key in SERVICE_KEYS}, "targets": targets}


def apply_delta(old_document: bytes, delta: bytes) -> bytes:
    """Return the new document in canonical form.

    Raises
    ------
    DeltaError
        If the delta is malformed. A delta to another base is not detected here: it yields a
        document with another digest, and the receiver compares digests.
    """
    old = json.loads(old_document)
    try:
        change = parse_json(delta)
        services = _index_by_name(old["services"])
        changed = [_apply_service_delta(services.get(c["name"]), c) for c in change["services"]]
        merged = _merge(old["services"], changed, change["removed"])
        return dump_canonical({**old, "zones": change["zones"], "services": merged})
    except (ValueError, LookupError, TypeError, AttributeError, RecursionError) as exc:
        raise DeltaError(f"malformed delta: {type(exc).__name__}") from exc
