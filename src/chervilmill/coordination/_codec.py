"""Encode and decode objects, watch results and VMs as JSON bodies of the platform's HTTP API."""

from base64 import b64decode, b64encode
from typing import Any

from chervilmill.addresses import parse_remote_address
from chervilmill.coordination._model import StoredObject, Vm, VmRole, VmState, WatchResult
from chervilmill.documents import MALFORMED_ERRORS, is_readable
from chervilmill.logs import log_problem

MAX_TEXT_CHARACTERS = 512  # as in the messages between nodes


def object_to_json(stored: StoredObject) -> dict[str, Any]:
    """Return the JSON form of an object."""
    return {
        "kind": stored.kind,
        "name": stored.name,
        "version": stored.version,
        "value": b64encode(stored.value).decode(),
    }


def object_from_json(raw: dict[str, Any]) -> StoredObject:
    """Return the object that a JSON form encodes, or raise KeyError, TypeError or ValueError."""
    value = b64decode(raw["value"], validate=True)
    return StoredObject(str(raw["kind"]), str(raw["name"]), int(raw["version"]), value)


def watch_to_json(result: WatchResult) -> dict[str, Any]:
    """Return the JSON form of a watch result."""
    return {
        "version": result.version,
        "changed": [object_to_json(stored) for stored in result.changed],
        "deleted": list(result.deleted),
    }


def watch_from_json(raw: dict[str, Any]) -> WatchResult:
    """Return the watch result of a JSON form without malformed objects.

    Raise KeyError, TypeError or ValueError if the result itself is malformed.
    """
    changed: list[StoredObject] = []
    for item in raw["changed"]:
        try:
            changed.append(object_from_json(item))
        except MALFORMED_ERRORS as exc:
            log_problem("entry refused", step="watch objects", peer="store", error=f"{exc!r:.200}")
    deleted = tuple(str(name) for name in raw["deleted"])
    return WatchResult(int(raw["version"]), tuple(changed), deleted)


def vm_to_json(vm: Vm) -> dict[str, Any]:
    """Return the JSON form of a VM."""
    return {
        "name": vm.name,
        "role": vm.role.value,
        "state": vm.state.value,
        "service": vm.service,
        "region": vm.region,
        "failure_domain": vm.failure_domain,
        "address": str(vm.address),
        "nodes": None if vm.nodes is None else str(vm.nodes),
    }


def vm_from_json(raw: dict[str, Any]) -> Vm:
    """Return the VM of a JSON form, or raise KeyError, TypeError or ValueError."""
    nodes = raw["nodes"]
    return Vm(
        name=_text(raw["name"]),
        role=VmRole(raw["role"]),
        state=VmState(raw["state"]),
        service=_text(raw["service"]),
        region=_text(raw["region"]),
        failure_domain=_text(raw["failure_domain"]),
        address=parse_remote_address(raw["address"]),
        nodes=None if nodes is None else parse_remote_address(nodes),
    )


def _text(value: object) -> str:
    """Return a string that other nodes can read, or raise ValueError."""
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARACTERS:
        raise ValueError(f"expected a string of at most {MAX_TEXT_CHARACTERS} characters")
    if not is_readable(value):
        raise ValueError("the string has characters that cannot be read")
    value.encode()  # UnicodeEncodeError is a ValueError
    return value
