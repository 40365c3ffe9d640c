"""Decide whether a response is the target stand-in's complete answer to a caller's own request."""

import json
import re

from bench.checker._records import CallerRecord, RequestKind

_PART = re.compile(rb"(\S+) part (\d+) of (\d+) from (\S+)")


def is_own_and_whole(record: CallerRecord) -> bool:
    """Return whether an answer is complete and belongs to the request that its caller sent."""
    if record.echoed_id != record.request_id:
        return False
    if record.kind is RequestKind.DIGEST:
        return _is_whole_digest(record.body, record.expected)
    field = "order" if record.kind is RequestKind.ORDER else "sha256"
    try:
        return bool(json.loads(record.body)[field] == record.expected)
    except (ValueError, KeyError, TypeError):
        return False


def _is_whole_digest(body: bytes, path: str) -> bool:
    parts = [_PART.fullmatch(line) for line in body.splitlines()]
    if not parts or not body.endswith(b"\n"):
        return False
    expected = [(path.encode(), index + 1, len(parts)) for index in range(len(parts))]
    seen = [(part[1], int(part[2]), int(part[3])) for part in parts if part is not None]
    targets = {part[4] for part in parts if part is not None}
    return seen == expected and len(targets) == 1
