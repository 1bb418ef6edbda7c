"""Typed msgpack encoding of dataclasses as tagged arrays."""

from __future__ import annotations

import types
from collections.abc import Callable, Mapping
from dataclasses import fields, is_dataclass
from operator import attrgetter
from typing import Any, get_args, get_origin, get_type_hints

import msgpack

from ._codes import ResultCode

__all__ = ["Codec", "DecodeError"]

MAX_INTEGER = 2**63 - 1
MAX_TEXT_CHARS = 4096
SCALARS = (int, str, bytes, bool)


class DecodeError(ValueError):
    """A message that cannot be decoded, or that is too large to encode.

    Attributes
    ----------
    code : ResultCode
        ``MALFORMED_PACKET`` or ``OVERSIZED_PACKET``.
    """

    def __init__(self, message: str, code: ResultCode = ResultCode.MALFORMED_PACKET):
        super().__init__(message)
        self.code = code


def _check_integer(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_INTEGER:
        raise DecodeError(f"expected an integer from 0 to 2**63-1, got {value!r:.60}")
    return value


def _check_text(value: Any) -> str:
    if type(value) is not str or len(value) > MAX_TEXT_CHARS:
        raise DecodeError(f"expected text of at most {MAX_TEXT_CHARS} characters")
    return value


def _build_type_check(field_type: type) -> Callable[[Any], Any]:
    def check(value: Any) -> Any:
        if type(value) is not field_type:
            raise DecodeError(f"expected {field_type.__name__}, got {type(value).__name__}")
        return value

    return check


def _build_unpacker(field_type: Any) -> Callable[[Any], Any]:
    """Return a function that checks and converts one msgpack value to type `field_type`."""
    if field_type is int:
        return _check_integer
    if field_type is str:
        return _check_text
    if field_type in (bytes, bool):
        return _build_type_check(field_type)
    if is_dataclass(field_type):
        return _build_record_unpacker(field_type)
    if get_origin(field_type) is tuple:
        return _build_tuple_unpacker(get_args(field_type))
    raise TypeError(f"cannot encode {field_type!r}")


def _build_tuple_unpacker(args: tuple[Any, ...]) -> Callable[[Any], tuple]:
    is_variadic = len(args) == 2 and args[1] is Ellipsis
    unpackers = [_build_unpacker(arg) for arg in args if arg is not Ellipsis]

    def unpack(value: Any) -> tuple:
        if type(value) is not list:
            raise DecodeError(f"expected an array, got {type(value).__name__}")
        if is_variadic:
            return tuple(map(unpackers[0], value))
        if len(value) != len(unpackers):
            raise DecodeError(f"expected {len(unpackers)} items, got {len(value)}")
        return tuple(unpacker(item) for unpacker, item in zip(unpackers, value, strict=True))

    return unpack


def _build_record_unpacker(cls: type) -> Callable[[Any], Any]:
    hints = get_type_hints(cls)
    names = [field.name for field in fields(cls)]
    field_types = [hints[name] for name in names]
    unpackers = [_build_unpacker(field_type) for field_type in field_types]
    field_count = len(names)

    def unpack(value: Any) -> Any:
        if type(value) is not list or len(value) != field_count:
            raise DecodeError(f"expected an array of {field_count} fields for {cls.__name__}")
        checked = {n: unpacker(v) for n, unpacker, v in zip(names, unpackers, value, strict=True)}
        return cls(**checked)

    if not all(field_type in SCALARS for field_type in field_types):
        return unpack
    int_indexes = [index for index, field_type in enumerate(field_types) if field_type is int]
    text_indexes = [index for index, field_type in enumerate(field_types) if field_type is str]

    def unpack_scalars(value: Any) -> Any:
        # Fast path for packets: one comparison of all types instead of a call per field. On a
        # mismatch `unpack` raises the error that names the wrong field.
        if (
            type(value) is not list
            or [*map(type, value)] != field_types
            or (int_indexes and not min(integers := [value[index] for index in int_indexes]) >= 0)
            or (int_indexes and max(integers) > MAX_INTEGER)
            or (
                text_indexes and max([len(value[index]) for index in text_indexes]) > MAX_TEXT_CHARS
            )
        ):
            return unpack(value)
        return cls(**dict(zip(names, value, strict=True)))

    return unpack_scalars


def _build_value_packer(field_type: Any) -> Callable[[Any], Any] | None:
    """Return a function that converts a value of type `field_type`; None if none is needed."""
    if is_dataclass(field_type):
        return _build_packer(field_type)
    if get_origin(field_type) is not tuple:
        return None
    args = [arg for arg in get_args(field_type) if arg is not Ellipsis]
    pack_item = _build_value_packer(args[0])
    if pack_item is None:
        return None
    return lambda value: [pack_item(item) for item in value]


def _build_packer(cls: type) -> Callable[[Any], list]:
    hints = get_type_hints(cls)
    names = [field.name for field in fields(cls)]
    get_values = (
        attrgetter(*names) if len(names) > 1 else lambda message: (getattr(message, names[0]),)
    )
    packers = [
        (index, packer)
        for index, packer in enumerate(_build_value_packer(hints[name]) for name in names)
        if packer is not None
    ]

    def pack(message: Any) -> list:
        values = list(get_values(message))
        for index, packer in packers:
            values[index] = packer(values[index])
        return values

    return pack


class Codec:
    """Encoder and decoder for the message types of one kind of link.

    Parameters
    ----------
    message_types : mapping of int to dataclass type
        Message type of each wire tag.
    max_bytes : int
        Largest encoded message in bytes.
    """

    def __init__(self, *, message_types: Mapping[int, type], max_bytes: int):
        self.message_types = types.MappingProxyType(dict(message_types))
        self.max_bytes = max_bytes
        self._tags = {cls: tag for tag, cls in message_types.items()}
        self._packers = {cls: _build_packer(cls) for cls in message_types.values()}
        self._unpackers = {tag: _build_record_unpacker(cls) for tag, cls in message_types.items()}

    def encode(self, message: Any) -> bytes:
        """Return `message` as bytes; raise ``DecodeError`` when it is too large."""
        cls = type(message)
        data = msgpack.packb([self._tags[cls], *self._packers[cls](message)])
        if len(data) > self.max_bytes:
            raise DecodeError(
                f"{cls.__name__} of {len(data)} bytes, at most {self.max_bytes}",
                ResultCode.OVERSIZED_PACKET,
            )
        return data

    def decode(self, data: bytes) -> Any:
        """Return the message in `data`.

        Raises
        ------
        DecodeError
            If `data` is too large or not msgpack, or has an unknown tag or an invalid field.
        """
        if len(data) > self.max_bytes:
            raise DecodeError(
                f"{len(data)} bytes, at most {self.max_bytes}", ResultCode.OVERSIZED_PACKET
            )
        try:
            value = msgpack.unpackb(data)
        except Exception as exc:  # msgpack raises several unrelated types on bad input
            raise DecodeError(f"not a msgpack value: {type(exc).__name__}") from exc
        return self.decode_value(value)

    def decode_value(self, value: Any) -> Any:
        """Return the message in an already unpacked `value`; raise ``DecodeError``."""
        if type(value) is not list or not value or type(value[0]) is not int:
            raise DecodeError("expected an array that starts with an integer tag")
        unpack = self._unpackers.get(value[0])
        if unpack is None:
            raise DecodeError(f"unknown message tag {value[0]}")
        return unpack(value[1:])
