"""Mark VMs as leaving, or take the mark back, in the configuration.

A mark is a configuration object `leaving/NAME`, so it reaches every node like any other change.
"""

import json
from dataclasses import asdict, dataclass
from http import HTTPStatus
from typing import Any, Protocol

from chervilmill.coordination import CONFIGURATION_KIND, ObjectStore, VmList, WriteUnsureError
from chervilmill.logs import log_event
from chervilmill.operators._router import OperatorRefusal, OperatorRequest, OperatorResponse, Route

LEAVING_PREFIX = "leaving/"


class Platform(ObjectStore, VmList, Protocol):
    """Offer the object store and the list of VMs."""


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """Say whether a VM is to leave; `version` is None where there never was a mark."""

    name: str
    leaving: bool
    version: int | None


class LeavingMarks:
    """Read and conditionally write the marks of leaving VMs."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def routes(self) -> tuple[Route, ...]:
        """Return the routes that read and write a mark."""
        path = "/leaving/{name}"
        return (Route("GET", path, self._show), Route("PUT", path, self._change))

    def read(self, name: str) -> LeavingMark:
        """Return the mark of a VM, or raise PlatformError."""
        stored = self._platform.get(CONFIGURATION_KIND, LEAVING_PREFIX + name)
        if stored is None:
            return LeavingMark(name, False, None)
        return LeavingMark(name, is_leaving_value(stored.value), stored.version)

    def write(self, wanted: LeavingMark) -> LeavingMark:
        """Write a mark where the stored version is still the wanted mark's version.

        A write whose reply was lost is resolved by reading back. Raises PlatformError.
        """
        try:
            version = self._put(wanted)
        except WriteUnsureError:
            found = self.read(wanted.name)
            if found.leaving != wanted.leaving or found.version == wanted.version:
                raise
            return found
        return LeavingMark(wanted.name, wanted.leaving, version)

    def _put(self, wanted: LeavingMark) -> int:
        name = LEAVING_PREFIX + wanted.name
        value = json.dumps({"leaving": wanted.leaving}).encode()
        if wanted.version is None:
            return self._platform.create(CONFIGURATION_KIND, name, value)
        return self._platform.update(CONFIGURATION_KIND, name, value, wanted.version)

    def _show(self, req: OperatorRequest) -> OperatorResponse:
        return OperatorResponse(asdict(self.read(req.parameters["name"])))

    def _change(self, req: OperatorRequest) -> OperatorResponse:
        wanted = _wanted_mark(req.parameters["name"], req.decoded())
        if wanted.leaving:
            self._check_listed(wanted.name)
        mark = self.write(wanted)
        log_event("leaving marked", vm=mark.name, leaving=mark.leaving, revision=mark.version)
        return OperatorResponse(asdict(mark))

    def _check_listed(self, name: str) -> None:
        if all(vm.name != name for vm in self._platform.vms()):
            raise OperatorRefusal(HTTPStatus.NOT_FOUND, f"no VM {name} in the platform's list")


def is_leaving_value(value: bytes) -> bool:
    """Return what a stored mark says, and False for a malformed one."""
    try:
        decoded = json.loads(value)
    except ValueError:
        return False
    return isinstance(decoded, dict) and decoded.get("leaving") is True


def _wanted_mark(name: str, raw: dict[str, Any]) -> LeavingMark:
    leaving, version = raw.get("leaving"), raw.get("version")
    if not isinstance(leaving, bool):
        raise OperatorRefusal(HTTPStatus.BAD_REQUEST, "leaving is not true or false")
    if version is not None and type(version) is not int:
        raise OperatorRefusal(HTTPStatus.BAD_REQUEST, "version is neither a number nor null")
    return LeavingMark(name, leaving, version)
