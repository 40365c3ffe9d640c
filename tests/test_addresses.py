"""Test which texts are addresses, and which of them another VM can be reached at."""

import pytest

from chervilmill.addresses import (
    Address,
    is_reachable_from,
    parse_address,
    parse_remote_address,
    parse_remote_host,
)

ADDRESSES = {
    "10.1.0.10:8161": Address("10.1.0.10", 8161),
    "127.0.0.1:1": Address("127.0.0.1", 1),
    "[2001:db8::1]:65535": Address("2001:db8::1", 65535),
}
# None of these is an address in any place.
NO_ADDRESSES = [
    "",
    ":80",
    "10.1.0.10",
    "10.1.0.10:",
    "10.1.0.10:0",
    "10.1.0.10:65536",
    "10.1.0.10:+80",
    "10.1.0.10: 80",
    "10.1.0.10:8_0",
    "10.1.0.10:\u0663",
    "10.1.0.10:\u00b2",
    "10.1.0.10:" + "9" * 5000,
    "10.1.0:80",
    "10.1.0.010:80",
    "10.1.0.\u0663:80",
    "[10.1.0.10]:80",
    "10.1.0.10]:80",
    "2001:db8::1:80",
    "[2001:db8::1:80",
    "target.example:80",
    "[fe80::1%eth0]:80",
    "fe80::1%eth0:80",
    "[2001:db8::1%a..b]:80",
    "[2001:db8::1%" + "x" * 300 + "]:80",
]
# A VM may listen at some of these, but no other VM can reach it there.
NOT_REMOTE = [
    "0.0.0.0",
    "0.1.2.3",
    "224.0.0.1",
    "239.255.255.250",
    "240.0.0.1",
    "255.255.255.255",
    "::",
    "ff02::1",
    "fe80::1",
    "::ffff:0.0.0.0",
    "::ffff:224.0.0.1",
]


@pytest.mark.parametrize("text", ADDRESSES)
def test_address_is_read_and_written(text: str) -> None:
    assert parse_address(text) == parse_remote_address(text) == ADDRESSES[text]
    assert str(ADDRESSES[text]) == text


# A zone, or digits of another script, was taken for part of an address.
@pytest.mark.parametrize("text", NO_ADDRESSES, ids=lambda text: ascii(text)[:40])
def test_text_is_no_address(text: str) -> None:
    with pytest.raises(ValueError):
        parse_address(text)
    with pytest.raises(ValueError):
        parse_remote_address(text)


# An address that leads to nobody, or to many, was taken for that of another VM.
@pytest.mark.parametrize("host", NOT_REMOTE)
def test_address_is_no_destination(host: str) -> None:
    address = Address(host, 80)
    assert parse_address(str(address)) == address
    with pytest.raises(ValueError):
        parse_remote_address(str(address))
    with pytest.raises(ValueError):
        parse_remote_host(host)


@pytest.mark.parametrize(
    ("host", "own_host", "is_reachable"),
    [
        ("10.1.0.10", "10.1.0.11", True),
        ("127.0.0.1", "10.1.0.11", False),
        ("::1", "10.1.0.11", False),
        ("::ffff:127.0.0.1", "10.1.0.11", False),
        ("127.0.0.1", "127.0.1.1", True),
        ("10.1.0.10", "127.0.1.1", True),
    ],
)
def test_loopback_leads_to_the_vm_itself(host: str, own_host: str, is_reachable: bool) -> None:
    assert is_reachable_from(host, own_host) is is_reachable
