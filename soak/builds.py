"""Builds of earlier versions of the program, from the repository's history."""

import subprocess
import tarfile
from io import BytesIO
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = "deploy/requirements.txt"
_SOURCES = ("deploy", "src")


class BuildError(Exception):
    """Raised if a version cannot be built here."""


def export_build(commit: str, folder: Path) -> Path:
    """Write the program of a commit into a folder and return its root.

    Raise BuildError if the history does not hold the commit, or if it needs other packages.
    """
    if _git("show", f"{commit}:{REQUIREMENTS}") != (ROOT / REQUIREMENTS).read_bytes():
        raise BuildError(f"commit {commit} needs other packages than this version")
    with tarfile.open(fileobj=BytesIO(_git("archive", commit, *_SOURCES))) as archive:
        archive.extractall(folder, filter="data")
    return folder


def _git(*arguments: str) -> bytes:
    try:
        run = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, check=True)
    except (OSError, subprocess.CalledProcessError) as exc:
        detail = (
            exc.stderr.decode().strip() if isinstance(exc, subprocess.CalledProcessError) else exc
        )
        raise BuildError(f"git {arguments[0]}: {detail}") from exc
    return run.stdout
