"""Read KNOWN-RED.txt, the list of tests and figures that fail because of an unfixed fault."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

KNOWN_RED_FILE = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
FIELDS = ("test", "command", "seen", "issue")


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A known failure; `test` is a pytest node id or `bench:GROUP.FIGURE`."""

    test: str
    command: str
    seen: str
    issue: str


class KnownRedError(ValueError):
    """A line of the list does not contain the four fields of an entry."""


def load_known_red(path: Path = KNOWN_RED_FILE) -> Mapping[str, KnownRed]:
    """Return the entries by test, or raise KnownRedError.

    The result is empty if the file does not exist.
    """
    if not path.exists():
        return {}
    entries: dict[str, KnownRed] = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if line.strip() and not line.startswith("#"):
            entry = _entry(line, number)
            entries[entry.test] = entry
    return entries


def _entry(line: str, number: int) -> KnownRed:
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != len(FIELDS) or not all(fields):
        raise KnownRedError(f"line {number}: expected {' | '.join(FIELDS)}, found {line!r}")
    return KnownRed(*fields)
