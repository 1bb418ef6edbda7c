"""Validation of a published document."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from mulberryswitch.contracts import ResultCode, Service, Sheet, Target, TargetState

from ._document import (
    IPV4_ADDRESS_PATTERN,
    MAX_DOCUMENT_BYTES,
    DocumentModel,
    ServiceModel,
    check_address,
    compute_digest,
    dump_canonical,
    parse_json,
)
from ._errors import Problem, SheetRefusedError

__all__ = ["CheckedDocument", "build_sheet", "check_document", "check_sheet"]

STATES = {state.value: state for state in TargetState}
# Bounds on what the list of refused sheets repeats; an unknown key may have a megabyte.
MAX_ITEM_CHARS = 128
MAX_MESSAGE_CHARS = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckedDocument:
    """A valid document in canonical form; `rebound` lists its conflicts with the tombstones."""

    model: DocumentModel
    document: bytes
    digest: bytes
    rebound: tuple[Problem, ...]


def _build_problem(code: ResultCode, item: str, message: str) -> Problem:
    return Problem(code=code, item=item[:MAX_ITEM_CHARS], message=message[:MAX_MESSAGE_CHARS])


def _find_duplicates(values: Iterable[str]) -> list[str]:
    return sorted(value for value, count in Counter(values).items() if count > 1)


def _parse_document(document: bytes) -> Any:
    if len(document) > MAX_DOCUMENT_BYTES:
        text = f"{len(document)} bytes, at most {MAX_DOCUMENT_BYTES}"
        raise SheetRefusedError((_build_problem(ResultCode.SHEET_TOO_LARGE, "document", text),))
    try:
        return parse_json(document)
    except ValueError as exc:
        code = ResultCode.SHEET_NOT_JSON
        raise SheetRefusedError((_build_problem(code, "document", str(exc)),)) from exc


def _convert_schema_errors(exc: ValidationError) -> list[Problem]:
    return [
        _build_problem(
            ResultCode.SHEET_SCHEMA, ".".join(map(str, error["loc"])) or "document", error["msg"]
        )
        for error in exc.errors(include_url=False, include_context=False, include_input=False)
    ]


def _drop_invalid_items(value: Any, exc: ValidationError) -> Any:
    """Return `value` without the services and targets named in `exc`, or None.

    The remaining items are checked as well, so that the operator sees every problem at once.
    """
    paths = {error["loc"] for error in exc.errors(include_url=False, include_input=False)}
    if any(len(path) < 2 or path[0] != "services" for path in paths):
        return None
    invalid_targets = {(p[1], p[3]) for p in paths if len(p) > 3 and p[2] == "targets"}
    invalid_services = {p[1] for p in paths if len(p) < 4 or p[2] != "targets"}
    services = [
        {
            **service,
            "targets": [
                t for j, t in enumerate(service["targets"]) if (i, j) not in invalid_targets
            ],
        }
        for i, service in enumerate(value["services"])
        if i not in invalid_services
    ]
    return {**value, "services": services}


def _check_schema(value: Any) -> tuple[DocumentModel | None, list[Problem]]:
    try:
        return DocumentModel.model_validate(value), []
    except ValidationError as exc:
        problems = _convert_schema_errors(exc)
        valid_items = _drop_invalid_items(value, exc)
    return (DocumentModel.model_validate(valid_items) if valid_items else None), problems


def _iterate_duplicates(model: DocumentModel) -> Iterator[Problem]:
    services, targets = model.services, [t for s in model.services for t in s.targets]
    addresses = (address for service in services for address in service.addresses)
    groups = (
        (ResultCode.SHEET_SCHEMA, "zone listed twice", model.zones),
        (ResultCode.DUPLICATE_SERVICE, "service name used twice", (s.name for s in services)),
        (ResultCode.DUPLICATE_ADDRESS, "service address listed twice", addresses),
        (ResultCode.DUPLICATE_TARGET, "target name used twice", (t.name for t in targets)),
        (ResultCode.DUPLICATE_TARGET, "target address used twice", (t.address for t in targets)),
    )
    for code, message, values in groups:
        yield from (_build_problem(code, value, message) for value in _find_duplicates(values))


def _iterate_address_problems(model: DocumentModel) -> Iterator[Problem]:
    items = [(service.name, address) for service in model.services for address in service.addresses]
    items += [(target.name, target.address) for s in model.services for target in s.targets]
    for owner, address in items:
        if IPV4_ADDRESS_PATTERN.fullmatch(address):
            continue
        try:
            check_address(address)
        except ValueError as exc:
            yield _build_problem(ResultCode.BAD_ADDRESS, f"{owner} {address}", str(exc))


def _iterate_zone_problems(model: DocumentModel) -> Iterator[Problem]:
    zones = set(model.zones)
    targets = (target for service in model.services for target in service.targets)
    for target in targets:
        if target.zone not in zones:
            text = f"zone {target.zone} is not in zones"
            yield _build_problem(ResultCode.UNKNOWN_ZONE, target.name, text)


def _iterate_services_without_targets(value: dict[str, Any]) -> Iterator[Problem]:
    for service in value["services"]:
        if isinstance(service, dict) and service.get("targets") == []:
            text = "a service needs at least one target"
            yield _build_problem(
                ResultCode.SERVICE_WITHOUT_TARGETS, str(service.get("name"))[:64], text
            )


def _iterate_rebound_addresses(
    model: DocumentModel, tombstones: Mapping[str, str]
) -> Iterator[Problem]:
    for service in model.services:
        for address in service.addresses:
            bound_service = tombstones.get(address, service.name)
            if bound_service != service.name:
                text = f"bound to {bound_service}, but the sheet assigns it to {service.name}"
                yield _build_problem(ResultCode.ADDRESS_REBOUND, address, text)


def check_document(
    *, document: bytes, tombstones: Mapping[str, str], canonical: bool = False
) -> CheckedDocument:
    """Return a valid document; raise ``SheetRefusedError`` for problems beside rebound addresses.

    `canonical` states that `document` already is a result of `dump_canonical`, which is then not
    called again.
    """
    value = _parse_document(document)
    model, problems = _check_schema(value)
    rebound: tuple[Problem, ...] = ()
    if model is not None:
        problems += _iterate_duplicates(model)
        problems += _iterate_address_problems(model)
        problems += _iterate_zone_problems(model)
        problems += _iterate_services_without_targets(value)
        rebound = tuple(sorted(_iterate_rebound_addresses(model, tombstones)))
    if problems:
        raise SheetRefusedError(tuple(sorted({*problems, *rebound})))
    dumped = document if canonical else dump_canonical(value)
    return CheckedDocument(
        model=model, document=dumped, digest=compute_digest(dumped), rebound=rebound
    )


def _build_service(model: ServiceModel, addresses: tuple[str, ...]) -> Service:
    targets = (
        Target(
            name=target.name,
            service=model.name,
            zone=target.zone,
            address=target.address,
            state=STATES[target.state],
        )
        for target in model.targets
    )
    return Service(
        name=model.name,
        addresses=addresses,
        slots=model.slots,
        connections=model.connections,
        targets=tuple(sorted(targets, key=lambda target: target.name)),
    )


def build_sheet(*, checked: CheckedDocument, version: int, tombstones: Mapping[str, str]) -> Sheet:
    """Return the sheet of a checked document.

    A rebound address stays with the service in `tombstones`; it is omitted if the sheet does not
    list that service.
    """
    models = sorted(checked.model.services, key=lambda model: model.name)
    listed = {model.name: [] for model in models}
    for model in models:
        for address in model.addresses:
            listed.get(tombstones.get(address, model.name), []).append(address)
    services = {m.name: _build_service(m, tuple(sorted(listed[m.name]))) for m in models}
    return Sheet(
        version=version,
        digest=checked.digest,
        zones=tuple(sorted(checked.model.zones)),
        services=services,
        service_by_address={a: name for name, found in listed.items() for a in found},
    )


def check_sheet(*, document: bytes, version: int, tombstones: Mapping[str, str]) -> Sheet:
    """Return the sheet in `document`.

    Parameters
    ----------
    document : bytes
        JSON text as published.
    version : int
        Version that the platform assigned.
    tombstones : mapping of str to str
        Service to which each address is permanently bound.

    Raises
    ------
    SheetRefusedError
        With every problem found.
    """
    checked = check_document(document=document, tombstones=tombstones)
    if checked.rebound:
        raise SheetRefusedError(checked.rebound)
    return build_sheet(checked=checked, version=version, tombstones=tombstones)
