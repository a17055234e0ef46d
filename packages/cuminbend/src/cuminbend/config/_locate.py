"""Lines of the keys of a TOML file, which tomllib does not report."""

import re
import tomllib
from collections import Counter
from collections.abc import Sequence

__all__ = ["KeyLocator"]

Path = tuple[str | int, ...]

# Closing quotes are optional, so that an unterminated string is passed over once and
# not searched for again from each of its characters.
STRING = (
    r'"""(?:\\.|[^\\])*?(?:"{3,5}|\Z)'
    r"|'''.*?(?:'{3,5}|\Z)"
    r'|"(?:\\.|[^"\\\n])*+"?'
    r"|'[^'\n]*+'?"
)
COMMENT = r"#[^\n]*"

_BLANK = re.compile(rf"(?:[ \t\r\n]|{COMMENT})*+")
_KEY_PART = re.compile(rf"[ \t]*(?:([A-Za-z0-9_\-]+)|({STRING}))[ \t]*", re.DOTALL)
_STRING = re.compile(STRING, re.DOTALL)
_PLAIN = re.compile(r"[^,\]}\n#]*+")


class KeyLocator:
    """Finds the line of a key or element by its path.

    Args:
        text: A file that tomllib accepts; of any other the lines are not defined.
    """

    def __init__(self, text: str) -> None:
        self._text = text.replace("\r\n", "\n")
        self._position = 0
        self._counted = 0
        self._line = 1
        self._lines: dict[Path, int] = {(): 1}
        self._elements: Counter[Path] = Counter()
        self._scan()

    def line(self, location: Sequence[str | int]) -> int:
        """Return the line of the longest known prefix of a location."""
        for length in range(len(location), 0, -1):
            found = self._lines.get(tuple(location[:length]))
            if found is not None:
                return found
        return 1

    def _scan(self) -> None:
        table: Path = ()
        while self._skip_blank():
            if self._text[self._position] == "[":
                table = self._header()
            else:
                self._key_and_value(table)

    def _header(self) -> Path:
        is_array = self._text.startswith("[[", self._position)
        self._position += 2 if is_array else 1
        path: Path = ()
        parts = self._key()
        for part in parts[:-1]:
            path = self._last_element((*path, part))
        path = (*path, parts[-1])
        self._note(path)
        if is_array:
            self._elements[path] += 1
            path = self._last_element(path)
            self._note(path)
        self._position = self._text.index("]", self._position)
        self._position += 2 if is_array else 1
        return path

    def _last_element(self, path: Path) -> Path:
        count = self._elements[path]
        return (*path, count - 1) if count else path

    def _key_and_value(self, table: Path) -> None:
        path = table
        for part in self._key():
            path = (*path, part)
            self._note(path)
        self._position = self._text.index("=", self._position) + 1
        self._value(path)

    def _key(self) -> list[str]:
        parts = []
        while match := _KEY_PART.match(self._text, self._position):
            bare, quoted = match.groups()
            parts.append(bare or tomllib.loads(f"key = {quoted}")["key"])
            self._position = match.end()
            if not self._text.startswith(".", self._position):
                break
            self._position += 1
        return parts

    def _value(self, path: Path) -> None:
        self._skip_blank()
        self._note(path)
        if self._text[self._position] == "[":
            self._items(path, "]")
        elif self._text[self._position] == "{":
            self._items(path, "}")
        else:
            pattern = _STRING if self._text[self._position] in "\"'" else _PLAIN
            match = pattern.match(self._text, self._position)
            self._position = match.end() if match else len(self._text)

    def _items(self, path: Path, end: str) -> None:
        self._position += 1
        index = 0
        while self._skip_blank() and self._text[self._position] != end:
            if end == "]":
                self._value((*path, index))
            else:
                self._key_and_value(path)
            index += 1
            if self._skip_blank() and self._text[self._position] == ",":
                self._position += 1
        self._position += 1

    def _skip_blank(self) -> bool:
        """Move to the next character that means something, if there is one."""
        match = _BLANK.match(self._text, self._position)
        self._position = match.end() if match else self._position
        return self._position < len(self._text)

    def _note(self, path: Path) -> None:
        self._line += self._text.count("\n", self._counted, self._position)
        self._counted = self._position
        self._lines.setdefault(path, self._line)
