"""From the text of an operator file to a :class:`Configuration`."""

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

# A file of a few thousand services is about 1 MiB; more than this is a mistake.
MAX_FILE_BYTES = 4 * 1024 * 1024

# tomllib recurses for each level of arrays and inline tables, so without a bound it
# would depend on the depth of the stack whether a voter accepts a file. The time it
# takes for a dotted key grows with the square of its parts.
MAX_NESTING = 16
MAX_KEY_PARTS = 16

_TOKEN = re.compile(rf"({COMMENT})|({STRING})|([\[{{])|([\]}}])", re.DOTALL)
# The look-behind keeps the search linear in the length of one word.
_LONG_KEY = re.compile(
    r"(?<![A-Za-z0-9_\-])"
    rf"(?:[A-Za-z0-9_\-]++[ \t]*+\.[ \t]*+){{{MAX_KEY_PARTS}}}"
)

# Location of a fault, and its text.
Fault = tuple[tuple[str | int, ...], str]

# Texts with a remedy for the faults that operators make most.
_REMEDIES = {
    "extra_forbidden": "unknown key; remove it or correct its spelling",
    "missing": "this key is missing; add it",
}


@lru_cache(maxsize=2)
def parse_configuration(text: str) -> Configuration:
    """Parse and validate an operator file.

    The last files are cached: a voter that parses a file in a worker thread when it
    receives it does not block its event loop when it applies it.

    Args:
        text: The whole file.

    Raises:
        ConfigurationError: With one problem per fault, each naming its line.
    """
    if len(text.encode(errors="surrogatepass")) > MAX_FILE_BYTES:
        raise ConfigurationError(
            [
                f"line 1: the file is larger than {MAX_FILE_BYTES} bytes; "
                "split it over several clusters"
            ]
        )
    _check_shape(text)
    try:
        document = tomllib.loads(text)
    except ValueError as error:
        # Besides syntax errors, int() raises ValueError for thousands of digits.
        raise ConfigurationError([_syntax_problem(text, error)]) from error
    try:
        model = FileModel.model_validate(document)
    except ValidationError as error:
        locator = KeyLocator(text)
        raise ConfigurationError(
            [
                f"line {locator.line(item['loc'])}: "
                f"{'.'.join(str(part) for part in item['loc'])}: "
                f"{_REMEDIES.get(item['type'], item['msg'])}"
                for item in error.errors(include_url=False, include_context=False)
            ]
        ) from error
    faults = list(_cross_check(model))
    if faults:
        locator = KeyLocator(text)
        raise ConfigurationError(
            [f"line {locator.line(place)}: {fault}" for place, fault in faults]
        )
    return _to_configuration(model)


def _check_shape(text: str) -> None:
    """Refuse a file that is too deep for the TOML parser.

    Raises:
        ConfigurationError: With the line.
    """
    skeleton: list[str] = []
    depth = position = 0
    for match in _TOKEN.finditer(text):
        comment, string, opening, closing = match.groups()
        skeleton.append(text[position : match.start()])
        position = match.end()
        if string:
            skeleton.append("s")
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
            skeleton.append("\n")
    skeleton.append(text[position:])
    if _LONG_KEY.search("".join(skeleton)):
        raise ConfigurationError(
            [f"line 1: a key has more than {MAX_KEY_PARTS} parts; no key needs that"]
        )


def _syntax_problem(text: str, error: ValueError) -> str:
    match = re.search(r"at line (\d+)", str(error))
    line = match.group(1) if match else text.count("\n") + 1
    return f"line {line}: not valid TOML: {error}"


def _cross_check(model: FileModel) -> Iterator[Fault]:
    for section in ("data_centres", "members", "services"):
        yield from _duplicates(section, getattr(model, section))
    members = {member.name for member in model.members}
    names = {service.name for service in model.services}
    for index, member in enumerate(model.members):
        if member.default_deadline_ms > member.max_deadline_ms:
            place: tuple[str | int, ...] = ("members", index, "default_deadline_ms")
            yield (
                place,
                f"members.{index}: default_deadline_ms is above "
                "max_deadline_ms; lower it or raise max_deadline_ms",
            )
    partitionings: dict[str, tuple[frozenset[str], str]] = {}
    for index, service in enumerate(model.services):
        for name in service.members:
            if name not in members:
                place = ("services", index, "members")
                yield (
                    place,
                    f"services.{index}: member {name!r} is not declared; "
                    "add a [[members]] table or remove the name",
                )
        group = service.group or service.name
        if group in names and group != service.name:
            place = ("services", index, "group")
            yield (
                place,
                f"services.{index}: group {group!r} is also the name of "
                "a service; choose another group name",
            )
        declared = (frozenset(service.shards), service.mode.value)
        first = partitionings.setdefault(group, declared)
        if first != declared:
            place = ("services", index)
            yield (
                place,
                f"services.{index}: all services of group {group!r} need "
                "the same partitionings and the same mode",
            )


def _duplicates(section: str, items: Sequence[object]) -> Iterator[Fault]:
    seen: set[str] = set()
    for index, item in enumerate(items):
        name = str(getattr(item, "name", ""))
        if name in seen:
            place = (section, index, "name")
            yield (
                place,
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
            DataCentreConfig(**item.model_dump()) for item in model.data_centres
        ),
        members=tuple(MemberConfig(**item.model_dump()) for item in model.members),
        services=tuple(
            ServiceConfig(**{**item.model_dump(), "group": item.group or item.name})
            for item in model.services
        ),
    )
