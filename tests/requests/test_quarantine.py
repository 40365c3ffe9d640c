"""Test that requests that crash targets are told apart from requests that ran alongside."""

import itertools
from dataclasses import replace

import pytest

from chervilmill.requests import (
    CrashReport,
    Lifetime,
    LimitedToTarget,
    Quarantine,
    Quarantined,
    Standing,
    Unrestricted,
    _quarantine,
    request_fingerprint,
)
from chervilmill.requests._fingerprint import is_content

DOMAINS = {f"t{number}": f"domain-{'abc'[number % 3]}" for number in range(12)}
CRASHING, INNOCENT = b"bad", b"beside"


class EntryVm:
    """An entry VM with a quarantine, whose reports reach the other entry VMs at once."""

    def __init__(self, others: list["EntryVm"]) -> None:
        self.quarantine = Quarantine()
        self.quarantine.set_targets(DOMAINS)
        self.others = others

    def verdict(self, request: bytes, now_s: float):
        return self.quarantine.verdict(request, now_s, lambda _: True)

    def run(self, request: bytes, now_s: float, *, alongside: bytes | None = None) -> str | None:
        """Run a request and return its target, or None if the request is quarantined.

        The request CRASHING crashes its target. `alongside` runs there at the same time.
        """
        verdict = self.verdict(request, now_s)
        if isinstance(verdict, Quarantined):
            return None
        target = verdict.target if isinstance(verdict, LimitedToTarget) else "t0"
        self.quarantine.record_start(request, target)
        if alongside is not None:
            self.quarantine.record_start(alongside, target)
        if request != CRASHING:
            self.quarantine.record_end(request, target, is_answered=True, now_s=now_s)
            return target
        for report in self.crash(target, request, now_s):
            for other in self.others:
                other.quarantine.receive_report(report, now_s)
        self.quarantine.record_end(request, target, is_answered=False, now_s=now_s)
        if alongside is not None:
            self.quarantine.record_end(alongside, target, is_answered=False, now_s=now_s)
        return target

    def crash(self, target: str, request: bytes, now_s: float) -> list[CrashReport]:
        """Record a crash that interrupted a request and return the reports for the others."""
        lost = self.quarantine.record_crash(target, request, now_s)
        reports = [self.quarantine.report(fingerprint, now_s) for fingerprint in lost]
        return [report for report in reports if report is not None]


def entry_vms(count: int) -> list[EntryVm]:
    vms: list[EntryVm] = [EntryVm([]) for _ in range(count)]
    for vm in vms:
        vm.others = [other for other in vms if other is not vm]
    return vms


@pytest.mark.parametrize("through", [[0, 0, 0, 0], [0, 1, 2, 0], [0, 1, 1, 2]])
def test_two_targets_are_lost_whichever_way_resends_go(through: list[int]) -> None:
    vms = entry_vms(3)
    lost = [vms[index].run(CRASHING, float(step)) for step, index in enumerate(through)]
    assert len({target for target in lost if target}) == 2
    assert lost[2:] == [None, None]


def test_innocent_request_is_limited_elsewhere_and_cleared_by_an_answer() -> None:
    [vm] = entry_vms(1)
    first = vm.run(CRASHING, 0.0, alongside=INNOCENT)
    crashing, innocent = vm.verdict(CRASHING, 0.0), vm.verdict(INNOCENT, 0.0)
    assert isinstance(crashing, LimitedToTarget) and isinstance(innocent, LimitedToTarget)
    assert len({first, crashing.target, innocent.target}) == 3
    assert DOMAINS[crashing.target] != DOMAINS["t0"]
    assert vm.run(INNOCENT, 0.1) == innocent.target
    assert isinstance(vm.verdict(INNOCENT, 0.1), Unrestricted)
    assert vm.run(CRASHING, 0.2) == crashing.target
    assert isinstance(vm.verdict(CRASHING, 0.3), Quarantined)


def test_innocent_request_is_never_refused() -> None:
    [vm] = entry_vms(1)
    vm.run(CRASHING, 0.0, alongside=INNOCENT)
    vm.run(CRASHING, 0.1, alongside=b"other")
    assert isinstance(vm.verdict(CRASHING, 0.2), Quarantined)
    for request in (INNOCENT, b"other"):
        assert isinstance(vm.verdict(request, 0.2), LimitedToTarget)
        assert vm.run(request, 0.2)
        assert isinstance(vm.verdict(request, 0.3), Unrestricted)


@pytest.mark.parametrize(
    ("crashes", "after_s", "expected"),
    [
        (1, 50.0, LimitedToTarget),
        (1, 61.0, Unrestricted),
        (2, 500.0, Quarantined),
        (2, 602.0, Unrestricted),
    ],
)
def test_suspicion_and_quarantine_expire(crashes: int, after_s: float, expected: type) -> None:
    [vm] = entry_vms(1)
    for _ in range(crashes):
        vm.run(CRASHING, 0.0)
    assert isinstance(vm.verdict(CRASHING, after_s), expected)


def test_loss_of_a_failure_domain_quarantines_nobody() -> None:
    [vm] = entry_vms(1)
    lost = [name for name, domain in DOMAINS.items() if domain == "domain-a"]
    for target in lost:
        vm.quarantine.record_start(INNOCENT, target)
        vm.quarantine.record_crash(target, INNOCENT, 0.1)
    for number, target in enumerate(lost):
        vm.quarantine.record_crash(target, f"r{number}".encode(), 0.2)
    assert not isinstance(vm.verdict(INNOCENT, 0.3), Quarantined)


def test_news_never_reduces_the_known_crashes() -> None:
    first, second = entry_vms(2)
    reports = first.crash("t0", CRASHING, 0.0)
    second.run(CRASHING, 0.0)
    second.run(CRASHING, 0.1)
    for report in reports:
        second.quarantine.receive_report(report, 0.2)
    assert isinstance(second.verdict(CRASHING, 0.2), Quarantined)


def test_suspect_moves_when_its_target_cannot_be_used() -> None:
    [vm] = entry_vms(1)
    vm.run(CRASHING, 0.0)
    limited = vm.verdict(CRASHING, 0.0)
    moved = vm.quarantine.verdict(CRASHING, 0.1, lambda name: name != limited.target)
    assert moved.target not in (limited.target, "t0")


def test_request_that_was_hedged_takes_two_targets_too() -> None:
    """Hedging starts both runs before the first crash is known."""
    [vm] = entry_vms(1)
    for target in ("t0", "t3"):
        vm.quarantine.record_start(CRASHING, target)
    for target in ("t0", "t3"):
        vm.quarantine.record_crash(target, CRASHING, 0.0)
        vm.quarantine.record_end(CRASHING, target, is_answered=False, now_s=0.0)
    assert isinstance(vm.verdict(CRASHING, 0.1), Quarantined)


def _lose(vm: EntryVm, target: str, at_s: float) -> None:
    vm.quarantine.record_loss(CRASHING, Lifetime(target), at_s, at_s)


def test_crash_elsewhere_than_at_the_limited_target_counts() -> None:
    first, second = entry_vms(2)
    first.run(CRASHING, 0.0)
    limited = first.verdict(CRASHING, 0.1)
    elsewhere = next(name for name in DOMAINS if name not in ("t0", limited.target))
    _lose(second, elsewhere, 0.2)
    second.quarantine.record_crash(elsewhere, None, 0.3)
    report = second.quarantine.report(CRASHING, 0.4)
    assert report is not None
    first.quarantine.receive_report(report, 0.5)
    assert isinstance(first.verdict(CRASHING, 0.6), Quarantined)


@pytest.mark.parametrize(
    ("targets", "at_s", "expected"),
    [
        (("t0",), 0.0, Unrestricted),
        (("t0", "t0", "t0"), 0.0, Unrestricted),
        (("t0", "t1"), 0.0, LimitedToTarget),
        (("t0", "t1", "t2"), 0.0, Quarantined),
        (("t0", "t1", "t2"), 9.0, Quarantined),
        (("t0", "t1", "t2"), 11.0, Unrestricted),
    ],
)
def test_losses_without_a_crash_count_for_a_short_time(
    targets: tuple[str, ...], at_s: float, expected: type
) -> None:
    [vm] = entry_vms(1)
    for target in targets:
        _lose(vm, target, 0.0)
    assert isinstance(vm.verdict(CRASHING, at_s), expected)


def test_request_lost_at_two_targets_in_an_outage_is_not_quarantined() -> None:
    """Other targets that the request did not use crash at the same time."""
    [vm] = entry_vms(1)
    _lose(vm, "t0", 0.0)
    _lose(vm, "t1", 0.5)
    for target in ("t0", "t1", "t2", "t3", "t4", "t5"):
        vm.quarantine.record_crash(target, None, 1.0)
    assert isinstance(vm.verdict(CRASHING, 1.1), LimitedToTarget)
    vm.quarantine.record_end(CRASHING, "t6", is_answered=True, now_s=1.2)
    assert isinstance(vm.verdict(CRASHING, 1.3), Unrestricted)


def test_answer_clears_what_peers_report_again() -> None:
    first, second = entry_vms(2)
    first.run(CRASHING, 0.0)
    report = first.quarantine.report(CRASHING, 1.0)
    assert report is not None
    second.quarantine.receive_report(report, 1.0)
    second.quarantine.record_end(CRASHING, "t5", is_answered=True, now_s=2.0)
    repeated = first.quarantine.report(CRASHING, 3.0)
    assert repeated is not None
    assert not second.quarantine.receive_report(repeated, 3.0)
    assert isinstance(second.verdict(CRASHING, 3.0), Unrestricted)


def test_reports_give_the_same_verdict_in_any_order() -> None:
    authors = entry_vms(3)
    for author, target in zip(authors, ("t0", "t1", "t2"), strict=True):
        _lose(author, target, 0.0)
    authors[0].quarantine.record_crash("t0", None, 1.0)
    reports = [author.quarantine.report(CRASHING, 2.0) for author in authors]
    for order in itertools.permutations(reports):
        reader = Quarantine()
        reader.set_targets(DOMAINS)
        for report in (*order, order[0]):
            assert report is not None
            reader.receive_report(report, 2.0)
        judgement = reader.judgement(CRASHING, 2.0)
        assert (judgement.standing, judgement.crashes) == (Standing.QUARANTINED, 1)
        assert judgement.losses == 3


def test_crash_of_each_new_lifetime_of_one_target_counts() -> None:
    """The entry VM may still know the target by its earlier lifetime."""
    [vm] = entry_vms(1)
    for at_s in (0.0, 5.0):
        _lose(vm, "t0", at_s)
        vm.quarantine.record_crash("t0", None, at_s + 1.0)
    assert isinstance(vm.verdict(CRASHING, 7.0), Quarantined)


def test_quarantined_request_outlasts_a_flood_of_losses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_quarantine, "MAX_RECORDS", 20)
    [vm] = entry_vms(1)
    for target in ("t0", "t1", "t2"):
        _lose(vm, target, 0.0)
    for number in range(100):
        vm.quarantine.record_loss(f"r{number}".encode(), Lifetime("t3"), 1.0, 1.0)
    assert isinstance(vm.verdict(CRASHING, 2.0), Quarantined)


def test_request_that_two_crashes_beside_it_quarantined_is_served_again() -> None:
    """Two crashes at targets that it shared prove nothing; one further run decides."""
    [vm] = entry_vms(1)
    for target in ("t0", "t1"):
        vm.quarantine.record_start(INNOCENT, target)
        vm.quarantine.record_crash(target, None, 0.0)
        vm.quarantine.record_end(INNOCENT, target, is_answered=False, now_s=0.0)
    assert isinstance(vm.verdict(INNOCENT, 1.0), Quarantined)
    limited = vm.verdict(INNOCENT, 11.0)
    assert isinstance(limited, LimitedToTarget)
    assert vm.run(INNOCENT, 11.0) == limited.target
    assert isinstance(vm.verdict(INNOCENT, 11.1), Unrestricted)


def test_late_answer_ends_a_quarantine() -> None:
    [vm] = entry_vms(1)
    for target in ("t0", "t1", "t2"):
        _lose(vm, target, 0.0)
    vm.quarantine.record_end(CRASHING, "t2", is_answered=True, now_s=0.5)
    assert isinstance(vm.verdict(CRASHING, 0.6), Unrestricted)


def test_repeated_report_changes_nothing() -> None:
    """It arrives later than it was sent, and its ages are rounded."""
    [author, reader] = entry_vms(2)
    _lose(author, "t0", 0.0)
    for sent_s, delay_s in ((1.0, 0.0), (1.33, 0.1), (2.5, 0.04)):
        report = author.quarantine.report(CRASHING, sent_s)
        assert report is not None
        losses = tuple(replace(loss, age_s=round(loss.age_s, 1)) for loss in report.losses)
        sent = replace(report, losses=losses)
        assert reader.quarantine.receive_report(sent, sent_s + delay_s) is (sent_s == 1.0)


def test_lost_requests_leave_nothing_behind() -> None:
    [vm] = entry_vms(1)
    for number in range(1000):
        vm.quarantine.record_loss(f"r{number}".encode(), Lifetime("t3"), number, float(number))
    requests = [key for key in vm.quarantine._records if not is_content(key)]
    contents = [key for key in vm.quarantine._records if is_content(key)]
    assert max(len(requests), len(contents)) <= 11
    unconfirmed = [loss.fingerprint for loss in vm.quarantine._unconfirmed]
    assert sum(is_content(key) for key in unconfirmed) <= 11
    assert sum(not is_content(key) for key in unconfirmed) <= 11


def test_early_report_does_not_turn_a_shared_crash_into_proof() -> None:
    """The report leaves before another request is known to have been lost with the target."""
    author, peer = entry_vms(2)
    author.run(CRASHING, 0.0)
    limited = author.verdict(CRASHING, 1.0)
    assert isinstance(limited, LimitedToTarget)
    _lose(author, limited.target, 1.0)
    early = author.quarantine.report(CRASHING, 1.1)
    assert early is not None
    peer.quarantine.receive_report(early, 1.1)
    author.quarantine.record_loss(INNOCENT, Lifetime(limited.target), 1.0, 1.2)
    author.quarantine.record_crash(limited.target, None, 1.3)
    echo = peer.quarantine.report(CRASHING, 1.4)
    assert echo is not None
    author.quarantine.receive_report(echo, 1.4)
    assert isinstance(author.verdict(CRASHING, 1.5), Quarantined)
    assert isinstance(author.verdict(CRASHING, 12.0), LimitedToTarget)


def test_own_crashes_of_a_request_pass_for_the_loss_of_a_failure_domain() -> None:
    """Entries of targets that crashed one after the other expire together, in one domain."""
    quarantine = Quarantine()
    quarantine.set_targets(DOMAINS)
    for target, now_s in (("t1", 0.0), ("t0", 0.3), ("t3", 0.8)):
        quarantine.record_loss(CRASHING, Lifetime(target), now_s, now_s)
    assert quarantine.judgement(CRASHING, 1.0).standing is Standing.QUARANTINED
    for target, now_s in (("t0", 5.0), ("t3", 5.3), ("t6", 5.3)):
        quarantine.record_crash(target, None, now_s)
    assert quarantine.judgement(CRASHING, 5.4).standing is Standing.QUARANTINED


def _sender(caller: int, path: str = "/object") -> bytes:
    return request_fingerprint("host", "GET", path, "", f"caller-{caller}")


def _crash(quarantine: Quarantine, target: str, now_s: float, *requests: bytes) -> None:
    for request in requests:
        quarantine.record_loss(request, Lifetime(target), now_s, now_s)
    quarantine.record_crash(target, None, now_s)


def _new_quarantine() -> Quarantine:
    quarantine = Quarantine()
    quarantine.set_targets(DOMAINS)
    return quarantine


@pytest.mark.parametrize(
    ("senders", "asked", "expected"),
    [
        ([1, 2], 3, Quarantined),
        ([1, 1], 1, Quarantined),
        ([1, 1], 3, Unrestricted),
        ([1], 3, Unrestricted),
        ([1], 1, LimitedToTarget),
    ],
    ids=[
        "two_callers_blame_the_content",
        "one_caller_blames_its_request",
        "one_caller_does_not_blame_the_content",
        "one_crash_does_not_blame_the_content",
        "one_crash_makes_a_suspect",
    ],
)
def test_blame_falls_on_the_level_that_the_losses_support(
    senders: list[int], asked: int, expected: type
) -> None:
    quarantine = _new_quarantine()
    for step, caller in enumerate(senders):
        _crash(quarantine, f"t{step}", 5.0 * step, _sender(caller))
    assert isinstance(quarantine.verdict(_sender(asked), 6.0, lambda _: True), expected)


def test_answer_to_one_caller_clears_the_content_but_not_the_request_of_another() -> None:
    quarantine = _new_quarantine()
    _crash(quarantine, "t0", 0.0, _sender(1))
    _crash(quarantine, "t1", 5.0, _sender(1), _sender(2))
    quarantine.record_end(_sender(3), "t2", is_answered=True, sent_s=6.0, now_s=6.5)
    assert isinstance(quarantine.verdict(_sender(3), 7.0, lambda _: True), Unrestricted)
    assert isinstance(quarantine.verdict(_sender(1), 7.0, lambda _: True), Quarantined)


def test_answer_to_a_run_sent_before_the_crashes_clears_nothing() -> None:
    """A content may crash its targets from a moment on."""
    quarantine = _new_quarantine()
    for step in range(2):
        _crash(quarantine, f"t{step}", 5.0 * step, _sender(step))
    quarantine.record_end(_sender(3), "t2", is_answered=True, sent_s=-1.0, now_s=6.0)
    assert isinstance(quarantine.verdict(_sender(3), 6.0, lambda _: True), Quarantined)


def test_harmless_request_in_flight_at_crashes_is_explained_by_the_one_at_every_crash() -> None:
    quarantine = _new_quarantine()
    bad, beside = _sender(1, "/bad"), _sender(2, "/beside")
    for step in range(3):
        others = [beside] if step < 2 else []
        _crash(quarantine, f"t{step}", 5.0 * step, bad, *others)
        quarantine.judgement(bad, 5.0 * step)
    assert isinstance(quarantine.verdict(bad, 21.0, lambda _: True), Quarantined)
    assert quarantine.judgement(beside, 21.0).standing is Standing.CLEAR


def test_popular_content_answered_between_crashes_explains_nothing() -> None:
    quarantine = _new_quarantine()
    for step in range(3):
        at_s = 5.0 * step
        crashing = [_sender(step, "/bad")] if step < 2 else []
        _crash(quarantine, f"t{step}", at_s, _sender(step, "/popular"), *crashing)
        quarantine.record_end(
            _sender(9, "/popular"), "t9", is_answered=True, sent_s=at_s + 1, now_s=at_s + 2
        )
        quarantine.judgement(_sender(step, "/popular"), at_s + 2)
    assert isinstance(quarantine.verdict(_sender(7, "/bad"), 13.0, lambda _: True), Quarantined)
    assert isinstance(
        quarantine.verdict(_sender(7, "/popular"), 13.0, lambda _: True), Unrestricted
    )


def test_answer_elsewhere_ends_the_suspicion_on_every_entry_vm() -> None:
    author, reader = _new_quarantine(), _new_quarantine()
    _crash(author, "t0", 0.0, _sender(1))
    assert author.judgement(_sender(1), 0.0).standing is Standing.SUSPECTED
    report = author.report(_sender(1), 1.0)
    assert report is not None
    reader.receive_report(report, 1.0)
    assert reader.judgement(_sender(1), 1.0).standing is Standing.SUSPECTED
    assert author.record_end(_sender(1), "t1", is_answered=True, sent_s=1.5, now_s=2.0)
    cleared = author.report(_sender(1), 2.0)
    assert cleared is not None
    assert reader.receive_report(cleared, 2.0)
    assert reader.judgement(_sender(1), 2.0).standing is Standing.CLEAR


def test_first_run_after_a_quarantine_keeps_others_away_until_its_answer() -> None:
    """Its target may be silent, so that the loss shows only after seconds."""
    quarantine = _new_quarantine()
    for target in ("t0", "t1"):
        _crash(quarantine, target, 0.0, CRASHING, INNOCENT)
    assert isinstance(quarantine.verdict(CRASHING, 9.0, lambda _: True), Quarantined)
    limited = quarantine.verdict(CRASHING, 11.0, lambda _: True)
    assert isinstance(limited, LimitedToTarget)
    quarantine.record_trial(CRASHING, Lifetime(limited.target), 11.0)
    assert isinstance(quarantine.verdict(CRASHING, 11.1, lambda _: True), Quarantined)
    quarantine.record_end(CRASHING, limited.target, is_answered=True, sent_s=11.0, now_s=11.5)
    assert isinstance(quarantine.verdict(CRASHING, 11.6, lambda _: True), Unrestricted)
