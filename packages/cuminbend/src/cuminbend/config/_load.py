"""From the text of an operator file to a :class:`Configuration`."""

import re
import tomllib
from collections import Counter
from collections.abc import Iterator, Sequence

from pydantic import ValidationError

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

_HEADER = re.compile(r"^\s*(\[{1,2})\s*([A-Za-z0-9_.\-]+)\s*\]{1,2}")
_KEY = re.compile(r"^\s*([A-Za-z0-9_\-]+)\s*=")


def parse_configuration(text: str) -> Configuration:
    """Parse and validate an operator file.

    Args:
        text: The whole file.

    Raises:
        ConfigurationError: With one problem per fault, each naming its line.
    """
    if len(text.encode()) > MAX_FILE_BYTES:
        raise ConfigurationError(
            [
                f"line 1: the file is larger than {MAX_FILE_BYTES} bytes; "
                "split it over several clusters"
            ]
        )
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError([_syntax_problem(error)]) from error
    try:
        model = FileModel.model_validate(document)
    except ValidationError as error:
        locator = _Locator(text)
        raise ConfigurationError(
            [
                f"line {locator.line(item['loc'])}: "
                f"{'.'.join(str(part) for part in item['loc'])}: {item['msg']}"
                for item in error.errors()
            ]
        ) from error
    problems = list(_cross_check(model, _Locator(text)))
    if problems:
        raise ConfigurationError(problems)
    return _to_configuration(model)


def _syntax_problem(error: tomllib.TOMLDecodeError) -> str:
    match = re.search(r"at line (\d+)", str(error))
    line = match.group(1) if match else "last"
    return f"line {line}: not valid TOML: {error}"


class _Locator:
    """Finds the line of a key, which tomllib does not report."""

    def __init__(self, text: str) -> None:
        self._lines: dict[tuple[str | int, ...], int] = {(): 1}
        table: tuple[str | int, ...] = ()
        seen: Counter[str] = Counter()
        for number, line in enumerate(text.splitlines(), start=1):
            if header := _HEADER.match(line):
                name = header.group(2)
                table = tuple(name.split("."))
                if header.group(1) == "[[":
                    table = (*table, seen[name])
                    seen[name] += 1
                self._lines.setdefault(table, number)
            elif key := _KEY.match(line):
                self._lines.setdefault((*table, key.group(1)), number)

    def line(self, location: Sequence[str | int]) -> int:
        """Return the line of the longest known prefix of a location."""
        for length in range(len(location), -1, -1):
            found = self._lines.get(tuple(location[:length]))
            if found is not None:
                return found
        return 1


def _cross_check(model: FileModel, locator: _Locator) -> Iterator[str]:
    for section in ("data_centres", "members", "services"):
        yield from _duplicates(section, getattr(model, section), locator)
    members = {member.name for member in model.members}
    names = {service.name for service in model.services}
    for index, member in enumerate(model.members):
        if member.default_deadline_ms > member.max_deadline_ms:
            line = locator.line(("members", index, "default_deadline_ms"))
            yield (
                f"line {line}: members.{index}: default_deadline_ms is above "
                "max_deadline_ms; lower it or raise max_deadline_ms"
            )
    partitionings: dict[str, tuple[frozenset[str], str]] = {}
    for index, service in enumerate(model.services):
        for name in service.members:
            if name not in members:
                line = locator.line(("services", index, "members"))
                yield (
                    f"line {line}: services.{index}: member {name!r} is not declared; "
                    "add a [[members]] table or remove the name"
                )
        group = service.group or service.name
        if group in names and group != service.name:
            line = locator.line(("services", index, "group"))
            yield (
                f"line {line}: services.{index}: group {group!r} is also the name of "
                "a service; choose another group name"
            )
        declared = (frozenset(service.shards), service.mode.value)
        first = partitionings.setdefault(group, declared)
        if first != declared:
            line = locator.line(("services", index))
            yield (
                f"line {line}: services.{index}: all services of group {group!r} need "
                "the same partitionings and the same mode"
            )


def _duplicates(
    section: str, items: Sequence[object], locator: _Locator
) -> Iterator[str]:
    seen: set[str] = set()
    for index, item in enumerate(items):
        name = str(getattr(item, "name", ""))
        if name in seen:
            line = locator.line((section, index, "name"))
            yield (
                f"line {line}: {section}.{index}: the name {name!r} stands twice; "
                "rename or remove one"
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
