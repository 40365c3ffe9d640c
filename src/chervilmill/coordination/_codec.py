"""Encode and decode objects, watch results and VMs as JSON bodies of the platform's HTTP API."""

from base64 import b64decode, b64encode
from typing import Any

from chervilmill.addresses import parse_address
from chervilmill.coordination._model import StoredObject, Vm, VmRole, VmState, WatchResult


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
    """Return the watch result of a JSON form, or raise KeyError, TypeError or ValueError."""
    changed = tuple(object_from_json(item) for item in raw["changed"])
    deleted = tuple(str(name) for name in raw["deleted"])
    return WatchResult(int(raw["version"]), changed, deleted)


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
        name=str(raw["name"]),
        role=VmRole(raw["role"]),
        state=VmState(raw["state"]),
        service=str(raw["service"]),
        region=str(raw["region"]),
        failure_domain=str(raw["failure_domain"]),
        address=parse_address(raw["address"]),
        nodes=None if nodes is None else parse_address(nodes),
    )
