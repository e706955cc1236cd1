"""Typed documents: options declared on frozen structs, read with faults.

Settings and intent documents are structs whose fields carry a sentence of
explanation and a range. `read_record` turns a parsed TOML or JSON table into
such a struct, or lists every fault in it at once:

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
from typing import Annotated, Any, TypeVar

from msgspec import NODEFAULT, Struct, structs
from result import Err, Ok, Result

T = TypeVar("T")


class Fault(Struct, frozen=True):
    """One thing wrong in a document: where, and what was expected there."""

    where: str
    expected: str

    def __str__(self) -> str:
        return f"{self.where}: expected {self.expected}"


class Form(Struct, frozen=True):
    """What a string must look like: the words for it and the check."""

    expected: str
    accepts: Callable[[str], bool]


class Option(Struct, frozen=True):
    """The declaration of one field of a document: its sentence and its range."""

    doc: str
    minimum: int | float | None = None
    maximum: int | float | None = None
    choices: tuple[str, ...] = ()
    form: Form | None = None


class OptionEntry(Struct, frozen=True):
    """One option of a document as the page of settings lists it."""

    name: str
    type_name: str
    default: Any
    declared: Option

    @property
    def is_required(self) -> bool:
        """Return whether a document must name the option."""
        return self.default is NODEFAULT


class _Field(Struct, frozen=True):
    """One field of a document: its type, its default and its declaration."""

    name: str
    hint: Any
    default: Any
    declared: Option

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
    """Take the declaration off an annotation."""
    if typing.get_origin(hint) is not Annotated:
        return hint, default, Option("")
    declared = next(m for m in hint.__metadata__ if isinstance(m, Option))
    return hint.__origin__, default, declared


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
    """Read a table, then check it as a whole with `iter_faults`.

    The check of the whole also runs where single keys are wrong, with neutral
    values in their place: operators would otherwise mend a file, run the check
    again and find the next fault. A fault of the whole at a key that is wrong
    by itself is left out, as it would only follow from the neutral value.
    """
    faults: list[Fault] = []
    record = _read_table(cls, table, where, faults)
    known = {fault.where for fault in faults}
    faults += [fault for fault in iter_faults(record) if fault.where not in known]
    return Err(faults) if faults else Ok(record)


def iter_options(cls: type, where: str = "") -> Iterator[OptionEntry]:
    """Yield each option of a document class, by its dotted name."""
    for item in _fields_of(cls):
        name = _join(where, item.name)
        if _is_struct(item.hint):
            yield from iter_options(item.hint, name)
            continue
        type_name = _type_name(item.hint)
        yield OptionEntry(name, type_name, item.default, item.declared)


def _type_name(hint: Any) -> str:
    origin = typing.get_origin(hint)
    if origin is tuple:
        return f"list of {_type_name(typing.get_args(hint)[0])}s"
    if origin is dict:
        return "table of strings"
    if _is_struct(hint):
        return f"{hint.__name__.lower()} table"
    return {str: "string", int: "integer", float: "number", bool: "boolean"}[hint]


def _read_table(cls: Any, table: object, where: str, faults: list[Fault]) -> Any:
    if not isinstance(table, Mapping):
        faults.append(Fault(where or "document", f"a table, not {_shown(table)}"))
        return _neutral(cls)
    fields = {item.name: item for item in _fields_of(cls)}
    for key in table:
        if key not in fields:
            known = ", ".join(sorted(fields))
            faults.append(Fault(_join(where, str(key)), f"one of the keys {known}"))
    values = {}
    for name, item in fields.items():
        if name in table:
            values[name] = _read_value(
                item.hint, table[name], _join(where, name), item.declared, faults
            )
        elif item.is_required:
            faults.append(Fault(_join(where, name), "a value, this key is required"))
            values[name] = _neutral(item.hint)
    return cls(**values)


def _neutral(expected: Any) -> Any:
    """Return a value of a type, to stand for one that could not be read."""
    if _is_struct(expected):
        required = (item for item in _fields_of(expected) if item.is_required)
        return expected(**{item.name: _neutral(item.hint) for item in required})
    return (typing.get_origin(expected) or expected)()


def _read_value(
    expected: Any, value: Any, where: str, declared: Option, faults: list[Fault]
) -> Any:
    if _is_struct(expected):
        return _read_table(expected, value, where, faults)
    origin = typing.get_origin(expected)
    if origin is tuple:
        return _read_list(expected, value, where, declared, faults)
    if origin in (types.UnionType, typing.Union):
        inner = next(a for a in typing.get_args(expected) if a is not type(None))
        return _read_value(inner, value, where, declared, faults)
    if origin is dict:
        return _read_strings(value, where, faults)
    return _read_scalar(expected, value, where, declared, faults)


def _read_list(
    expected: Any, value: Any, where: str, declared: Option, faults: list[Fault]
) -> tuple[Any, ...]:
    if not isinstance(value, (list, tuple)):
        faults.append(Fault(where, f"a list, not {_shown(value)}"))
        return ()
    inner = typing.get_args(expected)[0]
    return tuple(
        _read_value(inner, item, f"{where}[{index}]", declared, faults)
        for index, item in enumerate(value)
    )


def _read_strings(value: Any, where: str, faults: list[Fault]) -> dict[str, str]:
    if not isinstance(value, Mapping):
        faults.append(Fault(where, f"a table of strings, not {_shown(value)}"))
        return {}
    for key, item in value.items():
        if not isinstance(item, str):
            faults.append(
                Fault(_join(where, str(key)), f"a string, not {_shown(item)}")
            )
    return {key: item for key, item in value.items() if isinstance(item, str)}


def _read_scalar(
    expected: Any, value: Any, where: str, declared: Option, faults: list[Fault]
) -> Any:
    if expected is float and type(value) is int:
        value = float(value)
    if type(value) is not expected:
        faults.append(Fault(where, f"{_NAMES[expected]}, not {_shown(value)}"))
        return _neutral(expected)
    if declared.form is not None and not declared.form.accepts(value):
        faults.append(Fault(where, f"{declared.form.expected}, not {_shown(value)}"))
    if declared.choices and value not in declared.choices:
        wanted = " or ".join(declared.choices)
        faults.append(Fault(where, f"{wanted}, not {_shown(value)}"))
    if declared.minimum is not None and value < declared.minimum:
        limit = f"at least {declared.minimum}"
        faults.append(Fault(where, f"{_NAMES[expected]} of {limit}, not {value}"))
    if declared.maximum is not None and value > declared.maximum:
        limit = f"at most {declared.maximum}"
        faults.append(Fault(where, f"{_NAMES[expected]} of {limit}, not {value}"))
    return value


_NAMES = {
    str: "a string",
    int: "an integer",
    float: "a number",
    bool: "true or false",
}


def _join(where: str, name: str) -> str:
    return f"{where}.{name}" if where else name


def _shown(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 40 else f"{text[:37]}..."


__all__ = [
    "Fault",
    "Form",
    "Option",
    "OptionEntry",
    "iter_options",
    "read_document",
    "read_record",
]
