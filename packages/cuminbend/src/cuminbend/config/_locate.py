"""Line numbers of the keys of a TOML file, which tomllib does not report."""

import re
import tomllib
from collections import Counter
from collections.abc import Sequence

__all__ = ["KeyLocator"]

KeyPath = tuple[str | int, ...]

# Closing quotes are optional, so that an unterminated string is matched once instead of
# being searched for again from each of its characters.
STRING = (
    r'"""(?:\\.|[^\\])*?(?:"{3,5}|\Z)'
    r"|'''.*?(?:'{3,5}|\Z)"
    r'|"(?:\\.|[^"\\\n])*+"?'
    r"|'[^'\n]*+'?"
)
COMMENT = r"#[^\n]*"

_BLANK_PATTERN = re.compile(rf"(?:[ \t\r\n]|{COMMENT})*+")
_KEY_PART_PATTERN = re.compile(
    rf"[ \t]*(?:([A-Za-z0-9_\-]+)|({STRING}))[ \t]*", re.DOTALL
)
_STRING_PATTERN = re.compile(STRING, re.DOTALL)
_PLAIN_VALUE_PATTERN = re.compile(r"[^,\]}\n#]*+")


class KeyLocator:
    """Finds the line of a key or element by its path.

    Args:
        text: A file that tomllib accepts. The lines found for any other text are
            undefined.
    """

    def __init__(self, text: str) -> None:
        self._text = text.replace("\r\n", "\n")
        self._position = 0
        self._counted_position = 0
        self._line = 1
        self._lines: dict[KeyPath, int] = {(): 1}
        self._element_counts: Counter[KeyPath] = Counter()
        self._parse_file()

    def find_line(self, location: Sequence[str | int]) -> int:
        """Return the line of the longest known prefix of a location, or 1."""
        for length in range(len(location), 0, -1):
            found = self._lines.get(tuple(location[:length]))
            if found is not None:
                return found
        return 1

    def _parse_file(self) -> None:
        table: KeyPath = ()
        while self._skip_blanks():
            if self._text[self._position] == "[":
                table = self._parse_header()
            else:
                self._parse_key_and_value(table)

    def _parse_header(self) -> KeyPath:
        is_array = self._text.startswith("[[", self._position)
        self._position += 2 if is_array else 1
        path: KeyPath = ()
        parts = self._parse_key()
        for part in parts[:-1]:
            path = self._last_element((*path, part))
        path = (*path, parts[-1])
        self._record_line(path)
        if is_array:
            self._element_counts[path] += 1
            path = self._last_element(path)
            self._record_line(path)
        self._position = self._text.index("]", self._position)
        self._position += 2 if is_array else 1
        return path

    def _last_element(self, path: KeyPath) -> KeyPath:
        count = self._element_counts[path]
        return (*path, count - 1) if count else path

    def _parse_key_and_value(self, table: KeyPath) -> None:
        path = table
        for part in self._parse_key():
            path = (*path, part)
            self._record_line(path)
        self._position = self._text.index("=", self._position) + 1
        self._parse_value(path)

    def _parse_key(self) -> list[str]:
        parts = []
        while match := _KEY_PART_PATTERN.match(self._text, self._position):
            bare, quoted = match.groups()
            parts.append(bare or tomllib.loads(f"key = {quoted}")["key"])
            self._position = match.end()
            if not self._text.startswith(".", self._position):
                break
            self._position += 1
        return parts

    def _parse_value(self, path: KeyPath) -> None:
        self._skip_blanks()
        self._record_line(path)
        if self._text[self._position] == "[":
            self._parse_elements(path, "]")
        elif self._text[self._position] == "{":
            self._parse_elements(path, "}")
        else:
            pattern = (
                _STRING_PATTERN
                if self._text[self._position] in "\"'"
                else _PLAIN_VALUE_PATTERN
            )
            match = pattern.match(self._text, self._position)
            self._position = match.end() if match else len(self._text)

    def _parse_elements(self, path: KeyPath, end: str) -> None:
        self._position += 1
        index = 0
        while self._skip_blanks() and self._text[self._position] != end:
            if end == "]":
                self._parse_value((*path, index))
            else:
                self._parse_key_and_value(path)
            index += 1
            if self._skip_blanks() and self._text[self._position] == ",":
                self._position += 1
        self._position += 1

    def _skip_blanks(self) -> bool:
        """Skip blanks and comments; return whether any text is left."""
        match = _BLANK_PATTERN.match(self._text, self._position)
        self._position = match.end() if match else self._position
        return self._position < len(self._text)

    def _record_line(self, path: KeyPath) -> None:
        self._line += self._text.count("\n", self._counted_position, self._position)
        self._counted_position = self._position
        self._lines.setdefault(path, self._line)
