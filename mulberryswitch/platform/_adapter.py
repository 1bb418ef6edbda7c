"""Conversions of this package in the form that the daemon expects."""

from mulberryswitch.front import Adapter

from ._packets import decode_packet, encode_forward, encode_reset
from ._records import decode_record
from ._settings import parse_settings
from ._store import StoreClient

__all__ = ["ADAPTER", "OPTIONS_VARIABLE", "SETTINGS_VARIABLE"]

SETTINGS_VARIABLE = "MULBERRYSWITCH_CONFIG"
OPTIONS_VARIABLE = "MULBERRYSWITCH_OPTIONS"

ADAPTER = Adapter(
    parse_settings=parse_settings,
    decode_record=decode_record,
    decode_packet=decode_packet,
    encode_forward=encode_forward,
    encode_reset=encode_reset,
    connect_store=lambda address: StoreClient(host=address.host, port=address.port),
)
