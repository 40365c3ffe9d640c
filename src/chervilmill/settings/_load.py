"""Load a settings file, which is JSON with comments."""

from pathlib import Path

import json5

from chervilmill.settings._check import check_settings
from chervilmill.settings._model import Settings
from chervilmill.settings._reader import SettingError

MAX_SETTINGS_BYTES = 1024**2


def load_settings(path: Path) -> Settings:
    """Return the validated settings of a file, or raise an ExceptionGroup of SettingError."""
    try:
        raw = path.read_bytes()
    except OSError as exc:
        raise _file_problem(path, str(exc.strerror), "a readable file") from exc
    if len(raw) > MAX_SETTINGS_BYTES:
        raise _file_problem(path, f"{len(raw)} bytes", f"at most {MAX_SETTINGS_BYTES} bytes")
    try:
        decoded = json5.loads(raw.decode(), allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        raise _file_problem(path, str(exc), "JSON with comments") from exc
    if not isinstance(decoded, dict):
        raise _file_problem(path, type(decoded).__name__, "an object")
    return check_settings(decoded)


def _file_problem(path: Path, found: str, allowed: str) -> ExceptionGroup[SettingError]:
    return ExceptionGroup("unreadable settings", [SettingError(str(path), found, allowed)])
