"""Access the platform's objects and VM list over HTTP."""

from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote

import urllib3

from chervilmill.addresses import Address
from chervilmill.coordination._bounded_pool import BoundedPool, PlatformAnswer
from chervilmill.coordination._codec import object_from_json, vm_from_json, watch_from_json
from chervilmill.coordination._errors import (
    StoreUnavailableError,
    VersionConflictError,
    WriteUnsureError,
)
from chervilmill.coordination._model import StoredObject, Vm, WatchResult
from chervilmill.documents import MALFORMED_ERRORS, decode_document
from chervilmill.logs import log_problem

MIN_WATCH_REPLY_MARGIN_S = 2.0  # for the reply after a watch has waited its full timeout
MIN_BACKGROUND_TIMEOUT_S = 5.0

T = TypeVar("T")


class HttpPlatform:
    """Client of the platform that implements ObjectStore and VmList over HTTP."""

    def __init__(self, address: Address, timeout_s: float) -> None:
        self._address = address
        self._peer = str(address)
        self._timeout_s = timeout_s
        self._pool = BoundedPool(address)

    def in_background(self) -> "HttpPlatform":
        """Return a client, with connections of its own, for calls that no request waits for.

        It waits longer, since a platform that is only slow would otherwise never be heard.
        """
        return HttpPlatform(self._address, max(self._timeout_s, MIN_BACKGROUND_TIMEOUT_S))

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        resp = self._read("get object", _object_path(kind, name))
        if resp.status == 404:
            return None
        return self._decode("get object", resp, object_from_json)

    def list(self, kind: str) -> tuple[StoredObject, ...]:
        """Return all objects of a kind, ordered by name."""
        resp = self._read("list objects", f"/objects/{quote(kind, safe='')}")
        return self._decode_each("list objects", resp, object_from_json)

    def create(self, kind: str, name: str, value: bytes) -> int:
        """Create an object that must not exist yet and return its version."""
        return self._write("create object", "PUT", kind, name, value, {"If-None-Match": "*"})

    def update(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Replace an object that must have the given version and return its new version."""
        condition = {"If-Match": str(version)}
        return self._write("update object", "PUT", kind, name, value, condition)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object that must have the given version."""
        self._write("delete object", "DELETE", kind, name, b"", {"If-Match": str(version)})

    def watch(self, kind: str, after_version: int, timeout_s: float) -> WatchResult:
        """Wait up to the timeout for changes of a kind after a version and return them."""
        path = f"/watch/{quote(kind, safe='')}?after={after_version}&timeout_s={timeout_s}"
        margin_s = max(MIN_WATCH_REPLY_MARGIN_S, self._timeout_s)
        resp = self._read("watch objects", path, timeout_s=timeout_s + margin_s)
        return self._decode("watch objects", resp, watch_from_json)

    def vms(self) -> tuple[Vm, ...]:
        """Return all VMs, ordered by name."""
        resp = self._read("list VMs", "/vms")
        return self._decode_each("list VMs", resp, vm_from_json)

    def _read(self, step: str, path: str, timeout_s: float | None = None) -> PlatformAnswer:
        try:
            resp = self._pool.request("GET", path, timeout=timeout_s or self._timeout_s)
        except urllib3.exceptions.HTTPError as exc:
            raise StoreUnavailableError(str(exc), step=step, peer=self._peer) from exc
        if resp.status >= 500:
            message = f"expected an answer, found status {resp.status}"
            raise StoreUnavailableError(message, step=step, peer=self._peer)
        return resp

    def _write(
        self,
        step: str,
        method: str,
        kind: str,
        name: str,
        value: bytes,
        condition: dict[str, str],
    ) -> int:
        path = _object_path(kind, name)
        try:
            resp = self._pool.request(
                method, path, body=value, headers=condition, timeout=self._timeout_s
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            raise StoreUnavailableError(str(e), step=step, peer=self._peer) from e
        except urllib3.exceptions.HTTPError as exc:
            raise WriteUnsureError(str(exc), step=step, peer=self._peer) from exc
        if resp.status == 412:
            header, wanted = next(iter(condition.items()))
            message = f"expected {kind}/{name} to satisfy {header}: {wanted}, found another state"
            raise VersionConflictError(message, step=step, peer=self._peer)
        if resp.status == 503:
            message = "expected a version, found status 503"
            raise StoreUnavailableError(message, step=step, peer=self._peer)
        if resp.status >= 300:
            message = f"expected a version, found status {resp.status}"
            raise WriteUnsureError(message, step=step, peer=self._peer)
        try:
            return int(decode_document(resp.data)["version"])
        except MALFORMED_ERRORS as exc:
            raise WriteUnsureError(f"no version: {exc!r:.200}", step=step, peer=self._peer) from exc

    def _decode(self, step: str, resp: PlatformAnswer, decode: Callable[[Any], T]) -> T:
        try:
            return decode(decode_document(resp.data))
        except MALFORMED_ERRORS as exc:
            message = f"expected another form of body, found {len(resp.data)} bytes: {exc!r:.200}"
            raise StoreUnavailableError(message, step=step, peer=self._peer) from exc

    def _decode_each(
        self, step: str, resp: PlatformAnswer, decode: Callable[[Any], T]
    ) -> tuple[T, ...]:
        """Return the elements of a list, leaving out malformed ones."""
        decoded: list[T] = []
        for raw in self._decode(step, resp, list):
            try:
                decoded.append(decode(raw))
            except MALFORMED_ERRORS as exc:
                log_problem("entry refused", step=step, peer=self._peer, error=f"{exc!r:.200}")
        return tuple(decoded)


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"
