"""Read lists of VMs and objects in which single entries are malformed."""

import json
from dataclasses import dataclass
from typing import Any

import pytest

from chervilmill.addresses import Address
from chervilmill.coordination import HttpPlatform, StoreUnavailableError

VM = {
    "name": "t-1",
    "role": "target",
    "state": "live",
    "service": "app",
    "region": "north",
    "failure_domain": "north-a",
    "address": "10.0.0.1:80",
    "nodes": None,
}
OBJECT = {"kind": "k", "name": "a", "version": 3, "value": "b25l"}


@dataclass
class _Answer:
    data: bytes
    status: int = 200


class _ScriptedPool:
    """Answers each request with the same body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def request(self, method: str, path: str, **_: Any) -> _Answer:
        return _Answer(self._body)


def _platform(monkeypatch: pytest.MonkeyPatch, body: bytes) -> HttpPlatform:
    platform = HttpPlatform(Address("127.0.0.1", 1), timeout_s=1)
    monkeypatch.setattr(platform, "_pool", _ScriptedPool(body))
    return platform


def _with_part(valid: dict[str, Any], name: str, part: bytes) -> bytes:
    """Return a list of a valid entry and one of which a field is replaced."""
    other = json.dumps(valid | {name: "?"}).encode().replace(b'"?"', part)
    return b"[" + other + b", " + json.dumps(valid).encode() + b"]"


PARTS = [b"null", b"[]", b"9" * 401, b"9" * 5000, b"NaN", b"[" * 5000 + b"]" * 5000, b'"\\ud800"']
ODD_ADDRESSES = [b"10.0.0.1:" + port for port in (b"65536", b"0", b"-1", b"8e1", b"", b"9" * 5000)]

UNREACHABLE = [
    b"[fe80::1%a..b]:80",
    b"[fe80::1%" + b"x" * 64 + b"]:80",
    b"[fe80::1]:80",
    b"0.0.0.0:80",
    b"224.0.0.1:80",
    b"255.255.255.255:80",
]


# One malformed entry ended the thread that reads the list of VMs.
@pytest.mark.parametrize("part", PARTS, ids=lambda part: part[:12].decode())
@pytest.mark.parametrize("name", ["name", "role", "state", "service", "address", "nodes"])
def test_malformed_vm_costs_only_that_vm(
    monkeypatch: pytest.MonkeyPatch, name: str, part: bytes
) -> None:
    if (name, part) == ("nodes", b"null"):
        part = b"3"
    platform = _platform(monkeypatch, _with_part(VM, name, part))
    assert [vm.name for vm in platform.vms()] == ["t-1"]


# A VM was listed at an address with a zone, or at one of nobody.
@pytest.mark.parametrize("name", ["address", "nodes"])
@pytest.mark.parametrize("address", UNREACHABLE, ids=lambda address: address[:16].decode())
def test_vm_that_no_other_can_reach_is_listed(
    monkeypatch: pytest.MonkeyPatch, address: bytes, name: str
) -> None:
    platform = _platform(monkeypatch, _with_part(VM, name, b'"' + address + b'"'))
    assert [vm.name for vm in platform.vms()] == ["t-1"]


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda address: address[9:15].decode())
def test_vm_with_a_port_out_of_range_costs_only_that_vm(
    monkeypatch: pytest.MonkeyPatch, address: bytes
) -> None:
    platform = _platform(monkeypatch, _with_part(VM, "address", b'"' + address + b'"'))
    assert [vm.name for vm in platform.vms()] == ["t-1"]


# A VM with an unreadable failure domain was listed as one of a domain of its own.
@pytest.mark.parametrize("text", [b'"\xff\xfe"', b'"a\x00\x01b"', b'"a\\u0007"'])
@pytest.mark.parametrize("name", ["name", "service", "region", "failure_domain"])
def test_vm_with_an_unreadable_text_costs_only_that_vm(
    monkeypatch: pytest.MonkeyPatch, name: str, text: bytes
) -> None:
    platform = _platform(monkeypatch, _with_part(VM, name, text))
    assert [vm.name for vm in platform.vms()] == ["t-1"]


@pytest.mark.parametrize("whole", [b"[" * 5000 + b"]" * 5000, b'{"a":' * 5000 + b"1" + b"}" * 5000])
def test_deeply_nested_entry_costs_only_that_entry(
    monkeypatch: pytest.MonkeyPatch, whole: bytes
) -> None:
    vms = b"[" + whole + b", " + json.dumps(VM).encode() + b"]"
    assert [vm.name for vm in _platform(monkeypatch, vms).vms()] == ["t-1"]
    objects = b"[" + whole + b", " + json.dumps(OBJECT).encode() + b"]"
    assert [stored.name for stored in _platform(monkeypatch, objects).list("k")] == ["a"]


@pytest.mark.parametrize("part", PARTS, ids=lambda part: part[:12].decode())
@pytest.mark.parametrize("name", ["version", "value"])
def test_malformed_object_costs_only_that_object(
    monkeypatch: pytest.MonkeyPatch, name: str, part: bytes
) -> None:
    items = _with_part(OBJECT, name, part)
    platform = _platform(monkeypatch, items)
    assert [stored.value for stored in platform.list("k")] == [b"one"]
    body = b'{"version": 7, "deleted": [], "changed": ' + items + b"}"
    result = _platform(monkeypatch, body).watch("k", 1, 0.0)
    assert (result.version, [stored.value for stored in result.changed]) == (7, [b"one"])


@pytest.mark.parametrize("body", [b"", b"3", b"null", b"[" * 5000, b"\xff"])
def test_malformed_answer_counts_as_no_answer(monkeypatch: pytest.MonkeyPatch, body: bytes) -> None:
    platform = _platform(monkeypatch, body)
    for call in (platform.vms, lambda: platform.list("k"), lambda: platform.watch("k", 1, 0.0)):
        with pytest.raises(StoreUnavailableError):
            call()
