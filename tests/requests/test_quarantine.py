"""Tell requests that crash targets from those that ran beside them."""

import pytest

from chervilmill.requests import Free, Limited, Quarantine, Quarantined

DOMAINS = {f"t{number}": f"domain-{'abc'[number % 3]}" for number in range(12)}
BAD, BESIDE = b"bad", b"beside"


class Node:
    """Hold the quarantine of one entry VM and pass its news on."""

    def __init__(self, others: list["Node"]) -> None:
        self.quarantine = Quarantine()
        self.quarantine.set_targets(DOMAINS)
        self.others = others

    def verdict(self, request: bytes, now_s: float):
        return self.quarantine.verdict(request, now_s, lambda _: True)

    def run(self, request: bytes, now_s: float, *, beside: bytes | None = None) -> str | None:
        """Run a request; the bad one crashes its target. Return the target, or None."""
        verdict = self.verdict(request, now_s)
        if isinstance(verdict, Quarantined):
            return None
        target = verdict.target if isinstance(verdict, Limited) else "t0"
        self.quarantine.started(request, target)
        if beside is not None:
            self.quarantine.started(beside, target)
        if request != BAD:
            self.quarantine.ended(request, target, is_answered=True)
            return target
        for news in self.quarantine.crashed(target, request, now_s):
            for other in self.others:
                other.quarantine.receive(news, now_s)
        self.quarantine.ended(request, target, is_answered=False)
        if beside is not None:
            self.quarantine.ended(beside, target, is_answered=False)
        return target


def nodes(count: int) -> list[Node]:
    made: list[Node] = [Node([]) for _ in range(count)]
    for node in made:
        node.others = [other for other in made if other is not node]
    return made


@pytest.mark.parametrize("through", [[0, 0, 0, 0], [0, 1, 2, 0], [0, 1, 1, 2]])
def test_two_targets_are_lost_whichever_way_resends_go(through: list[int]) -> None:
    made = nodes(3)
    lost = [made[index].run(BAD, float(step)) for step, index in enumerate(through)]
    assert len({target for target in lost if target}) == 2
    assert lost[2:] == [None, None]


def test_request_beside_it_is_limited_elsewhere_and_cleared_by_an_answer() -> None:
    [node] = nodes(1)
    first = node.run(BAD, 0.0, beside=BESIDE)
    bad, beside = node.verdict(BAD, 0.0), node.verdict(BESIDE, 0.0)
    assert isinstance(bad, Limited) and isinstance(beside, Limited)
    assert len({first, bad.target, beside.target}) == 3
    assert DOMAINS[bad.target] != DOMAINS["t0"]
    assert node.run(BESIDE, 0.1) == beside.target
    assert isinstance(node.verdict(BESIDE, 0.1), Free)
    assert node.run(BAD, 0.2) == bad.target
    assert isinstance(node.verdict(BAD, 0.3), Quarantined)


def test_request_beside_it_twice_is_never_refused() -> None:
    [node] = nodes(1)
    node.run(BAD, 0.0, beside=BESIDE)
    node.run(BAD, 0.1, beside=b"other")
    assert isinstance(node.verdict(BAD, 0.2), Quarantined)
    for request in (BESIDE, b"other"):
        assert isinstance(node.verdict(request, 0.2), Limited)
        assert node.run(request, 0.2)
        assert isinstance(node.verdict(request, 0.3), Free)


@pytest.mark.parametrize(
    ("crashes", "after_s", "expected"),
    [(1, 50.0, Limited), (1, 61.0, Free), (2, 500.0, Quarantined), (2, 602.0, Free)],
)
def test_it_lapses(crashes: int, after_s: float, expected: type) -> None:
    [node] = nodes(1)
    for _ in range(crashes):
        node.run(BAD, 0.0)
    assert isinstance(node.verdict(BAD, after_s), expected)


def test_loss_of_a_failure_domain_quarantines_nobody() -> None:
    [node] = nodes(1)
    lost = [name for name, domain in DOMAINS.items() if domain == "domain-a"]
    for target in lost:
        node.quarantine.started(BESIDE, target)
        node.quarantine.crashed(target, BESIDE, 0.1)
    for number, target in enumerate(lost):
        node.quarantine.crashed(target, f"r{number}".encode(), 0.2)
    assert not isinstance(node.verdict(BESIDE, 0.3), Quarantined)


def test_news_never_lessen_what_is_known() -> None:
    first, second = nodes(2)
    news = first.quarantine.crashed("t0", BAD, 0.0)
    second.run(BAD, 0.0)
    second.run(BAD, 0.1)
    for one in news:
        second.quarantine.receive(one, 0.2)
    assert isinstance(second.verdict(BAD, 0.2), Quarantined)


def test_suspect_moves_when_its_target_cannot_be_used() -> None:
    [node] = nodes(1)
    node.run(BAD, 0.0)
    limited = node.verdict(BAD, 0.0)
    moved = node.quarantine.verdict(BAD, 0.1, lambda name: name != limited.target)
    assert moved.target not in (limited.target, "t0")


def test_request_that_was_hedged_takes_two_targets_too() -> None:
    """Both runs had begun before the first crash was known."""
    [node] = nodes(1)
    for target in ("t0", "t3"):
        node.quarantine.started(BAD, target)
    for target in ("t0", "t3"):
        node.quarantine.crashed(target, BAD, 0.0)
        node.quarantine.ended(BAD, target, is_answered=False)
    assert isinstance(node.verdict(BAD, 0.1), Quarantined)
