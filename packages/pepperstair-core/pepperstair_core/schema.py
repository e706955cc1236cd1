"""Typed documents: options declared on frozen structs, and their validation.

Settings and intent documents are structs whose fields are annotated with a
description and a range. `read_record` converts a parsed TOML or JSON table to such a
struct, or returns all of its faults at once:

>>> class Door(Struct, frozen=True):
...     width_mm: Annotated[int, Option("Clear width.", minimum=1)] = 900
>>> read_record(Door, {"width_mm": 0}, "door")
Err([Fault(where='door.width_mm', expected='an integer of at least 1, not 0')])
"""

from __future__ import annotations

import functools
import types
import typing
from collections.abc import Callable, Iterator, Mapping
from typing import Annotated, Any, Final, TypeVar

from msgspec import NODEFAULT, Struct, structs
from result import Err, Ok, Result

T = TypeVar("T")


class Fault(Struct, frozen=True):
    """A validation error of a document: its location and what was expected there."""

    where: str
    expected: str

    def __str__(self) -> str:
        return f"{self.where}: expected {self.expected}"


class TextFormat(Struct, frozen=True):
    """A format that a string must have: its description and the check."""

    expected: str
    accepts: Callable[[str], bool]


class Option(Struct, frozen=True):
    """The declaration of one field of a document: its description and its range.

    Faults do not quote a value that `is_secret`.
    """

    doc: str
    minimum: int | float | None = None
    maximum: int | float | None = None
    choices: tuple[str, ...] = ()
    text_format: TextFormat | None = None
    is_secret: bool = False


_ANY: Final = Option("")


class OptionEntry(Struct, frozen=True):
    """One option of a document as the settings page lists it."""

    name: str
    type_name: str
    default: Any
    option: Option

    @property
    def is_required(self) -> bool:
        """Return whether a document must contain the option."""
        return self.default is NODEFAULT


class _Field(Struct, frozen=True):
    """One field of a document: its type, its default and its declaration."""

    name: str
    hint: Any
    default: Any
    option: Option

    @property
    def is_required(self) -> bool:
        return self.default is NODEFAULT


@functools.cache
def _fields_of(cls: type[Struct]) -> tuple[_Field, ...]:
    return tuple(
        _Field(item.name, *_split_hint(item.type, _default_of(item)))
        for item in structs.fields(cls)
    )


def _split_hint(hint: Any, default: Any) -> tuple[Any, Any, Option]:
    """Return the bare type of an annotation, the default and the declaration."""
    if typing.get_origin(hint) is not Annotated:
        return hint, default, Option("")
    option = next(m for m in hint.__metadata__ if isinstance(m, Option))
    return hint.__origin__, default, option


def _default_of(item: structs.FieldInfo) -> Any:
    if item.default_factory is not NODEFAULT:
        return item.default_factory()
    return item.default


def _is_struct(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, Struct)


def read_record(cls: type[T], table: object, where: str) -> Result[T, list[Fault]]:
    """Read a table into a struct, or return every fault found in it."""
    return read_document(cls, table, lambda record: iter(()), where)


def read_document(
    cls: type[T],
    table: object,
    iter_faults: Callable[[T], Iterator[Fault]],
    where: str = "",
) -> Result[T, list[Fault]]:
    """Read a table, then validate the record as a whole with `iter_faults`.

    The validation of the whole record also runs if single keys are invalid, with
    placeholder values in place of the invalid ones. Otherwise operators would correct
    a file, run the check again and only then get the next fault. Faults that
    `iter_faults` reports at a key that is already invalid are left out, because they
    only result from the placeholder.
    """
    faults: list[Fault] = []
    record = _read_table(cls, table, where, faults)
    known = {fault.where for fault in faults}
    faults += [fault for fault in iter_faults(record) if fault.where not in known]
    return Err(faults) if faults else Ok(record)


def iter_options(cls: type, where: str = "") -> Iterator[OptionEntry]:
    """Yield each option of a document class, with its dotted name."""
    for item in _fields_of(cls):
        name = _join(where, item.name)
        if _is_struct(item.hint):
            yield from iter_options(item.hint, name)
            continue
        type_name = _type_name(item.hint)
        yield OptionEntry(name, type_name, item.default, item.option)


def _type_name(hint: Any) -> str:
    origin = typing.get_origin(hint)
    if origin is tuple:
        return f"list of {_type_name(typing.get_args(hint)[0])}s"
    if origin is dict:
        return "table of strings"
    if _is_struct(hint):
        return f"{hint.__name__.lower()} table"
    return {str: "string", int: "integer", float: "number", bool: "boolean"}[hint]


def _read_table(
    cls: Any, table: object, where: str, faults: list[Fault], option: Option = _ANY
) -> Any:
    if not isinstance(table, Mapping):
        faults.append(Fault(where or "document", _unlike("a table", table, option)))
        return _placeholder(cls)
    fields = {item.name: item for item in _fields_of(cls)}
    for key in table:
        if key not in fields:
            known = ", ".join(sorted(fields))
            faults.append(Fault(_join(where, str(key)), f"one of the keys {known}"))
    values = {}
    for name, item in fields.items():
        if name in table:
            values[name] = _read_value(
                item.hint, table[name], _join(where, name), item.option, faults
            )
        elif item.is_required:
            faults.append(Fault(_join(where, name), "a value, this key is required"))
            values[name] = _placeholder(item.hint)
    return cls(**values)


def _placeholder(hint: Any) -> Any:
    """Return a valid value of a type, in place of one that could not be read."""
    if _is_struct(hint):
        required = (item for item in _fields_of(hint) if item.is_required)
        return hint(**{item.name: _placeholder(item.hint) for item in required})
    return (typing.get_origin(hint) or hint)()


def _read_value(
    hint: Any, value: Any, where: str, option: Option, faults: list[Fault]
) -> Any:
    if _is_struct(hint):
        return _read_table(hint, value, where, faults, option)
    origin = typing.get_origin(hint)
    if origin is tuple:
        return _read_list(hint, value, where, option, faults)
    if origin in (types.UnionType, typing.Union):
        inner = next(a for a in typing.get_args(hint) if a is not type(None))
        return _read_value(inner, value, where, option, faults)
    if origin is dict:
        return _read_strings(value, where, faults)
    return _read_scalar(hint, value, where, option, faults)


def _read_list(
    hint: Any, value: Any, where: str, option: Option, faults: list[Fault]
) -> tuple[Any, ...]:
    if not isinstance(value, (list, tuple)):
        faults.append(Fault(where, _unlike("a list", value, option)))
        return ()
    inner = typing.get_args(hint)[0]
    return tuple(
        _read_value(inner, item, f"{where}[{index}]", option, faults)
        for index, item in enumerate(value)
    )


def _read_strings(value: Any, where: str, faults: list[Fault]) -> dict[str, str]:
    if not isinstance(value, Mapping):
        faults.append(Fault(where, f"a table of strings, not {_short_repr(value)}"))
        return {}
    for key, item in value.items():
        if not isinstance(item, str):
            faults.append(
                Fault(_join(where, str(key)), f"a string, not {_short_repr(item)}")
            )
    return {key: item for key, item in value.items() if isinstance(item, str)}


def _read_scalar(
    hint: Any, value: Any, where: str, option: Option, faults: list[Fault]
) -> Any:
    if hint is float and type(value) is int:
        value = float(value)
    if type(value) is not hint:
        faults.append(Fault(where, _unlike(_TYPE_PHRASES[hint], value, option)))
        return _placeholder(hint)
    if option.text_format is not None and not option.text_format.accepts(value):
        faults.append(
            Fault(where, f"{option.text_format.expected}, not {_short_repr(value)}")
        )
    if option.choices and value not in option.choices:
        alternatives = " or ".join(option.choices)
        faults.append(Fault(where, f"{alternatives}, not {_short_repr(value)}"))
    if option.minimum is not None and value < option.minimum:
        limit = f"at least {option.minimum}"
        faults.append(Fault(where, f"{_TYPE_PHRASES[hint]} of {limit}, not {value}"))
    if option.maximum is not None and value > option.maximum:
        limit = f"at most {option.maximum}"
        faults.append(Fault(where, f"{_TYPE_PHRASES[hint]} of {limit}, not {value}"))
    return value


_TYPE_PHRASES = {
    str: "a string",
    int: "an integer",
    float: "a number",
    bool: "true or false",
}


def _join(where: str, name: str) -> str:
    return f"{where}.{name}" if where else name


def _unlike(expected: str, value: object, option: Option) -> str:
    return expected if option.is_secret else f"{expected}, not {_short_repr(value)}"


def _short_repr(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 40 else f"{text[:37]}..."


__all__ = [
    "Fault",
    "Option",
    "OptionEntry",
    "TextFormat",
    "iter_options",
    "read_document",
    "read_record",
]
