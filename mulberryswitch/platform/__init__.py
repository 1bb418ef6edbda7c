"""Adapter to the users' platform, the only package that depends on its formats and names."""

from mulberryswitch._lazy import build_lazy_getter

__all__ = [
    "ADAPTER",
    "SETTINGS_VARIABLE",
    "StoreClient",
    "decode_packet",
    "decode_record",
    "encode_forward",
    "encode_reset",
    "parse_config_document",
    "parse_settings",
]

# Imported at first use: ``__main__`` has to ignore SIGHUP before anything takes time.
__getattr__ = build_lazy_getter(
    __name__,
    {
        "ADAPTER": "_adapter",
        "SETTINGS_VARIABLE": "_adapter",
        "StoreClient": "_store",
        "decode_packet": "_packets",
        "decode_record": "_records",
        "encode_forward": "_packets",
        "encode_reset": "_packets",
        "parse_config_document": "_config_document",
        "parse_settings": "_settings",
    },
)
