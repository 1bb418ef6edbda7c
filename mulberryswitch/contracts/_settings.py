"""Settings of a VM's daemon: an INI file, checked by pydantic."""

from __future__ import annotations

import configparser
import ipaddress
from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from ._codes import ResultCode

__all__ = [
    "FabricSettings",
    "LimitSettings",
    "LogSettings",
    "NodeSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "SettingsError",
    "InvalidSettingError",
    "TestingSettings",
    "TracingSettings",
    "check_settings",
    "read_settings",
]

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
MIN_KEY_BYTES = 16


class InvalidSettingError(ValueError):
    """One invalid setting; the message names section, key, value and the expected form."""

    def __init__(self, code: ResultCode, message: str):
        super().__init__(f"{message} (code {int(code)})")
        self.code = code


class SettingsError(ExceptionGroup):
    """All problems of one settings file."""


def check_endpoint(value: str) -> str:
    """Return `value` if it is ``ip:port``, else raise ``ValueError``."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as exc:
        raise ValueError("expected IP:PORT, for example 10.0.0.5:7000") from exc
    if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= 65535:
        raise ValueError("expected a port from 1 to 65535 after the last colon")
    return value


def check_endpoints(value: str) -> str:
    """Return the comma-separated list `value` if each item is ``ip:port``."""
    for item in split_endpoints(value):
        check_endpoint(item)
    return value


def check_key(value: str) -> str:
    """Return `value` if it is at least 16 bytes in hexadecimal."""
    try:
        size = len(bytes.fromhex(value))
    except ValueError as exc:
        raise ValueError("expected hexadecimal digits") from exc
    if size < MIN_KEY_BYTES:
        raise ValueError(f"expected at least {MIN_KEY_BYTES} bytes, got {size}")
    return value


def check_url(value: str) -> str:
    """Return `value` if it is an ``http://IP:PORT`` address without a path."""
    if not value.startswith("http://"):
        raise ValueError("expected http://IP:PORT")
    check_endpoint(value.removeprefix("http://"))
    return value


def split_endpoints(value: str) -> tuple[str, ...]:
    """Return the items of a comma-separated list."""
    return tuple(item.strip() for item in value.split(",") if item.strip())


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Endpoint = Annotated[str, AfterValidator(check_endpoint)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSettings(_Section):
    """Section ``[node]``: the VM, its availability zone and its fleet."""

    vm: Name = Field(description="name of this VM, unique in the fleet")
    zone: Name = Field(description="availability zone of this VM")
    fleet: Name = Field(description="name of the fleet; peers of another fleet are refused")
    key: Annotated[str, AfterValidator(check_key)] = Field(
        description="shared key of the fleet, at least 16 bytes in hexadecimal"
    )


class PeerSettings(_Section):
    """Section ``[peers]``: the port for the fleet's own VMs, TCP and UDP."""

    listen: Endpoint = Field(description="IP:PORT for peer streams (TCP) and membership (UDP)")
    seeds: Annotated[str, AfterValidator(check_endpoints)] = Field(
        default="", description="comma-separated IP:PORT of some VMs to join at start"
    )

    @property
    def seed_endpoints(self) -> tuple[str, ...]:
        """The items of `seeds`."""
        return split_endpoints(self.seeds)


class FabricSettings(_Section):
    """Section ``[fabric]``: where packets of callers arrive."""

    listen: Endpoint = Field(description="IP:PORT on which this VM takes packets (UDP)")
    fabric: Endpoint = Field(description="IP:PORT of the fabric for replies (UDP)")


class PlatformSettings(_Section):
    """Section ``[platform]``: the configuration service, read and watched only."""

    url: Annotated[str, AfterValidator(check_url)] = Field(description="http://IP:PORT")


class OperatorSettings(_Section):
    """Section ``[operator]``: status and metrics over HTTP."""

    listen: Endpoint = Field(description="IP:PORT of the operator's HTTP port")


class LimitSettings(_Section):
    """Section ``[limits]``: bounds on tables and times."""

    queue: int = Field(default=1000, ge=1, le=100_000, description="queued requests per service")
    pending: int = Field(
        default=50_000, ge=1, le=1_000_000, description="forwarded requests without an outcome"
    )
    shutdown_s: float = Field(
        default=30.0, ge=0, le=3600, description="longest wait for running work, in seconds"
    )


class LogSettings(_Section):
    """Section ``[logs]``."""

    level: Literal["debug", "info", "warning", "error"] = Field(
        default="info", description="least severity that is written"
    )


class TracingSettings(_Section):
    """Section ``[tracing]``."""

    exporter: Literal["none", "console"] = Field(
        default="none", description="where spans go; none turns tracing off"
    )


class TestingSettings(_Section):
    """Section ``[testing]``: fault injection for tests, off unless set."""

    allow_cuts: bool = Field(
        default=False, description="let the operator port cut links to peers for tests"
    )


class Settings(_Section):
    """All settings of one VM's daemon."""

    node: NodeSettings
    peers: PeerSettings
    fabric: FabricSettings
    platform: PlatformSettings
    operator: OperatorSettings
    limits: LimitSettings = LimitSettings()
    logs: LogSettings = LogSettings()
    tracing: TracingSettings = TracingSettings()
    testing: TestingSettings = TestingSettings()


def _build_problem(error: dict, values: dict) -> InvalidSettingError:
    section, *rest = [str(part) for part in error["loc"]]
    location = f"[{section}] {rest[0]}" if rest else f"[{section}]"
    match error["type"]:
        case "missing":
            return InvalidSettingError(
                ResultCode.MISSING_SETTING, f"{location}: required but not set"
            )
        case "extra_forbidden":
            return InvalidSettingError(ResultCode.UNKNOWN_SETTING, f"{location}: no such setting")
    shown_value = "(hidden)" if rest[:1] == ["key"] else repr(error.get("input"))
    reason = error["msg"].removeprefix("Value error, ")
    return InvalidSettingError(ResultCode.BAD_SETTING, f"{location} = {shown_value}: {reason}")


def check_settings(values: dict[str, dict[str, str]]) -> Settings:
    """Return the settings in `values`, a mapping of section to key to text.

    Raises
    ------
    SettingsError
        With one ``InvalidSettingError`` for each invalid, unknown or missing setting.
    """
    try:
        return Settings.model_validate(values)
    except ValidationError as exc:
        problems = [_build_problem(error, values) for error in exc.errors()]
        raise SettingsError("settings are not valid", problems) from None


def read_settings(path: str | Path) -> Settings:
    """Read and check the INI file at `path`; raise ``SettingsError``."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        problem = InvalidSettingError(ResultCode.BAD_SETTING, f"{path}: {exc}")
        raise SettingsError("settings cannot be read", [problem]) from None
    return check_settings({name: dict(parser[name]) for name in parser.sections()})
