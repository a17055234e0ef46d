"""Converts the library's data classes to generated messages and back.

A data class and its message have the same name and the same field names. Three types
need a rule of their own: a tuple of pairs is a repeated message with two fields in
order, an optional tuple has a ``has_`` flag, and an enumeration is sent as text.
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
_FieldWriter = Callable[[Any, Any], None]
_FieldReader = Callable[[Any], Any]


def to_wire(value: Any) -> Any:
    """Return the generated message for a data class."""
    data_class: Any = type(value)
    message_class, field_writers, has_version = _message_class_and_writers(data_class)
    message = message_class()
    if has_version:
        message.protocol_version = PROTOCOL_VERSION
    for name, write in field_writers:
        item = getattr(value, name)
        if item is not None:
            write(message, item)
    return message


def from_wire(data_class: type[T], message: Any) -> T:
    """Return the data class for a generated message."""
    cache_key: Any = data_class
    return data_class(*[read(message) for read in _field_readers(cache_key)])


@cache
def _message_class_and_writers(
    data_class: Any,
) -> tuple[Any, list[tuple[str, _FieldWriter]], bool]:
    message_class = getattr(pb, data_class.__name__)
    type_hints = typing.get_type_hints(data_class)
    field_writers = [
        (
            field.name,
            _make_field_writer(message_class, field.name, type_hints[field.name]),
        )
        for field in dataclasses.fields(data_class)
    ]
    has_version = "protocol_version" in message_class.DESCRIPTOR.fields_by_name
    return message_class, field_writers, has_version


def _make_field_writer(message_class: Any, name: str, type_hint: Any) -> _FieldWriter:
    inner_type, is_optional = _strip_optional(type_hint)
    if typing.get_origin(inner_type) is tuple:
        return _make_tuple_writer(
            message_class, name, typing.get_args(inner_type)[0], is_optional
        )
    if dataclasses.is_dataclass(inner_type):
        return lambda message, item: getattr(message, name).CopyFrom(to_wire(item))
    if isinstance(inner_type, type) and issubclass(inner_type, Enum):
        return lambda message, item: setattr(message, name, item.value)
    return lambda message, item: setattr(message, name, item)


def _make_tuple_writer(
    message_class: Any, name: str, element_type: Any, is_optional: bool
) -> _FieldWriter:
    def extend(message: Any, items: Any) -> None:
        if is_optional:
            setattr(message, f"has_{name}", True)
        if dataclasses.is_dataclass(element_type):
            getattr(message, name).extend([to_wire(item) for item in items])
        else:
            getattr(message, name).extend(items)

    def extend_pairs(message: Any, items: Any) -> None:
        for item in items:
            pair_message = getattr(message, name).add()
            for descriptor, part in zip(
                pair_message.DESCRIPTOR.fields, item, strict=True
            ):
                setattr(pair_message, descriptor.name, part)

    return extend_pairs if typing.get_origin(element_type) is tuple else extend


@cache
def _field_readers(data_class: Any) -> list[_FieldReader]:
    type_hints = typing.get_type_hints(data_class)
    descriptor = getattr(pb, data_class.__name__).DESCRIPTOR
    return [
        _make_field_reader(descriptor, field.name, type_hints[field.name])
        for field in dataclasses.fields(data_class)
    ]


def _make_field_reader(descriptor: Any, name: str, type_hint: Any) -> _FieldReader:
    inner_type, is_optional = _strip_optional(type_hint)
    if typing.get_origin(inner_type) is tuple:
        return _make_tuple_reader(name, typing.get_args(inner_type)[0], is_optional)
    convert = _make_converter(inner_type)
    if is_optional:
        return lambda message: (
            convert(getattr(message, name)) if message.HasField(name) else None
        )
    return lambda message: convert(getattr(message, name))


def _make_tuple_reader(name: str, element_type: Any, is_optional: bool) -> _FieldReader:
    is_pair = typing.get_origin(element_type) is tuple
    convert: _FieldReader = _read_pair if is_pair else _make_converter(element_type)

    def read(message: Any) -> Any:
        if is_optional and not getattr(message, f"has_{name}"):
            return None
        return tuple([convert(item) for item in getattr(message, name)])

    return read


def _read_pair(item: Any) -> Any:
    return tuple(
        getattr(item, descriptor.name) for descriptor in item.DESCRIPTOR.fields
    )


def _make_converter(value_type: Any) -> Callable[[Any], Any]:
    if dataclasses.is_dataclass(value_type):
        return lambda item: from_wire(typing.cast(type, value_type), item)
    if isinstance(value_type, type) and issubclass(value_type, Enum):
        return value_type
    return lambda item: item


def _strip_optional(type_hint: Any) -> tuple[Any, bool]:
    if typing.get_origin(type_hint) in (types.UnionType, typing.Union):
        inner_type = [
            item for item in typing.get_args(type_hint) if item is not type(None)
        ]
        return inner_type[0], True
    return type_hint, False
