"""Decide about requests: pure logic without sockets, threads or clocks of its own."""

from chervilmill.requests._choice import TargetChoice, TwoRandomChoices
from chervilmill.requests._kinds import RequestKind, kind_of

__all__ = ["RequestKind", "TargetChoice", "TwoRandomChoices", "kind_of"]
