"""The settings file that the users' platform writes: lines of the form ``a.b=value``."""

from mulberryswitch.front import Address, FrontSettings, FrontSettingsError

__all__ = ["parse_settings"]


def parse_settings(text: str) -> FrontSettings:
    """Return the settings of a VM.

    Raises
    ------
    FrontSettingsError
        If a field is missing or has a bad value; unknown fields are ignored.
    """
    fields = dict(
        (part.strip() for part in line.split("=", 1)) for line in text.splitlines() if "=" in line
    )
    ip = _get(fields, "ip")
    internal_ports = _get(fields, "internalPortRange").split(",")
    peer_port = _parse_port("internalPortRange", internal_ports[0])
    return FrontSettings(
        vm=_get(fields, "nodeName"),
        zone=_get(fields, "zone"),
        packet_address=_parse_address("listen.datagramAddr", _get(fields, "listen.datagramAddr")),
        ready_address=_parse_address("listen.ready", _get(fields, "listen.ready")),
        peer_address=Address(ip, peer_port),
        metrics_address=Address(ip, peer_port + 1),
        # Seeds name a port that this system leaves closed; peers listen on the same internal port
        # on all machines.
        seeds=tuple(
            Address(_parse_address("seeds", seed).host, peer_port)
            for seed in fields.get("seeds", "").split(",")
            if seed
        ),
        store_address=_parse_address("platform.address", _get(fields, "platform.address")),
        shutdown_s=_parse_number("bounds.graceS", fields.get("bounds.graceS", "6")),
        flow_lifetime_s=_parse_number("bounds.flowMaxS", fields.get("bounds.flowMaxS", "60")),
    )


def _get(fields: dict[str, str], name: str) -> str:
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


def _parse_number(name: str, value: str) -> float:
    try:
        number = float(value)
    except ValueError as exc:
        raise FrontSettingsError(f"{name}: {value!r} is not a number") from exc
    if not 0 < number < float("inf"):
        raise FrontSettingsError(f"{name}: {value!r} is not above 0")
    return number
