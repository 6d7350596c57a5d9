"""A rate limit that all daemons keep together without exchanging messages.

The permits of a limit are numbered by Unix time: permit ``k`` falls due at ``k / rate``
seconds. They go round the daemons in turn, so each daemon knows which ones are its own
from the clock and the list of daemons alone. The sum over all daemons is the limit,
whatever their number, and a daemon that starts anew gets no more than its turns.
"""

import math

__all__ = ["MINIMUM_RATE", "PermitSchedule"]

# A limit of zero is tried this often, in permits a second, to learn of its end.
MINIMUM_RATE = 0.1
# A permit that is not used expires after this time, or after this many further permits
# of all daemons if that takes longer.
LIFETIME_SECONDS = 0.5
LIFETIME_PERMITS = 2.0


class PermitSchedule:
    """The permits of one daemon, whose ``turn`` comes once in ``turns`` permits.

    ``rate`` is the limit of all daemons in permits a second; ``now`` is Unix time in
    seconds. The first permit is the first own one that falls due after ``now``.
    ``lifetime`` is the time in seconds after which an unused permit expires; by default
    it is at least `LIFETIME_PERMITS` permits of all daemons.

    Examples
    --------
    >>> schedule = PermitSchedule(rate=2.0, turn=1, turns=4, now=100.0)
    >>> schedule.take(100.0), schedule.seconds_until_next(100.0)
    (False, 0.5)
    >>> schedule.take(100.5), schedule.seconds_until_next(100.5)
    (True, 2.0)
    """

    def __init__(
        self,
        *,
        rate: float,
        turn: int,
        turns: int,
        now: float,
        lifetime: float | None = None,
    ):
        self.rate = max(rate, MINIMUM_RATE)
        self.turn = turn
        self.turns = turns
        if lifetime is None:
            lifetime = LIFETIME_SECONDS + LIFETIME_PERMITS / self.rate
        self.lifetime = lifetime
        self.next_permit = self._first_own(math.floor(now * self.rate) + 1)

    def available(self, now: float) -> bool:
        """Return whether a permit can be taken."""
        self._expire(now)
        return self.next_permit <= now * self.rate

    def take(self, now: float) -> bool:
        """Take a permit and return true, unless none is available."""
        if not self.available(now):
            return False
        self.next_permit += self.turns
        return True

    def reserve(self, now: float, *, within: float) -> float | None:
        """Take a permit that falls due within some seconds.

        Return the seconds until it is due, or ``None`` if there is none.
        """
        seconds = self.seconds_until_next(now)
        if seconds > within:
            return None
        self.next_permit += self.turns
        return seconds

    def seconds_until_next(self, now: float) -> float:
        """Return the seconds until the next permit that is left, 0 if it is due."""
        self._expire(now)
        return max(self.next_permit / self.rate - now, 0.0)

    def _expire(self, now: float) -> None:
        """Skip the permits whose lifetime has passed."""
        oldest = math.ceil((now - self.lifetime) * self.rate)
        if self.next_permit < oldest:
            self.next_permit = self._first_own(oldest)

    def _first_own(self, number: int) -> int:
        """Return the first permit of this daemon from a number on."""
        return number + (self.turn - number) % self.turns
