"""How many requests meet a version that turned bad, before it is pulled.

A candidate serves a share of requests and turns bad at a random moment: abruptly,
slowly, or in ratings only by a little. The sequential test is set beside a threshold
over a fixed window whose limit is tuned so that both pull a good version equally often
in a run of good requests.
"""

import collections
import dataclasses
import random
import sys

import numpy
from absl import app as absl_app
from absl import flags
from rich.console import Console
from rich.table import Table

from linnetladder.state.sequential import ChangeTest

__all__ = ["main"]

FLAGS = flags.FLAGS
GOOD = 0.9
CASES = {
    "abrupt to 0.3": (0.3, 0),
    "abrupt to 0.6": (0.6, 0),
    "slow to 0.5": (0.5, 400),
}
GIVE_UP = 5000
ALARM_RATE = 1e-4
WINDOWS = (20, 50, 100)


class FixedWindow:
    """Alarm when fewer than a limit of the last outcomes were good."""

    def __init__(self, *, length: int, limit: int):
        self.limit = limit
        self.outcomes: collections.deque[bool] = collections.deque(maxlen=length)
        self.good = 0

    def add(self, *, good: bool) -> bool:
        """Take in an outcome and return whether the version now counts as bad."""
        outcomes = self.outcomes
        if len(outcomes) == outcomes.maxlen:
            self.good -= outcomes[0]
        outcomes.append(good)
        self.good += good
        return len(outcomes) == outcomes.maxlen and self.good < self.limit


@dataclasses.dataclass(frozen=True, slots=True)
class Detector:
    """A way to build a detector, with its name."""

    name: str
    build: object


def false_alarms(build, outcomes: list[bool]) -> int:
    """Return how often a detector pulls a version that stays good."""
    detector = build()
    alarms = 0
    for good in outcomes:
        if detector.add(good=good):
            alarms += 1
            detector = build()
    return alarms


def tune_window(length: int, outcomes: list[bool], allowed: int) -> int:
    """Return the highest limit that pulls a good version no oftener than allowed."""
    best = 1
    for limit in range(2, length):
        alarms = false_alarms(
            lambda limit=limit: FixedWindow(length=length, limit=limit), outcomes
        )
        if alarms > allowed:
            break
        best = limit
    return best


def exposure(build, *, bad: float, ramp: int, seed: int) -> int:
    """Return the outcomes seen between a version's turn and its pull."""
    source = random.Random(seed)
    detector = build()
    for _ in range(source.randrange(200, 1200)):
        if detector.add(good=source.random() < GOOD):
            detector = build()
    for count in range(1, GIVE_UP + 1):
        progress = min(count / ramp, 1.0) if ramp else 1.0
        share = GOOD + (bad - GOOD) * progress
        if detector.add(good=source.random() < share):
            return count
    return GIVE_UP


def main(argv: list[str]) -> None:
    """Tune, measure and print."""
    source = random.Random(1)
    outcomes = [source.random() < GOOD for _ in range(FLAGS.good)]

    def build_sequential() -> ChangeTest:
        return ChangeTest(expected=GOOD, alarm_rate=ALARM_RATE)

    allowed = max(false_alarms(build_sequential, outcomes), 1)
    detectors = [Detector("sequential", build_sequential)]
    for length in WINDOWS:
        limit = tune_window(length, outcomes, allowed)
        detectors.append(
            Detector(
                f"window of {length}, below {limit}",
                lambda n=length, m=limit: FixedWindow(length=n, limit=m),
            )
        )
    table = Table(title=f"requests that met the bad version, {FLAGS.seeds} seeds")
    table.add_column("detector")
    table.add_column(f"false pulls in {FLAGS.good}")
    for case in CASES:
        table.add_column(f"{case}: mean / p95")
    for detector in detectors:
        cells = [str(false_alarms(detector.build, outcomes))]
        for bad, ramp in CASES.values():
            seen = [
                exposure(detector.build, bad=bad, ramp=ramp, seed=seed)
                for seed in range(FLAGS.seeds)
            ]
            cells.append(f"{numpy.mean(seen):.0f} / {numpy.percentile(seen, 95):.0f}")
        table.add_row(detector.name, *cells)
    Console(width=140).print(table)
    sys.exit(0)


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 300, "Turns to draw for each case.")
    flags.DEFINE_integer("good", 300_000, "Good outcomes to count false pulls over.")
    absl_app.run(main)
