"""Options of the operators of this product, in an INI file beside the platform's settings."""

from typing import TYPE_CHECKING

from mulberryswitch.forwarding import HedgeLimits

from ._settings import FrontSettingsError

if TYPE_CHECKING:
    from configparser import SectionProxy

__all__ = ["parse_options"]

HEDGING = "hedging"
SERVICE_PREFIX = f"{HEDGING}:"
SHARE = "share"
# Beyond this, hedges would cost more than a shorter failover.
MAX_SHARE = 0.2


def parse_options(text: str) -> HedgeLimits:
    """Return the limits of hedging; none are allowed where the file does not name them.

    Raises
    ------
    FrontSettingsError
        If the text is no INI file, names an unknown section or key, or a value is out of range.
    """
    # A VM without options must not pay for the import at its start.
    import configparser

    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",))
    try:
        parser.read_string(text)
    except configparser.Error as exc:
        raise FrontSettingsError(f"options: {' '.join(str(exc).split())}") from exc
    if parser.defaults():
        raise FrontSettingsError("options: [DEFAULT] is not used")
    shares = {section: _parse_share(section, parser[section]) for section in parser.sections()}
    return HedgeLimits(
        share=shares.pop(HEDGING, 0.0),
        by_service={name.removeprefix(SERVICE_PREFIX): share for name, share in shares.items()},
    )


def _parse_share(section: str, fields: "SectionProxy") -> float:
    if section != HEDGING and not section.startswith(SERVICE_PREFIX):
        raise FrontSettingsError(f"options: unknown section [{section}]")
    unknown = sorted(fields.keys() - {SHARE})
    if unknown or SHARE not in fields:
        raise FrontSettingsError(f"options [{section}]: expected {SHARE!r}, got {unknown}")
    try:
        share = float(fields[SHARE])
    except ValueError as exc:
        raise FrontSettingsError(
            f"options [{section}]: {SHARE} is {fields[SHARE]!r}, expected a number"
        ) from exc
    if not 0 <= share <= MAX_SHARE:
        raise FrontSettingsError(
            f"options [{section}]: {SHARE} is {share}, expected 0 to {MAX_SHARE}"
        )
    return share
