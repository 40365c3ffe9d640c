"""Test the pacing of uploads over links, on a manual clock, and the reports of crashes."""

import io

import cbor2
import pytest

from chervilmill.callers import Links, publish_crash, receive_crashes
from chervilmill.nodes import link_resource
from chervilmill.requests import (
    CrashReport,
    Lifetime,
    Quarantined,
    ReportedLoss,
    UploadPacer,
)
from tests.callers.harness import FixedAllotments, LoopbackChannel, running


class ManualClock:
    """A clock that only sleeping advances."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def sleep(self, pause_s: float) -> None:
        self.now_s += pause_s


def test_uploads_together_keep_half_of_the_allotment() -> None:
    clock, allotments = ManualClock(), FixedAllotments(units=8_000)
    links = Links(allotments, "praha", link_resource, lambda: clock.now_s, clock.sleep)
    bodies = []
    for _ in range(3):
        link = links.begin_upload("brno")
        bodies.append(links.pace_body(io.BytesIO(bytes(1_000_000)), link))
    assert allotments.wanted == {"link/praha/brno": 60_000}
    sent = 0
    while parts := [part for body in bodies if (part := body.read(16_384))]:
        sent += sum(map(len, parts))
    assert sent == 3_000_000
    assert sent / (clock.now_s - 100.0) == pytest.approx(500_000, rel=0.1)
    for _ in range(3):
        links.end_upload(link)
    assert allotments.wanted == {"link/praha/brno": 0}


def test_upload_within_the_region_is_not_paced() -> None:
    clock = ManualClock()
    links = Links(FixedAllotments(0), "praha", link_resource, lambda: clock.now_s, clock.sleep)
    body = io.BytesIO(b"x")
    assert links.pace_body(body, links.begin_upload("praha")) is body


def test_no_rate_means_no_part() -> None:
    assert UploadPacer().schedule(1, 0.0, 0.0) is None


def test_a_crash_report_reaches_the_quarantine_of_its_service() -> None:
    with running(targets=2) as ([entry], _):
        channel = LoopbackChannel()
        receive_crashes(channel, entry.services)
        fingerprint = bytes(range(16))
        losses = tuple(
            ReportedLoss(Lifetime(name), 1.0, is_crash=True, was_alone=False)
            for name in ("target-0", "target-1")
        )
        publish_crash(channel, "souhrny", CrashReport(fingerprint, losses))
        suspects = entry.services["souhrny"].suspects
        verdict = suspects._quarantine.verdict(fingerprint, suspects._clock(), lambda _: True)
        assert isinstance(verdict, Quarantined)
        huge_age = cbor2.dumps((10**400, True, False, "", []))
        malformed = (
            ("souhrny/00", b"\x80"),
            ("souhrny/zz", b""),
            ("other/00", b""),
            (f"souhrny/{fingerprint.hex()}/target-0/0", huge_age),
        )
        for key, value in malformed:
            channel.publish("crash", key, value, 1.0)


def test_field_that_a_later_version_adds_makes_a_crash_report_unreadable() -> None:
    with running(targets=2) as ([entry], _):
        channel = LoopbackChannel()
        receive_crashes(channel, entry.services)
        fingerprint = bytes(range(16))
        for name in ("target-0", "target-1"):
            value = cbor2.dumps((1.0, True, False, "", [], "added"))
            channel.publish("crash", f"souhrny/{fingerprint.hex()}/{name}/0", value, 60.0)
        suspects = entry.services["souhrny"].suspects
        verdict = suspects._quarantine.verdict(fingerprint, suspects._clock(), lambda _: True)
        assert isinstance(verdict, Quarantined)
