"""Finds the line of each key in a TOML text.

The TOML parser of the standard library returns values without positions.
This module only needs to be correct for texts that ``tomllib`` accepts.
"""

import dataclasses
import re

KEY_PART = r"""[A-Za-z0-9_-]+|"(?:[^"\\\n]|\\.)*"|'[^'\n]*'"""
DOTTED_KEY = rf"(?:{KEY_PART})(?:[ \t]*\.[ \t]*(?:{KEY_PART}))*"
TABLE_HEADER = re.compile(rf"[ \t]*(\[\[?)[ \t]*({DOTTED_KEY})[ \t]*\]")
ASSIGNMENT = re.compile(rf"[ \t]*({DOTTED_KEY})[ \t]*=")
TOKENS = re.compile(
    r'"""(?:[^\\]|\\.)*?"{3,5}'
    r"|'''.*?'{3,5}"
    r'|"(?:[^"\\\n]|\\.)*"'
    r"|'[^'\n]*'"
    r"|\#[^\n]*"
    r"|[\[\]{}]"
    r"|\n",
    re.DOTALL,
)

Path = tuple[str | int, ...]


@dataclasses.dataclass(slots=True)
class Locator:
    """Line numbers by path; an unknown path has the line of its parent."""

    lines: dict[Path, int]

    def line(self, path: Path) -> int:
        """Return the line number of the key at ``path``, counted from 1."""
        for length in range(len(path), 0, -1):
            if path[:length] in self.lines:
                return self.lines[path[:length]]
        return 1


def locate(text: str) -> Locator:
    """Return the line numbers of the keys in ``text``, which is valid TOML."""
    lines: dict[Path, int] = {}
    counts: dict[Path, int] = {}
    table: Path = ()
    for number, line in _statements(text):
        header = TABLE_HEADER.match(line)
        if header:
            table = _table_path(_split_key(header[2]), counts, header[1] == "[[")
            lines.setdefault(table[:1], number)
            lines.setdefault(table, number)
            continue
        assignment = ASSIGNMENT.match(line)
        if assignment:
            lines.setdefault((*table, *_split_key(assignment[1])), number)
    return Locator(lines)


def _statements(text: str) -> list[tuple[int, str]]:
    """Return number and text of each line that starts outside of a value."""
    starts = [(1, 0)]
    number, depth = 1, 0
    for token in TOKENS.finditer(text):
        token_text = token[0]
        if token_text == "\n":
            number += 1
            if depth <= 0:
                depth = 0
                starts.append((number, token.end()))
        elif token_text in ("[", "{"):
            depth += 1
        elif token_text in ("]", "}"):
            depth -= 1
        else:
            number += token_text.count("\n")
    statements = []
    for line_number, start in starts:
        end = text.find("\n", start)
        statements.append((line_number, text[start : end if end >= 0 else len(text)]))
    return statements


def _split_key(dotted: str) -> Path:
    return tuple(part.strip("\"'") for part in re.findall(KEY_PART, dotted))


def _table_path(parts: Path, counts: dict[Path, int], repeated: bool) -> Path:
    """Return the path of a table, with indexes into arrays of tables.

    The name of each array of tables is followed by the index of its current
    entry. ``repeated`` states that the header begins a new entry, which is
    counted in ``counts``.
    """
    path: Path = ()
    for position, part in enumerate(parts):
        path = (*path, part)
        is_last = position == len(parts) - 1
        if is_last and repeated:
            counts[path] = counts.get(path, 0) + 1
        if path in counts:
            path = (*path, counts[path] - 1)
    return path
