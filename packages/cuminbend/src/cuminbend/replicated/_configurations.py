"""Table of the versions of the operator file."""

import hashlib
import logging
from collections import OrderedDict
from dataclasses import asdict
from datetime import UTC, datetime
from operator import attrgetter
from typing import Any

from cuminbend.config import (
    Configuration,
    parse_accepted_configuration,
    parse_configuration,
)
from cuminbend.exceptions import ConfigurationError
from cuminbend.replicated._commands import (
    ApplyConfiguration,
    ApplyResult,
    ConfigurationSummary,
    ConfigurationVerdict,
)
from cuminbend.replicated._limits import StateLimits

__all__ = ["ConfigurationTable", "judge_file"]

_log = logging.getLogger(__name__)

_MAX_APPLY_ID_CHARS = 200
# Bounds the size of the command of a file with a fault in each line.
_MAX_VERDICT_PROBLEMS = 1000

_result_values = attrgetter("accepted", "version", "version_in_force", "problems")


def judge_file(text: str) -> ConfigurationVerdict:
    """Return whether an operator file is valid for this release, and why not."""
    try:
        configuration = parse_configuration(text)
    except ConfigurationError as error:
        return ConfigurationVerdict(tuple(error.problems[:_MAX_VERDICT_PROBLEMS]), 0)
    return ConfigurationVerdict((), configuration.claim_retention_s)


class ConfigurationTable:
    """The file in force, earlier versions, and the result of each apply.

    A file is judged once, by the proposer of its apply. Commands of releases that sent
    no verdict are judged here; their problems contain messages of the TOML parser and
    of pydantic, which may differ between voters that run different versions of these
    libraries.

    Attributes:
        version: Version in force, 0 before the first.
        text: Text of the file in force, empty before the first.
        configuration: The file in force as this release can use it, or None before the
            first. It may differ between releases, so the results of commands do not
            depend on it.
        claim_retention_s: Time for which claims are kept; None before the first file.
        summaries: History of the last versions, newest last.
    """

    def __init__(self, *, limits: StateLimits) -> None:
        self._limits = limits
        self.version = 0
        self.text = ""
        self.configuration: Configuration | None = None
        self.claim_retention_s: int | None = None
        self.summaries: list[ConfigurationSummary] = []
        self._texts: OrderedDict[int, str] = OrderedDict()
        self._results_by_apply_id: OrderedDict[str, tuple[str, ApplyResult]] = (
            OrderedDict()
        )

    def apply(self, command: ApplyConfiguration, now_ms: float) -> ApplyResult:
        """Return the result of an apply, and put the file in force if it is accepted.

        A file equal to the one in force gets a new version, so that exactly one apply
        is accepted for each version. An apply sent again gets its first result.
        """
        if not 0 < len(command.apply_id) <= _MAX_APPLY_ID_CHARS:
            return self._build_refusal(
                f"the apply id needs 1 to {_MAX_APPLY_ID_CHARS} characters"
            )
        digest = hashlib.sha256(command.text.encode()).hexdigest()
        if (
            known_result := self._results_by_apply_id.get(command.apply_id)
        ) is not None:
            if known_result[0] == digest:
                return known_result[1]
            return self._build_refusal(
                f"the apply id {command.apply_id!r} was used with another file; "
                "apply again with a new one"
            )
        result = self._accept_or_refuse(command, now_ms)
        self._results_by_apply_id[command.apply_id] = (digest, result)
        while len(self._results_by_apply_id) > self._limits.apply_results:
            self._results_by_apply_id.popitem(last=False)
        return result

    def _accept_or_refuse(
        self, command: ApplyConfiguration, now_ms: float
    ) -> ApplyResult:
        if command.base_version != self.version:
            return self._build_refusal()
        verdict = command.verdict or judge_file(command.text)
        if verdict.problems:
            return self._build_refusal(*verdict.problems)
        self.version += 1
        self.text = command.text
        self.claim_retention_s = verdict.claim_retention_s
        self._read_text(self.version, self.text)
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
        while len(self._texts) > self._limits.texts:
            self._texts.popitem(last=False)
        return ApplyResult(True, self.version, self.version)

    def _read_text(self, version: int, text: str) -> None:
        """Parse an accepted file; one that cannot be read leaves the former in use."""
        try:
            accepted = parse_accepted_configuration(text)
        except ConfigurationError as error:
            _log.error(
                "event=configuration_unreadable version=%d error=%r",
                version,
                str(error),
            )
            return
        if accepted.problems:
            _log.error(
                "event=configuration_in_part version=%d error=%r",
                version,
                "; ".join(accepted.problems),
            )
        self.configuration = accepted.configuration

    def _build_refusal(self, *problems: str) -> ApplyResult:
        kept = problems[: self._limits.problems]
        if len(problems) > len(kept):
            kept = (*kept, f"and {len(problems) - len(kept)} more problems")
        return ApplyResult(False, 0, self.version, kept)

    def text_of(self, version: int) -> str | None:
        """Return the text of a version, or None if it is no longer kept."""
        return self._texts.get(version)

    def snapshot(self) -> dict[str, Any]:
        """Return the table as JSON values."""
        return {
            "version": self.version,
            "claim_retention_s": self.claim_retention_s,
            "summaries": [asdict(summary) for summary in self.summaries],
            "texts": list(self._texts.items()),
            "verdicts": [
                (apply_id, digest, _result_values(result))
                for apply_id, (digest, result) in self._results_by_apply_id.items()
            ],
        }

    def restore(self, data: dict[str, Any]) -> None:
        """Replace the table by one that :meth:`snapshot` returned."""
        self.version = data["version"]
        self.summaries = [
            ConfigurationSummary(**summary) for summary in data["summaries"]
        ]
        self._texts = OrderedDict((version, text) for version, text in data["texts"])
        self.text = self._texts.get(self.version, "")
        self.configuration = self.claim_retention_s = None
        if self.version:
            for version, text in reversed(self._texts.items()):
                self._read_text(version, text)
                if self.configuration is not None:
                    break
            if self.configuration is None:
                raise ConfigurationError(["no part of any accepted file can be read"])
            # Snapshots of earlier releases do not have this field.
            self.claim_retention_s = (
                data.get("claim_retention_s") or self.configuration.claim_retention_s
            )
        self._results_by_apply_id = OrderedDict()
        for apply_id, digest, (accepted, version, in_force, problems) in data[
            "verdicts"
        ]:
            result = ApplyResult(accepted, version, in_force, tuple(problems))
            self._results_by_apply_id[apply_id] = (digest, result)
