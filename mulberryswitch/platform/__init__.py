"""Adapter to the users' platform, the only package that depends on its formats and names."""

from ._adapter import ADAPTER, SETTINGS_VARIABLE
from ._packets import decode_packet, encode_forward, encode_reset
from ._records import decode_record
from ._settings import parse_settings
from ._store import StoreClient

__all__ = [
    "ADAPTER",
    "SETTINGS_VARIABLE",
    "StoreClient",
    "decode_packet",
    "decode_record",
    "encode_forward",
    "encode_reset",
    "parse_settings",
]
