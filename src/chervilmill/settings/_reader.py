"""Read the members of decoded settings and collect every mistake with its path."""

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, TypeVar

from chervilmill.addresses import Address, parse_address

T = TypeVar("T")

MAX_NAME_LENGTH = 64
MAX_SHOWN_LENGTH = 80
MAX_TEXT_LENGTH = 200

_NAME = re.compile(rf"[A-Za-z0-9_.-]{{1,{MAX_NAME_LENGTH}}}")
_UNSET_ADDRESS = Address("0.0.0.0", 1)


class SettingError(ValueError):
    """An invalid setting: its path, the value found and the values allowed."""

    def __init__(self, path: str, found: str, allowed: str) -> None:
        super().__init__(f"{path}: found {found}, allowed is {allowed}")
        self.path = path
        self.found = found
        self.allowed = allowed


def _is_name(value: object) -> bool:
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def format_value(value: object) -> str:
    """Return the text of a value for an error message, truncated if it is long."""
    if value is None:
        return "nothing"
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_LENGTH else text[:MAX_SHOWN_LENGTH] + "..."


@dataclass(slots=True)
class Reader:
    """A reader of the members of one decoded object.

    A method that meets a mistake adds it to `problems` and returns a placeholder, so that one pass
    finds all mistakes. `known_keys` collects the keys that were read.
    """

    raw: dict[str, Any]
    path: str
    problems: list[SettingError]
    known_keys: set[str] = field(default_factory=set)

    def name(self, key: str) -> str:
        """Return a name that is safe in paths and metric labels."""
        value = self._get(key)
        if _is_name(value):
            return str(value)
        self._add_value_problem(
            key, value, f"1 to {MAX_NAME_LENGTH} characters of A-Z a-z 0-9 _ . -"
        )
        return ""

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string of 1 to 200 characters, or the default if the key is missing."""
        value = self._get(key)
        if value is None and default is not None:
            return default
        if isinstance(value, str) and 1 <= len(value) <= MAX_TEXT_LENGTH:
            return value
        self._add_value_problem(key, value, f"a string of 1 to {MAX_TEXT_LENGTH} characters")
        return ""

    def secret(self, key: str) -> str:
        """Return a string of 16 to 200 characters, which no error message repeats."""
        value = self._get(key)
        if isinstance(value, str) and 16 <= len(value) <= 200:
            return value
        found = "nothing" if value is None else f"a {type(value).__name__}"
        self._add_problem(key, found, "a string of 16 to 200 characters")
        return ""

    def integer(self, key: str, least: int, most: int, default: int | None = None) -> int:
        """Return an integer from `least` to `most`, or the default if the key is missing."""
        value = self._get(key)
        if value is None and default is not None:
            return default
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if is_integer and least <= value <= most:
            return int(value)
        self._add_value_problem(key, value, f"a whole number from {least} to {most}")
        return least

    def flag(self, key: str) -> bool:
        """Return a boolean."""
        value = self._get(key)
        if isinstance(value, bool):
            return value
        self._add_value_problem(key, value, "true or false")
        return False

    def address(self, key: str) -> Address:
        """Return an address written as `IP:port`."""
        value = self._get(key)
        try:
            return parse_address(value)
        except (ValueError, AttributeError):
            self._add_value_problem(key, value, "an address as IP:port")
            return _UNSET_ADDRESS

    def addresses(self, key: str) -> tuple[Address, ...]:
        """Return a list of addresses, empty if the key is missing."""
        value = self._get(key)
        if value is None:
            return ()
        try:
            return tuple(parse_address(item) for item in value)
        except (AttributeError, TypeError, ValueError):
            self._add_value_problem(key, value, "a list of IP:port")
            return ()

    def one_of(self, key: str, allowed: tuple[str, ...]) -> str:
        """Return one of the allowed strings."""
        value = self._get(key)
        if isinstance(value, str) and value in allowed:
            return value
        self._add_value_problem(key, value, "one of " + ", ".join(allowed))
        return ""

    def names(self, key: str) -> tuple[str, ...]:
        """Return a non-empty list of distinct names."""
        value = self._get(key)
        is_list = isinstance(value, list) and bool(value)
        if is_list and all(_is_name(item) for item in value) and len(set(value)) == len(value):
            return tuple(value)
        self._add_value_problem(key, value, "a list of distinct names")
        return ()

    def child(self, key: str) -> "Reader":
        """Return a reader for the object under a key.

        A value that is not an object is reported as the only mistake. The mistakes that the
        returned reader meets are then dropped.
        """
        value = self._get(key)
        if not isinstance(value, dict):
            self._add_value_problem(key, value, "an object")
            value = {}
            return Reader(value, self._path(key), [])
        return Reader(value, self._path(key), self.problems)

    def items(
        self, key: str, read: Callable[["Reader"], T], *, min_items: int = 1
    ) -> tuple[T, ...]:
        """Return the result of `read` for each object of a list of at least `min_items` objects."""
        value = self._get(key)
        if not isinstance(value, list) or len(value) < min_items:
            self._add_value_problem(key, value, f"a list of at least {min_items} objects")
            return ()
        return tuple(self._read_items(key, value, read))

    def report_unknown_keys(self) -> None:
        """Report every key that was not read as unknown."""
        for key in self.raw:
            if key not in self.known_keys:
                self._add_problem(
                    key, "an unknown key", "one of " + ", ".join(sorted(self.known_keys))
                )

    def report(self, key: str, found: str, allowed: str) -> None:
        """Report a mistake that the user of this reader found in a member."""
        self._add_problem(key, found, allowed)

    def _read_items(
        self, key: str, values: list[Any], read: Callable[["Reader"], T]
    ) -> Iterator[T]:
        for index, value in enumerate(values):
            path = f"{self._path(key)}[{index}]"
            if not isinstance(value, dict):
                self.problems.append(SettingError(path, format_value(value), "an object"))
                continue
            reader = Reader(value, path, self.problems)
            yield read(reader)
            reader.report_unknown_keys()

    def _get(self, key: str) -> Any:
        self.known_keys.add(key)
        return self.raw.get(key)

    def _path(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def _add_value_problem(self, key: str, value: object, allowed: str) -> None:
        self._add_problem(key, format_value(value), allowed)

    def _add_problem(self, key: str, found: str, allowed: str) -> None:
        self.problems.append(SettingError(self._path(key), found, allowed))
