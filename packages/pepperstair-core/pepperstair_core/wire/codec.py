"""Frames as msgpack arrays: a kind number and the fields in order.

Frames are frozen data classes marked with `frame(kind)`. Nothing that arrives
becomes a frame unless every field has its declared type, so the code behind the
decoder never meets a malformed one.
"""

from __future__ import annotations

import dataclasses
import enum
import types
import typing
from collections.abc import Callable, Iterator
from typing import Any, Final

import msgpack

from ..schema import type_hints

_Reader = Callable[[Any], Any]

_FRAMES: Final[dict[int, type]] = {}
_KINDS: Final[dict[type, int]] = {}
_READERS: Final[dict[type, tuple[_Reader, ...]]] = {}


class FrameError(Exception):
    """Bytes that are no frame: the stream that carried them is closed."""


def frame(kind: int) -> Callable[[type], type]:
    """Register a data class as the frame with a kind number."""

    def register(cls: type) -> type:
        if kind in _FRAMES:
            raise ValueError(f"frame kind {kind} is taken by {_FRAMES[kind]}")
        _FRAMES[kind] = cls
        _KINDS[cls] = kind
        return cls

    return register


def encode_frame(message: Any) -> bytes:
    """Return the msgpack form of a frame."""
    cls = type(message)
    return msgpack.packb([_KINDS[cls], *_pack_fields(message)], use_bin_type=True)


def frame_kind(message: Any) -> int:
    """Return the kind number of a frame, as metrics by message kind need it."""
    return _KINDS[type(message)]


class FrameDecoder:
    """Cuts a stream of bytes into frames, within a cap on the size of each.

    A peer that announced a huge array or string would otherwise make this
    process buffer without bound; the operator would see its memory climb. The
    unpacker refuses to hold more than one frame of the permitted size.
    """

    def __init__(self, frame_max_bytes: int) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            use_list=True,
            max_buffer_size=2 * frame_max_bytes,
            max_bin_len=frame_max_bytes,
            max_str_len=frame_max_bytes,
            max_array_len=frame_max_bytes // 8,
            max_map_len=0,
            max_ext_len=0,
        )
        self._frame_max_bytes = frame_max_bytes
        self._n_fed_bytes = 0
        self._n_read_bytes = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield each frame that the bytes complete, or raise FrameError."""
        try:
            self._unpacker.feed(data)
            self._n_fed_bytes += len(data)
            for array in self._unpacker:
                self._check_size(self._unpacker.tell() - self._n_read_bytes)
                self._n_read_bytes = self._unpacker.tell()
                yield decode_frame(array)
        except (ValueError, msgpack.UnpackException, msgpack.BufferFull) as error:
            raise FrameError(f"undecodable frame: {error!r}") from error
        self._check_size(self._n_fed_bytes - self._n_read_bytes)

    def _check_size(self, n_bytes: int) -> None:
        if n_bytes > self._frame_max_bytes:
            raise FrameError(f"frame of over {self._frame_max_bytes} bytes")


def decode_frame(array: Any) -> Any:
    """Build the frame behind an unpacked array, or raise FrameError."""
    if type(array) is not list or not array or type(array[0]) is not int:
        raise FrameError("a frame starts with its kind number")
    cls = _FRAMES.get(array[0])
    if cls is None:
        raise FrameError(f"unknown frame kind {array[0]}")
    return _build(cls, array[1:])


def _build(cls: type, values: list) -> Any:
    readers = _READERS.get(cls) or _make_readers(cls)
    if len(values) != len(readers):
        raise FrameError(f"{cls.__name__} has {len(readers)} fields")
    return cls(*[read(value) for read, value in zip(readers, values, strict=True)])


def _make_readers(cls: type) -> tuple[_Reader, ...]:
    hints = type_hints(cls)
    readers = tuple(_reader(hints[item.name]) for item in dataclasses.fields(cls))
    _READERS[cls] = readers
    return readers


def _reader(expected: Any) -> _Reader:
    if dataclasses.is_dataclass(expected):
        return lambda value: _build(expected, _checked(value, list))
    origin = typing.get_origin(expected)
    if origin in (types.UnionType, typing.Union):
        inner = _reader(
            next(a for a in typing.get_args(expected) if a is not type(None))
        )
        return lambda value: None if value is None else inner(value)
    if origin is tuple:
        return _tuple_reader(typing.get_args(expected))
    if issubclass(expected, enum.Enum):
        return lambda value: _enum_member(expected, value)
    return lambda value: _checked(value, expected)


def _tuple_reader(arguments: tuple) -> _Reader:
    if arguments[-1] is Ellipsis:
        each = _reader(arguments[0])
        return lambda value: tuple([each(item) for item in _checked(value, list)])
    readers = [_reader(argument) for argument in arguments]

    def read(value: Any) -> tuple:
        if len(_checked(value, list)) != len(readers):
            raise FrameError(f"expected {len(readers)} items")
        return tuple([r(item) for r, item in zip(readers, value, strict=True)])

    return read


def _checked(value: Any, expected: type) -> Any:
    if type(value) is not expected:
        raise FrameError(f"expected {expected.__name__}, not {type(value).__name__}")
    return value


def _enum_member(expected: type[enum.Enum], value: Any) -> enum.Enum:
    try:
        return expected(value)
    except ValueError as error:
        raise FrameError(str(error)) from error


def _pack_fields(record: Any) -> list:
    return [_pack(getattr(record, name)) for name in _field_names(type(record))]


_NAMES: Final[dict[type, tuple[str, ...]]] = {}


def _field_names(cls: type) -> tuple[str, ...]:
    names = _NAMES.get(cls)
    if names is None:
        names = tuple(item.name for item in dataclasses.fields(cls))
        _NAMES[cls] = names
    return names


_PLAIN: Final = frozenset({int, str, bytes, bool, float, type(None)})


def _pack(value: Any) -> Any:
    cls = type(value)
    if cls in _PLAIN:
        return value
    if cls is tuple:
        return [_pack(item) for item in value]
    if isinstance(value, enum.Enum):
        return value.value
    return _pack_fields(value)


__all__ = [
    "FrameDecoder",
    "FrameError",
    "decode_frame",
    "encode_frame",
    "frame",
    "frame_kind",
]
