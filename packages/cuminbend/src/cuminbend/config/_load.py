"""Parsing of an operator file into a :class:`Configuration`."""

import re
import tomllib
from collections.abc import Iterator, Sequence
from functools import lru_cache

from pydantic import ValidationError

from cuminbend.config._locate import COMMENT, STRING, KeyLocator
from cuminbend.config._models import FileModel
from cuminbend.config._types import (
    Configuration,
    DataCentreConfig,
    MemberConfig,
    ServiceConfig,
)
from cuminbend.exceptions import ConfigurationError

# A file with a few thousand services has about 1 MiB; a larger file than this limit is
# a mistake.
MAX_FILE_BYTES = 4 * 1024 * 1024

# tomllib recurses for each level of arrays and inline tables, so without a limit the
# depth of the stack would decide whether a voter accepts a file. The time that tomllib
# takes for a dotted key grows with the square of the number of its parts.
MAX_NESTING = 16
MAX_KEY_PARTS = 16

_TOKEN = re.compile(rf"({COMMENT})|({STRING})|([\[{{])|([\]}}])", re.DOTALL)
# The look-behind keeps the search time linear in the length of one word.
_LONG_KEY = re.compile(
    r"(?<![A-Za-z0-9_\-])"
    rf"(?:[A-Za-z0-9_\-]++[ \t]*+\.[ \t]*+){{{MAX_KEY_PARTS}}}"
)

# Location of a fault in the document, and its description.
Fault = tuple[tuple[str | int, ...], str]

# Messages with a remedy for the most frequent faults, by pydantic error type.
_REMEDIES = {
    "extra_forbidden": "unknown key; remove it or correct its spelling",
    "missing": "this key is missing; add it",
}


@lru_cache(maxsize=2)
def parse_configuration(text: str) -> Configuration:
    """Parse and validate an operator file.

    The last results are cached, so that a voter that parsed a received file in a worker
    thread does not block its event loop when it applies the file.

    Args:
        text: The whole file.

    Raises:
        ConfigurationError: If the file is not valid, with one problem per fault, each
            with its line.
    """
    if len(text.encode(errors="surrogatepass")) > MAX_FILE_BYTES:
        raise ConfigurationError(
            [
                f"line 1: the file is larger than {MAX_FILE_BYTES} bytes; "
                "split it over several clusters"
            ]
        )
    _check_nesting_and_keys(text)
    try:
        document = tomllib.loads(text)
    except ValueError as error:
        # Besides syntax errors, int() raises ValueError for thousands of digits.
        raise ConfigurationError([_describe_syntax_error(text, error)]) from error
    try:
        model = FileModel.model_validate(document)
    except ValidationError as error:
        locator = KeyLocator(text)
        raise ConfigurationError(
            [
                f"line {locator.find_line(item['loc'])}: "
                f"{'.'.join(str(part) for part in item['loc'])}: "
                f"{_REMEDIES.get(item['type'], item['msg'])}"
                for item in error.errors(include_url=False, include_context=False)
            ]
        ) from error
    faults = list(_find_inconsistencies(model))
    if faults:
        locator = KeyLocator(text)
        raise ConfigurationError(
            [
                f"line {locator.find_line(location)}: {fault}"
                for location, fault in faults
            ]
        )
    return _to_configuration(model)


def _check_nesting_and_keys(text: str) -> None:
    """Refuse a file with too deep nesting or too long keys for the TOML parser.

    The keys are searched for in a copy of the text without comments. In the copy, each
    string is replaced by ``s``, so that it counts as one part of a key, and each
    bracket by a line break, so that it ends a key.

    Raises:
        ConfigurationError: If a limit is exceeded, with the line.
    """
    text_parts: list[str] = []
    depth = position = 0
    for match in _TOKEN.finditer(text):
        comment, string, opening, closing = match.groups()
        text_parts.append(text[position : match.start()])
        position = match.end()
        if string:
            text_parts.append("s")
        depth += bool(opening) - bool(closing)
        if depth > MAX_NESTING:
            line = text.count("\n", 0, match.start()) + 1
            raise ConfigurationError(
                [
                    f"line {line}: arrays and tables are nested more than "
                    f"{MAX_NESTING} deep; no key needs that"
                ]
            )
        if comment is None and string is None:
            text_parts.append("\n")
    text_parts.append(text[position:])
    if _LONG_KEY.search("".join(text_parts)):
        raise ConfigurationError(
            [f"line 1: a key has more than {MAX_KEY_PARTS} parts; no key needs that"]
        )


def _describe_syntax_error(text: str, error: ValueError) -> str:
    match = re.search(r"at line (\d+)", str(error))
    line = match.group(1) if match else text.count("\n") + 1
    return f"line {line}: not valid TOML: {error}"


def _find_inconsistencies(model: FileModel) -> Iterator[Fault]:
    for section in ("data_centres", "members", "services"):
        yield from _find_duplicate_names(section, getattr(model, section))
    member_names = {member.name for member in model.members}
    service_names = {service.name for service in model.services}
    for index, member in enumerate(model.members):
        if member.default_deadline_ms > member.max_deadline_ms:
            location: tuple[str | int, ...] = ("members", index, "default_deadline_ms")
            yield (
                location,
                f"members.{index}: default_deadline_ms is above "
                "max_deadline_ms; lower it or raise max_deadline_ms",
            )
    declarations_by_group: dict[str, tuple[frozenset[str], str]] = {}
    for index, service in enumerate(model.services):
        for name in service.members:
            if name not in member_names:
                location = ("services", index, "members")
                yield (
                    location,
                    f"services.{index}: member {name!r} is not declared; "
                    "add a [[members]] table or remove the name",
                )
        group = service.group or service.name
        if group in service_names and group != service.name:
            location = ("services", index, "group")
            yield (
                location,
                f"services.{index}: group {group!r} is also the name of "
                "a service; choose another group name",
            )
        declaration = (frozenset(service.shards), service.mode.value)
        first_declaration = declarations_by_group.setdefault(group, declaration)
        if first_declaration != declaration:
            location = ("services", index)
            yield (
                location,
                f"services.{index}: all services of group {group!r} need "
                "the same partitionings and the same mode",
            )


def _find_duplicate_names(section: str, items: Sequence[object]) -> Iterator[Fault]:
    seen: set[str] = set()
    for index, item in enumerate(items):
        name = str(getattr(item, "name", ""))
        if name in seen:
            location = (section, index, "name")
            yield (
                location,
                f"{section}.{index}: the name {name!r} stands twice; "
                "rename or remove one",
            )
        seen.add(name)


def _to_configuration(model: FileModel) -> Configuration:
    return Configuration(
        cluster=model.cluster.name,
        without_quorum=model.cluster.without_quorum,
        claim_retention_s=model.cluster.claim_retention_s,
        data_centres=tuple(
            DataCentreConfig(**data_centre.model_dump())
            for data_centre in model.data_centres
        ),
        members=tuple(MemberConfig(**member.model_dump()) for member in model.members),
        services=tuple(
            ServiceConfig(
                **{**service.model_dump(), "group": service.group or service.name}
            )
            for service in model.services
        ),
    )
