"""Measure how many requests a version that turned bad serves before it is pulled.

A candidate version serves a share of requests. At a random moment its share of good
outcomes falls: abruptly, slowly, or only by a little. The sequential test is compared
with thresholds on fixed windows of outcomes, whose limits are tuned so that they raise
no more false alarms on a run of good outcomes than the sequential test, or one if it
raises none.
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

from linnetladder.state.sequential import CusumTest

__all__ = ["main"]

FLAGS = flags.FLAGS
GOOD_SHARE = 0.9
# The share of good outcomes after the change, and over how many outcomes it falls.
CASES = {
    "abrupt to 0.3": (0.3, 0),
    "abrupt to 0.6": (0.6, 0),
    "slow to 0.5": (0.5, 400),
}
MAXIMUM_OUTCOMES = 5000
ALARM_RATE = 1e-4  # false alarms per outcome
WINDOW_LENGTHS = (20, 50, 100)


class FixedWindow:
    """Raises an alarm when fewer than ``limit`` of the last outcomes were good."""

    def __init__(self, *, length: int, limit: int):
        self.limit = limit
        self.outcomes: collections.deque[bool] = collections.deque(maxlen=length)
        self.good = 0

    def add(self, *, good: bool) -> bool:
        """Add an outcome and return whether it raises an alarm."""
        outcomes = self.outcomes
        if len(outcomes) == outcomes.maxlen:
            self.good -= outcomes[0]
        outcomes.append(good)
        self.good += good
        return len(outcomes) == outcomes.maxlen and self.good < self.limit


@dataclasses.dataclass(frozen=True, slots=True)
class Detector:
    """The name of a detector and a function that builds it."""

    name: str
    build: object


def false_alarms(build, outcomes: list[bool]) -> int:
    """Return the number of alarms on a run of a good version's outcomes.

    After each alarm a new detector is built.
    """
    detector = build()
    alarms = 0
    for good in outcomes:
        if detector.add(good=good):
            alarms += 1
            detector = build()
    return alarms


def tune_window(length: int, outcomes: list[bool], allowed_alarms: int) -> int:
    """Return the highest limit that raises at most the allowed false alarms."""
    highest_limit = 1
    for limit in range(2, length):
        alarms = false_alarms(
            lambda limit=limit: FixedWindow(length=length, limit=limit), outcomes
        )
        if alarms > allowed_alarms:
            break
        highest_limit = limit
    return highest_limit


def outcomes_until_alarm(
    build, *, bad_share: float, ramp_outcomes: int, seed: int
) -> int:
    """Return how many outcomes pass between a version's change and the alarm.

    Without an alarm, return ``MAXIMUM_OUTCOMES``.
    """
    rng = random.Random(seed)
    detector = build()
    for _ in range(rng.randrange(200, 1200)):
        if detector.add(good=rng.random() < GOOD_SHARE):
            detector = build()
    for count in range(1, MAXIMUM_OUTCOMES + 1):
        progress = min(count / ramp_outcomes, 1.0) if ramp_outcomes else 1.0
        good_share = GOOD_SHARE + (bad_share - GOOD_SHARE) * progress
        if detector.add(good=rng.random() < good_share):
            return count
    return MAXIMUM_OUTCOMES


def main(argv: list[str]) -> None:
    """Tune the windows, measure all detectors and print the table."""
    rng = random.Random(1)
    outcomes = [rng.random() < GOOD_SHARE for _ in range(FLAGS.good)]

    def build_sequential() -> CusumTest:
        return CusumTest(expected=GOOD_SHARE, alarm_rate=ALARM_RATE)

    allowed_alarms = max(false_alarms(build_sequential, outcomes), 1)
    detectors = [Detector("sequential", build_sequential)]
    for length in WINDOW_LENGTHS:
        limit = tune_window(length, outcomes, allowed_alarms)
        detectors.append(
            Detector(
                f"window of {length}, below {limit}",
                lambda n=length, m=limit: FixedWindow(length=n, limit=m),
            )
        )
    table = Table(title=f"requests served by the bad version, {FLAGS.seeds} seeds")
    table.add_column("detector")
    table.add_column(f"false alarms in {FLAGS.good}")
    for case in CASES:
        table.add_column(f"{case}: mean / p95")
    for detector in detectors:
        cells = [str(false_alarms(detector.build, outcomes))]
        for bad_share, ramp_outcomes in CASES.values():
            exposures = [
                outcomes_until_alarm(
                    detector.build,
                    bad_share=bad_share,
                    ramp_outcomes=ramp_outcomes,
                    seed=seed,
                )
                for seed in range(FLAGS.seeds)
            ]
            cells.append(
                f"{numpy.mean(exposures):.0f} / {numpy.percentile(exposures, 95):.0f}"
            )
        table.add_row(detector.name, *cells)
    Console(width=140).print(table)
    sys.exit(0)


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 300, "Turns to draw for each case.")
    flags.DEFINE_integer("good", 300_000, "Good outcomes to count false pulls over.")
    absl_app.run(main)
