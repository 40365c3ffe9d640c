"""Print what the package on the path reads from datagrams, which are given in hex by kind."""

import dataclasses
import json
import sys

import chervilmill
from chervilmill.peers import decode_leaving, decode_limits, decode_reports
from chervilmill.peers._digest import decode_digest

DECODERS = {
    "digest": decode_digest,
    "crash reports": decode_reports,
    "leaving targets": decode_leaving,
    "limits": decode_limits,
}


def plain(value: object) -> object:
    """Return a decoded message as JSON values: fields by name, bytes in hex, sets in order."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: plain(getattr(value, field.name)) for field in dataclasses.fields(value)
        }
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    if isinstance(value, frozenset):
        return sorted(str(plain(item)) for item in value)
    if isinstance(value, tuple | list):
        return [plain(item) for item in value]
    return value.hex() if isinstance(value, bytes) else value


def main() -> None:
    """Read the datagrams from the standard input, and write what they say to the output."""
    datagrams = json.load(sys.stdin)
    decoded = {kind: DECODERS[kind](bytes.fromhex(data), "x") for kind, data in datagrams.items()}
    messages = {kind: plain(message) for kind, message in decoded.items()}
    json.dump({"package": chervilmill.__file__, "messages": messages}, sys.stdout)


if __name__ == "__main__":
    main()
