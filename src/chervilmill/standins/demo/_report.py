"""Printed report of the demonstration."""

import time


class Report:
    """Prints steps with their figures and claims, and collects the claims that fail."""

    def __init__(self) -> None:
        self.failed: list[str] = []
        self._claim_count = 0
        self._started_s = time.monotonic()

    def step(self, title: str) -> None:
        """Print the title of a step."""
        print(f"\n{title}", flush=True)

    def line(self, text: str) -> None:
        """Print one line of the current step."""
        print(f"  {text}", flush=True)

    def claim(self, text: str, holds: bool) -> None:
        """Print a claim and whether it holds."""
        self._claim_count += 1
        if not holds:
            self.failed.append(text)
        print(f"  [{'ok' if holds else 'FAILED'}] {text}", flush=True)

    def close(self) -> int:
        """Print a summary and the failed claims; return the exit code."""
        elapsed_s = time.monotonic() - self._started_s
        held_count = self._claim_count - len(self.failed)
        print(f"\n{held_count} of {self._claim_count} claims hold, in {elapsed_s:.1f} s")
        for text in self.failed:
            print(f"failed: {text}")
        return int(bool(self.failed))
