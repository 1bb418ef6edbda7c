"""Adapter to the users' platform: the only place that knows the names of its wire."""

from mulberryswitch._lazy import build_lazy_getter

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

# The program binds its socket before it imports the rest; see ``__main__``.
__getattr__ = build_lazy_getter(
    __name__,
    {
        "ADAPTER": "_adapter",
        "SETTINGS_VARIABLE": "_early",
        "StoreClient": "_store",
        "decode_packet": "_packets",
        "decode_record": "_records",
        "encode_forward": "_packets",
        "encode_reset": "_packets",
        "parse_settings": "_settings",
    },
)
