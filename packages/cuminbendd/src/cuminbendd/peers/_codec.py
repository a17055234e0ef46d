"""Converts the library's data classes to generated messages and back.

A data class and its message have the same name and the same field names. Three
shapes need a rule: a tuple of pairs is a repeated message with two fields in order,
an optional tuple has a ``has_`` flag, and an enumeration travels as text.
"""

import dataclasses
import types
import typing
from collections.abc import Callable
from enum import Enum
from functools import cache
from typing import Any, TypeVar

from cuminbendd.proto import cuminbend_v1_pb2 as pb

PROTOCOL_VERSION = 1

T = TypeVar("T")
_Write = Callable[[Any, Any], None]
_Read = Callable[[Any], Any]


def to_wire(value: Any) -> Any:
    """Return the generated message for a data class."""
    data_class: Any = type(value)
    message_class, plan, versioned = _writers(data_class)
    message = message_class()
    if versioned:
        message.protocol_version = PROTOCOL_VERSION
    for name, write in plan:
        item = getattr(value, name)
        if item is not None:
            write(message, item)
    return message


def from_wire(data_class: type[T], message: Any) -> T:
    """Return the data class for a generated message."""
    key: Any = data_class
    return data_class(*[read(message) for read in _readers(key)])


@cache
def _writers(data_class: Any) -> tuple[Any, list[tuple[str, _Write]], bool]:
    message_class = getattr(pb, data_class.__name__)
    hints = typing.get_type_hints(data_class)
    plan = [
        (field.name, _writer(message_class, field.name, hints[field.name]))
        for field in dataclasses.fields(data_class)
    ]
    versioned = "protocol_version" in message_class.DESCRIPTOR.fields_by_name
    return message_class, plan, versioned


def _writer(message_class: Any, name: str, hint: Any) -> _Write:
    inner, optional = _strip_optional(hint)
    if typing.get_origin(inner) is tuple:
        return _tuple_writer(message_class, name, typing.get_args(inner)[0], optional)
    if dataclasses.is_dataclass(inner):
        return lambda message, item: getattr(message, name).CopyFrom(to_wire(item))
    if isinstance(inner, type) and issubclass(inner, Enum):
        return lambda message, item: setattr(message, name, item.value)
    return lambda message, item: setattr(message, name, item)


def _tuple_writer(
    message_class: Any, name: str, element: Any, optional: bool
) -> _Write:
    def extend(message: Any, items: Any) -> None:
        if optional:
            setattr(message, f"has_{name}", True)
        if dataclasses.is_dataclass(element):
            getattr(message, name).extend([to_wire(item) for item in items])
        else:
            getattr(message, name).extend(items)

    def extend_pairs(message: Any, items: Any) -> None:
        for item in items:
            added = getattr(message, name).add()
            for descriptor, part in zip(added.DESCRIPTOR.fields, item, strict=True):
                setattr(added, descriptor.name, part)

    return extend_pairs if typing.get_origin(element) is tuple else extend


@cache
def _readers(data_class: Any) -> list[_Read]:
    hints = typing.get_type_hints(data_class)
    descriptor = getattr(pb, data_class.__name__).DESCRIPTOR
    return [
        _reader(descriptor, field.name, hints[field.name])
        for field in dataclasses.fields(data_class)
    ]


def _reader(descriptor: Any, name: str, hint: Any) -> _Read:
    inner, optional = _strip_optional(hint)
    if typing.get_origin(inner) is tuple:
        return _tuple_reader(name, typing.get_args(inner)[0], optional)
    convert = _converter(inner)
    if optional:
        return lambda message: (
            convert(getattr(message, name)) if message.HasField(name) else None
        )
    return lambda message: convert(getattr(message, name))


def _tuple_reader(name: str, element: Any, optional: bool) -> _Read:
    is_pair = typing.get_origin(element) is tuple
    convert: _Read = _read_pair if is_pair else _converter(element)

    def read(message: Any) -> Any:
        if optional and not getattr(message, f"has_{name}"):
            return None
        return tuple([convert(item) for item in getattr(message, name)])

    return read


def _read_pair(item: Any) -> Any:
    return tuple(
        getattr(item, descriptor.name) for descriptor in item.DESCRIPTOR.fields
    )


def _converter(kind: Any) -> Callable[[Any], Any]:
    if dataclasses.is_dataclass(kind):
        return lambda item: from_wire(typing.cast(type, kind), item)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return kind
    return lambda item: item


def _strip_optional(hint: Any) -> tuple[Any, bool]:
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        inner = [item for item in typing.get_args(hint) if item is not type(None)]
        return inner[0], True
    return hint, False
