"""Versions of the operator file."""

import hashlib
from collections import OrderedDict
from dataclasses import asdict
from datetime import UTC, datetime
from operator import attrgetter
from typing import Any

from cuminbend.config import Configuration, parse_configuration
from cuminbend.exceptions import ConfigurationError
from cuminbend.replicated._commands import (
    ApplyConfiguration,
    ApplyResult,
    ConfigurationSummary,
)
from cuminbend.replicated._limits import StateLimits

__all__ = ["ConfigurationTable"]

_MAX_APPLY_ID_CHARS = 200

_verdict = attrgetter("accepted", "version", "version_in_force", "problems")


class ConfigurationTable:
    """The file in force, its predecessors, and the verdict on each apply.

    Problems of refused files contain texts of the TOML parser and of pydantic, so
    voters with different versions of them may word a refusal differently.
    """

    def __init__(self, *, limits: StateLimits) -> None:
        self._limits = limits
        self.version = 0
        self.text = ""
        self.configuration: Configuration | None = None
        self.summaries: list[ConfigurationSummary] = []
        self._texts: OrderedDict[int, str] = OrderedDict()
        self._verdicts: OrderedDict[str, tuple[str, ApplyResult]] = OrderedDict()

    def apply(self, command: ApplyConfiguration, now_ms: float) -> ApplyResult:
        """Return the verdict on an apply, and put the file in force if it is accepted.

        A file equal to the one in force becomes a version of its own, so that each
        version has exactly one apply that won it.
        """
        if not 0 < len(command.apply_id) <= _MAX_APPLY_ID_CHARS:
            return self._refusal(
                f"the apply id needs 1 to {_MAX_APPLY_ID_CHARS} characters"
            )
        digest = hashlib.sha256(command.text.encode()).hexdigest()
        if (known := self._verdicts.get(command.apply_id)) is not None:
            if known[0] == digest:
                return known[1]
            return self._refusal(
                f"the apply id {command.apply_id!r} was used with another file; "
                "apply again with a new one"
            )
        result = self._judge(command, now_ms)
        self._verdicts[command.apply_id] = (digest, result)
        while len(self._verdicts) > self._limits.verdicts:
            self._verdicts.popitem(last=False)
        return result

    def _judge(self, command: ApplyConfiguration, now_ms: float) -> ApplyResult:
        if command.base_version != self.version:
            return self._refusal()
        try:
            configuration = parse_configuration(command.text)
        except ConfigurationError as error:
            return self._refusal(*error.problems)
        self.version += 1
        self.text = command.text
        self.configuration = configuration
        self.summaries.append(
            ConfigurationSummary(
                version=self.version,
                apply_id=command.apply_id,
                operator=command.operator,
                at=datetime.fromtimestamp(now_ms / 1000, UTC).isoformat(),
                size_bytes=len(command.text.encode()),
            )
        )
        del self.summaries[: -self._limits.summaries]
        self._texts[self.version] = command.text
        while len(self._texts) > self._limits.past_texts:
            self._texts.popitem(last=False)
        return ApplyResult(True, self.version, self.version)

    def _refusal(self, *problems: str) -> ApplyResult:
        kept = problems[: self._limits.problems]
        if len(problems) > len(kept):
            kept = (*kept, f"and {len(problems) - len(kept)} more problems")
        return ApplyResult(False, 0, self.version, kept)

    def text_of(self, version: int) -> str | None:
        """Return the text of a version, or None if it is not kept."""
        return self._texts.get(version)

    def snapshot(self) -> dict[str, Any]:
        """Return the table as JSON values."""
        return {
            "version": self.version,
            "summaries": [asdict(item) for item in self.summaries],
            "texts": list(self._texts.items()),
            "verdicts": [
                (apply_id, digest, _verdict(result))
                for apply_id, (digest, result) in self._verdicts.items()
            ],
        }

    def restore(self, data: dict[str, Any]) -> None:
        """Replace the table by one that :meth:`snapshot` returned."""
        self.version = data["version"]
        self.summaries = [ConfigurationSummary(**item) for item in data["summaries"]]
        self._texts = OrderedDict((version, text) for version, text in data["texts"])
        self.text = self._texts.get(self.version, "")
        self.configuration = parse_configuration(self.text) if self.version else None
        self._verdicts = OrderedDict()
        for apply_id, digest, (accepted, version, in_force, problems) in data[
            "verdicts"
        ]:
            result = ApplyResult(accepted, version, in_force, tuple(problems))
            self._verdicts[apply_id] = (digest, result)
