"""Pydantic model and canonical form of the published document."""

import hashlib
import ipaddress
import json
import re
from functools import lru_cache
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "DocumentModel",
    "ServiceModel",
    "TargetModel",
    "check_address",
    "check_name",
    "compute_digest",
    "dump_canonical",
    "parse_json",
]

MAX_DOCUMENT_BYTES = 1024 * 1024  # largest value of the platform
DIGEST_BYTES = 16
MAX_SLOTS = 1024
# A flow shard places at most floor(connections / 16) flows on a target; less than 16 means none.
MIN_CONNECTIONS = 16
MAX_CONNECTIONS = 1_000_000

NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
Name = Annotated[str, Field(pattern=rf"^{NAME_PATTERN}$")]
# Form and range are checked by `check_address`, which has its own result code.
Address = Annotated[str, Field(max_length=64)]


class _Strict(BaseModel):
    model_config = ConfigDict(strict=True, extra="forbid")


class TargetModel(_Strict):
    """One target of a service."""

    name: Name
    zone: Name
    address: Address
    state: Literal["active", "joining", "leaving"]


class ServiceModel(_Strict):
    """One service."""

    name: Name
    addresses: Annotated[list[Address], Field(min_length=1)]
    slots: Annotated[int, Field(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, Field(ge=MIN_CONNECTIONS, le=MAX_CONNECTIONS)]
    targets: list[TargetModel]


class DocumentModel(_Strict):
    """The whole document."""

    format: Literal[1]
    zones: Annotated[list[Name], Field(min_length=1)]
    services: list[ServiceModel]


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    built = dict(pairs)
    if len(built) != len(pairs):
        keys = [key for key, _ in pairs]
        repeated = sorted({key for key in keys if keys.count(key) > 1})
        raise ValueError(f"repeated keys {', '.join(repeated)}")
    return built


def _refuse_constant(text: str) -> Any:
    raise ValueError(f"{text} is no JSON value")


def parse_json(data: bytes) -> Any:
    """Return the JSON value in `data`; raise ``ValueError`` for anything else.

    Repeated keys are refused, because the last one would silently win.
    """
    try:
        return json.loads(
            data.decode("utf-8"),
            object_pairs_hook=_build_object,
            parse_constant=_refuse_constant,
        )
    except RecursionError as exc:
        raise ValueError("nested too deeply") from exc


def check_name(text: str) -> str:
    """Return `text` if it is a valid name, else raise ``ValueError``."""
    if not re.fullmatch(NAME_PATTERN, text):
        raise ValueError("expected 1 to 63 letters, digits, dots, hyphens and underscores")
    return text


@lru_cache(maxsize=4096)
def _check_host(host: str) -> None:
    bracketed = host.startswith("[") and host.endswith("]")
    address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    if bracketed != (address.version == 6):
        raise ValueError("IPv6 numbers stand in brackets, IPv4 numbers do not")
    written = f"[{address}]" if bracketed else str(address)
    if written != host:
        raise ValueError(f"the usual form of the IP number is {written}")


def check_address(text: str) -> str:
    """Return `text` if it is ``ip:port`` in its usual form, else raise ``ValueError``.

    One spelling per address keeps look-ups by text exact.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= 5):
        raise ValueError("expected ip:port with a decimal port")
    if not 1 <= int(port) <= 65535 or port.startswith("0"):
        raise ValueError("port must be from 1 to 65535 without leading zeros")
    _check_host(host)
    return text


def _sort_service(service: dict[str, Any]) -> dict[str, Any]:
    targets = sorted(service["targets"], key=lambda target: target["name"])
    return {**service, "addresses": sorted(service["addresses"]), "targets": targets}


def dump_canonical(value: dict[str, Any]) -> bytes:
    """Return a document as compact JSON with sorted keys, services, targets and addresses.

    Order and whitespace carry no meaning in a sheet, so documents that differ only in them have
    one canonical form and one digest.
    """
    services = sorted(map(_sort_service, value["services"]), key=lambda item: item["name"])
    sheet = {**value, "zones": sorted(value["zones"]), "services": services}
    return json.dumps(sheet, sort_keys=True, separators=(",", ":")).encode()


def compute_digest(canonical: bytes) -> bytes:
    """Return the digest of a canonical document."""
    return hashlib.blake2b(canonical, digest_size=DIGEST_BYTES).digest()
