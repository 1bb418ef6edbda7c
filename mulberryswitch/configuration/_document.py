"""Pydantic model and canonical form of the published document."""

import hashlib
import ipaddress
import json
import re
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

__all__ = [
    "IPV4_ADDRESS_PATTERN",
    "MAX_DOCUMENT_BYTES",
    "DocumentModel",
    "ServiceModel",
    "TargetModel",
    "check_address",
    "check_name",
    "compute_digest",
    "dump_canonical",
    "dump_json",
    "parse_json",
    "sort_document",
]

MAX_DOCUMENT_BYTES = 1024 * 1024  # largest value of the platform
DIGEST_BYTES = 16
MAX_SLOTS = 1024
# A flow shard places at most floor(connections / 16) flows on a target: none if less than 16.
MIN_CONNECTIONS = 16
MAX_PORT = 65535
MAX_CONNECTIONS = 1_000_000

# Canonical form of an IPv4 address with a port. Checking the 14,000 addresses of a sheet of 10,000
# targets with `ipaddress` took 0.2 s of CPU time.
IPV4_ADDRESS_PATTERN = re.compile(
    r"(?!0)(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!:)|(?=:))){4}"
    r":(?:6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})",
    re.ASCII,
)
NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
Name = Annotated[str, Field(pattern=rf"^{NAME_PATTERN}$")]
# Form and range are checked by `check_address`, whose errors have their own result code.
Address = Annotated[str, Field(max_length=64)]


class _StrictModel(BaseModel):
    model_config = ConfigDict(strict=True, extra="forbid")


class TargetModel(_StrictModel):
    """One target in the document."""

    name: Name
    zone: Name
    address: Address
    state: Literal["active", "joining", "leaving"]


class ServiceModel(_StrictModel):
    """One service with its addresses, limits and targets."""

    name: Name
    addresses: Annotated[list[Address], Field(min_length=1)]
    slots: Annotated[int, Field(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, Field(ge=MIN_CONNECTIONS, le=MAX_CONNECTIONS)]
    targets: list[TargetModel]


class DocumentModel(_StrictModel):
    """Root of the document."""

    format: Literal[1]
    zones: Annotated[list[Name], Field(min_length=1)]
    services: list[ServiceModel]


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        keys = [key for key, _ in pairs]
        duplicates = sorted({key for key in keys if keys.count(key) > 1})
        raise ValueError(f"duplicate keys {', '.join(duplicates)}")
    return value


def _reject_constant(text: str) -> Any:
    raise ValueError(f"{text} is not a JSON value")


def parse_json(data: bytes) -> Any:
    """Return the JSON value in `data`; raise ``ValueError`` for anything else.

    Duplicate keys are refused, because otherwise the last one would silently win.
    """
    try:
        return json.loads(
            data.decode("utf-8"),
            object_pairs_hook=_build_object,
            parse_constant=_reject_constant,
        )
    except RecursionError as exc:
        raise ValueError("nested too deeply") from exc


def check_name(text: str) -> str:
    """Return `text` if it is a valid name, else raise ``ValueError``."""
    if not re.fullmatch(NAME_PATTERN, text):
        raise ValueError("expected 1 to 63 letters, digits, dots, hyphens and underscores")
    return text


def _check_host(host: str) -> None:
    bracketed = host.startswith("[") and host.endswith("]")
    address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    if "%" in host or address.is_unspecified:
        raise ValueError("expected the IP address of one host, without a scope id")
    if bracketed != (address.version == 6):
        raise ValueError("IPv6 addresses must be in brackets, IPv4 addresses must not")
    canonical = f"[{address}]" if bracketed else str(address)
    if canonical != host:
        raise ValueError(f"the canonical form of the IP address is {canonical}")


def check_address(text: str) -> str:
    """Return `text` if it is ``ip:port`` in canonical form, else raise ``ValueError``.

    With one spelling per address, look-ups by text are exact.
    """
    if IPV4_ADDRESS_PATTERN.fullmatch(text):
        return text
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= 5):
        raise ValueError("expected ip:port with a decimal port")
    if int(port) > MAX_PORT or port.startswith("0"):
        raise ValueError(f"port must be from 1 to {MAX_PORT} without leading zeros")
    _check_host(host)
    return text


def _sort_service(service: dict[str, Any]) -> dict[str, Any]:
    targets = sorted(service["targets"], key=lambda target: target["name"])
    return {**service, "addresses": sorted(service["addresses"]), "targets": targets}


def sort_document(value: dict[str, Any]) -> dict[str, Any]:
    """Return a document with sorted zones, services, targets and addresses.

    Order and whitespace have no meaning in a sheet, so documents that differ only in them have the
    same canonical form and the same digest.
    """
    services = sorted(map(_sort_service, value["services"]), key=lambda item: item["name"])
    return {**value, "zones": sorted(value["zones"]), "services": services}


def dump_json(value: dict[str, Any]) -> bytes:
    """Return `value` as compact JSON with sorted keys."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def dump_canonical(value: dict[str, Any]) -> bytes:
    """Return the canonical form of a document."""
    return dump_json(sort_document(value))


def compute_digest(canonical: bytes) -> bytes:
    """Return the digest of a canonical document."""
    return hashlib.blake2b(canonical, digest_size=DIGEST_BYTES).digest()
