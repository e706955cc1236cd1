"""Frames as msgpack arrays: a kind number and the fields in order.

Frames are frozen data classes marked with `frame(kind)`. Nothing that arrives
becomes a frame unless every field has its declared type, so the code behind the
decoder never meets a malformed one.
"""

from __future__ import annotations

import dataclasses
import enum
import itertools
import types
import typing
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import msgpack

from ..schema import type_hints

_Reader = Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class _Plan:
    """How a record is read: the types of its fields, and what is nested in them.

    `types` has one entry for each combination that optional fields permit.
    """

    types: frozenset[tuple[type, ...]]
    nested: tuple[tuple[int, _Reader], ...]


_FRAMES: Final[dict[int, type]] = {}
_KINDS: Final[dict[type, int]] = {}
_PLANS: Final[dict[type, _Plan]] = {}


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
    return _PACKER.pack((_KINDS[type(message)], *_fields_of(message)))


class FrameDecoder:
    """Cuts a stream of bytes into frames, within a cap on the size of each.

    A peer that announced a huge array or string would otherwise make this
    process buffer without bound; the operator would see its memory climb. The
    unpacker refuses to hold more than one frame of the permitted size.
    """

    def __init__(self, frame_max_bytes: int) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            use_list=False,
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
    if type(array) is not tuple or not array or type(array[0]) is not int:
        raise FrameError("a frame starts with its kind number")
    cls = _FRAMES.get(array[0])
    if cls is None:
        raise FrameError(f"unknown frame kind {array[0]}")
    return _build(cls, array[1:])


def _build(cls: type, values: tuple) -> Any:
    """Check all fields by one comparison of types, and the nested ones one by one."""
    plan = _PLANS.get(cls) or _make_plan(cls)
    if tuple(map(type, values)) not in plan.types:
        raise FrameError(f"{cls.__name__} has other fields")
    if not plan.nested:
        return cls(*values)
    built = list(values)
    for index, read in plan.nested:
        built[index] = read(built[index])
    return cls(*built)


def _make_plan(cls: type) -> _Plan:
    hints = [type_hints(cls)[item.name] for item in dataclasses.fields(cls)]
    types = frozenset(itertools.product(*[_wire_types(hint) for hint in hints]))
    nested = tuple(
        (index, _reader(hint)) for index, hint in enumerate(hints) if _is_nested(hint)
    )
    plan = _Plan(types, nested)
    _PLANS[cls] = plan
    return plan


def _wire_types(expected: Any) -> tuple[type, ...]:
    """Return the types that a value may have as it comes from the unpacker."""
    inner = _optional_of(expected)
    if inner is not None:
        return (type(None), *_wire_types(inner))
    if dataclasses.is_dataclass(expected) or typing.get_origin(expected) is tuple:
        return (tuple,)
    if issubclass(expected, enum.IntEnum):
        return (int,)
    return (str,) if issubclass(expected, enum.Enum) else (expected,)


def _is_nested(expected: Any) -> bool:
    return expected not in _PLAIN


def _optional_of(expected: Any) -> Any:
    """Return what a value is where it is not None, or None for no optional."""
    if typing.get_origin(expected) not in (types.UnionType, typing.Union):
        return None
    return next(a for a in typing.get_args(expected) if a is not type(None))


def _reader(expected: Any) -> _Reader:
    """Return the function that checks a nested value and builds what it stands for."""
    inner = _optional_of(expected)
    if inner is not None:
        read = _reader(inner) if _is_nested(inner) else lambda value: value
        return lambda value: None if value is None else read(value)
    if dataclasses.is_dataclass(expected):
        return lambda value: _build(expected, value)
    if typing.get_origin(expected) is tuple:
        return _tuple_reader(typing.get_args(expected))
    return lambda value: _enum_member(expected, value)


def _tuple_reader(arguments: tuple) -> _Reader:
    if arguments[-1] is Ellipsis:
        item = arguments[0]
        if _is_uniform(item):
            return _uniform_reader(typing.get_args(item))
        return _sequence_reader(item)
    wire_types = frozenset(itertools.product(*map(_wire_types, arguments)))
    readers = [
        (index, _reader(argument))
        for index, argument in enumerate(arguments)
        if _is_nested(argument)
    ]

    def read(value: tuple) -> tuple:
        if tuple(map(type, value)) not in wire_types:
            raise FrameError(f"expected {len(arguments)} items of other types")
        if not readers:
            return value
        built = list(value)
        for index, read_item in readers:
            built[index] = read_item(built[index])
        return tuple(built)

    return read


def _is_uniform(expected: Any) -> bool:
    """Return whether values are tuples of a fixed length and one plain type."""
    arguments = typing.get_args(expected)
    is_fixed = typing.get_origin(expected) is tuple and Ellipsis not in arguments
    return is_fixed and len(set(arguments)) == 1 and arguments[0] in _PLAIN


def _uniform_reader(arguments: tuple[type, ...]) -> _Reader:
    """Return the reader of headers and labels: all items checked at once."""
    lengths = frozenset({len(arguments)})
    item_types = frozenset({tuple})
    part_types = frozenset(arguments)

    def read(value: tuple) -> tuple:
        is_expected = (
            item_types.issuperset(map(type, value))
            and lengths.issuperset(map(len, value))
            and part_types.issuperset(map(type, itertools.chain.from_iterable(value)))
        )
        if not is_expected:
            raise FrameError(f"expected tuples of {arguments}")
        return value

    return read


def _sequence_reader(item: Any) -> _Reader:
    wire_types = frozenset(_wire_types(item))
    read_item = _reader(item) if _is_nested(item) else None

    def read(value: tuple) -> tuple:
        if not wire_types.issuperset(map(type, value)):
            raise FrameError(f"expected items of {item}")
        return value if read_item is None else tuple(map(read_item, value))

    return read


def _enum_member(expected: type[enum.Enum], value: Any) -> enum.Enum:
    try:
        return expected(value)
    except ValueError as error:
        raise FrameError(str(error)) from error


def _fields_of(record: Any) -> tuple:
    """Return the fields of a nested record; enumerations pack as what they are."""
    cls = type(record)
    names = _NAMES.get(cls)
    if names is None:
        if not dataclasses.is_dataclass(cls):
            raise TypeError(f"{cls.__name__} has no msgpack form")
        names = tuple(item.name for item in dataclasses.fields(cls))
        _NAMES[cls] = names
    return tuple([getattr(record, name) for name in names])


_NAMES: Final[dict[type, tuple[str, ...]]] = {}
_PACKER: Final = msgpack.Packer(use_bin_type=True, default=_fields_of)
_PLAIN: Final = frozenset({int, str, bytes, bool, float})


__all__ = [
    "FrameDecoder",
    "FrameError",
    "decode_frame",
    "encode_frame",
    "frame",
]
