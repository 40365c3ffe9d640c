"""Mark VMs as leaving, or clear the mark, in the configuration.

A mark is a configuration object `leaving/NAME`, so each node receives it like any other change.
"""

import json
from dataclasses import asdict, dataclass
from http import HTTPStatus
from typing import Any, Protocol

from chervilmill.coordination import CONFIGURATION_KIND, ObjectStore, VmList, WriteUnsureError
from chervilmill.documents import decode_document
from chervilmill.logs import log_event
from chervilmill.operators._router import OperatorRefusal, OperatorRequest, OperatorResponse, Route

LEAVING_PREFIX = "leaving/"


class Platform(ObjectStore, VmList, Protocol):
    """The object store and the list of VMs."""


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """The mark of one VM, which says whether the VM is to leave.

    `version` is None if the VM was never marked.
    """

    name: str
    leaving: bool
    version: int | None


class LeavingMarks:
    """Read and conditional write access to the marks of leaving VMs."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def routes(self) -> tuple[Route, ...]:
        """Return the routes to read and write a mark."""
        path = "/leaving/{name}"
        return (Route("GET", path, self._show), Route("PUT", path, self._change))

    def read(self, name: str) -> LeavingMark:
        """Return the mark of a VM, or raise PlatformError."""
        stored = self._platform.get(CONFIGURATION_KIND, LEAVING_PREFIX + name)
        if stored is None:
            return LeavingMark(name, False, None)
        return LeavingMark(name, decode_leaving_mark(stored.value), stored.version)

    def write(self, requested: LeavingMark) -> LeavingMark:
        """Write a mark if the stored version is still that of the requested mark.

        If the reply of the store is lost, the mark is read back to determine the outcome. Raises
        PlatformError.
        """
        try:
            version = self._store_mark(requested)
        except WriteUnsureError:
            found = self.read(requested.name)
            if found.leaving != requested.leaving or found.version == requested.version:
                raise
            return found
        return LeavingMark(requested.name, requested.leaving, version)

    def _store_mark(self, requested: LeavingMark) -> int:
        name = LEAVING_PREFIX + requested.name
        value = json.dumps({"leaving": requested.leaving}).encode()
        if requested.version is None:
            return self._platform.create(CONFIGURATION_KIND, name, value)
        return self._platform.update(CONFIGURATION_KIND, name, value, requested.version)

    def _show(self, req: OperatorRequest) -> OperatorResponse:
        return OperatorResponse(asdict(self.read(req.parameters["name"])))

    def _change(self, req: OperatorRequest) -> OperatorResponse:
        requested = _requested_mark(req.parameters["name"], req.json_object())
        if requested.leaving:
            self._require_listed(requested.name)
        mark = self.write(requested)
        log_event("leaving marked", vm=mark.name, leaving=mark.leaving, revision=mark.version)
        return OperatorResponse(asdict(mark))

    def _require_listed(self, name: str) -> None:
        if all(vm.name != name for vm in self._platform.vms()):
            raise OperatorRefusal(HTTPStatus.NOT_FOUND, f"no VM {name} in the platform's list")


def decode_leaving_mark(value: bytes) -> bool:
    """Return whether a stored mark says that the VM is leaving, and False for a malformed mark."""
    try:
        decoded = decode_document(value)
    except ValueError:
        return False
    return isinstance(decoded, dict) and decoded.get("leaving") is True


def _requested_mark(name: str, raw: dict[str, Any]) -> LeavingMark:
    leaving, version = raw.get("leaving"), raw.get("version")
    if not isinstance(leaving, bool):
        raise OperatorRefusal(
            HTTPStatus.BAD_REQUEST,
            f"expected true or false for leaving, found {type(leaving).__name__}",
        )
    if version is not None and type(version) is not int:
        raise OperatorRefusal(
            HTTPStatus.BAD_REQUEST,
            f"expected an integer or null for version, found {type(version).__name__}",
        )
    return LeavingMark(name, leaving, version)
