"""A sequential test that tells a version turned bad, at a stated false-alarm rate.

Two sums run over a version's outcomes: a mixture likelihood ratio against the expected
share of good outcomes, restarted when it falls to one (a CUSUM of log likelihood
ratios), so that a change at any moment is found. Under a good version the sum crosses
its threshold on average once in ``1 / alarm_rate`` outcomes or more.
"""

import dataclasses
import math

__all__ = ["ChangeTest", "DEFAULT_ALARM_RATE"]

DEFAULT_ALARM_RATE = 1e-6
MINIMUM_SHARE = 1e-4


@dataclasses.dataclass(slots=True, kw_only=True)
class CusumTest:
    """Watch for a fall of the share of good outcomes below an expected one.

    ``expected`` is the share under a good version; ``drops`` are the falls that the
    test looks for, each with a sum of its own.

    Examples
    --------
    >>> test = ChangeTest(expected=0.9)
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
        """The sum at which the version counts as bad.

        By Lorden's bound a CUSUM crosses ``log(k / rate)`` under the null at most
        ``rate`` times an outcome, shared over ``k`` sums.
        """
        return math.log(len(self.drops) / self.alarm_rate)

    def add(self, *, good: bool) -> bool:
        """Take in an outcome and return whether the version now counts as bad."""
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
