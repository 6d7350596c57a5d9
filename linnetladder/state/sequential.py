"""A sequential test that detects a degraded version, with a given false-alarm rate.

For each size of drop in the share of good outcomes, the log likelihood ratios of the
lower against the expected share are summed over the outcomes. A sum that falls to zero
restarts (CUSUM), so that a change at any time is detected. While a version is good, a
sum crosses its threshold on average once in ``1 / alarm_rate`` outcomes or more.
"""

import dataclasses
import math

__all__ = ["CusumTest", "DEFAULT_ALARM_RATE"]

DEFAULT_ALARM_RATE = 1e-6
MINIMUM_SHARE = 1e-4  # keeps the logarithms finite


@dataclasses.dataclass(slots=True, kw_only=True)
class CusumTest:
    """Detect a drop of the share of good outcomes below the expected share.

    ``expected`` is the share under a good version; ``drops`` are the relative drops
    that the test looks for, each with its own sum; ``alarm_rate`` is the highest rate
    of false alarms per outcome.

    Examples
    --------
    >>> test = CusumTest(expected=0.9)
    >>> any(test.add(good=False) for _ in range(30))
    True
    """

    expected: float
    alarm_rate: float = DEFAULT_ALARM_RATE
    drops: tuple[float, ...] = (0.1, 0.25, 0.5)
    sums: list[float] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.sums = [0.0] * len(self.drops)

    @property
    def threshold(self) -> float:
        """The sum at which the version counts as degraded.

        By Lorden's bound, ``k`` CUSUMs with the threshold ``log(k / rate)`` together
        raise at most ``rate`` false alarms per outcome under the null hypothesis.
        """
        return math.log(len(self.drops) / self.alarm_rate)

    def add(self, *, good: bool) -> bool:
        """Add an outcome and return whether the version now counts as degraded."""
        expected = min(max(self.expected, MINIMUM_SHARE), 1 - MINIMUM_SHARE)
        alarm = False
        for position, drop in enumerate(self.drops):
            degraded = max(expected * (1 - drop), MINIMUM_SHARE)
            likelihood_ratio = (
                degraded / expected if good else (1 - degraded) / (1 - expected)
            )
            total = max(self.sums[position] + math.log(likelihood_ratio), 0.0)
            self.sums[position] = total
            alarm = alarm or total >= self.threshold
        return alarm
