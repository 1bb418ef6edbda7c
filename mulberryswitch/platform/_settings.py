"""Settings file that the users' platform writes, with lines of the form ``a.b=value``."""

from mulberryswitch.forwarding import ColdBounds
from mulberryswitch.front import Address, FrontSettings, FrontSettingsError

__all__ = ["parse_settings"]

BYTES_PER_MEGABIT = 125_000
_ZONES_PREFIX = "zones."


def parse_settings(text: str) -> FrontSettings:
    """Return the settings of a VM.

    Raises
    ------
    FrontSettingsError
        If a required field is missing or a value is invalid. Unknown fields are ignored.
    """
    fields = dict(
        (part.strip() for part in line.split("=", 1)) for line in text.splitlines() if "=" in line
    )
    ip = _get_required(fields, "ip")
    internal_ports = _get_required(fields, "internalPortRange").split(",")
    peer_port = _parse_port("internalPortRange", internal_ports[0])
    return FrontSettings(
        vm=_get_required(fields, "nodeName"),
        zone=_get_required(fields, "zone"),
        zones=frozenset(
            name.removeprefix(_ZONES_PREFIX) for name in fields if name.startswith(_ZONES_PREFIX)
        ),
        packet_address=_parse_address(
            "listen.datagramAddr", _get_required(fields, "listen.datagramAddr")
        ),
        ready_address=_parse_address("listen.ready", _get_required(fields, "listen.ready")),
        peer_address=Address(ip, peer_port),
        metrics_address=Address(ip, peer_port + 1),
        # This system does not listen on the ports that the seeds name. Peers listen on the first
        # internal port, which is the same on all VMs.
        seeds=tuple(
            Address(_parse_address("seeds", seed).host, peer_port)
            for seed in fields.get("seeds", "").split(",")
            if seed
        ),
        store_address=_parse_address("platform.address", _get_required(fields, "platform.address")),
        link_bytes_per_s=_parse_positive("limits.linkMbps", fields.get("limits.linkMbps") or "1e9")
        * BYTES_PER_MEGABIT,
        cold_bounds=ColdBounds(
            overage=_parse_positive("bounds.coldOverage", fields.get("bounds.coldOverage") or "1"),
            slack=_parse_not_negative("bounds.coldSlack", fields.get("bounds.coldSlack") or "0"),
        ),
        shutdown_s=_parse_positive("bounds.graceS", fields.get("bounds.graceS", "6")),
        flow_lifetime_s=_parse_positive("bounds.flowMaxS", fields.get("bounds.flowMaxS", "60")),
    )


def _get_required(fields: dict[str, str], name: str) -> str:
    value = fields.get(name, "")
    if not value:
        raise FrontSettingsError(f"{name}: missing")
    return value


def _parse_address(name: str, value: str) -> Address:
    host, _, port = value.rpartition(":")
    if not host:
        raise FrontSettingsError(f"{name}: {value!r} is not IP:PORT")
    return Address(host, _parse_port(name, port))


def _parse_port(name: str, value: str) -> int:
    if not (value.isascii() and value.isdigit() and 0 < int(value) < 65_536):
        raise FrontSettingsError(f"{name}: {value!r} is not a port")
    return int(value)


def _parse_not_negative(name: str, value: str) -> float:
    return 0.0 if value == "0" else _parse_positive(name, value)


def _parse_positive(name: str, value: str) -> float:
    try:
        number = float(value)
    except ValueError as exc:
        raise FrontSettingsError(f"{name}: {value!r} is not a number") from exc
    if not 0 < number < float("inf"):
        raise FrontSettingsError(f"{name}: {value!r} is not a positive number")
    return number
