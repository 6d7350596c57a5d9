"""Rate limits by token buckets, and limits on requests in flight."""

import collections
import dataclasses

from linnetladder.state import AccountView

__all__ = ["AccountLimits", "AddressLimits", "TokenBucket"]

MAXIMUM_ADDRESSES = 10_000


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket that refills at ``rate`` tokens a second up to ``burst``.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2.0, burst=1.0, tokens=1.0, updated=0.0)
    >>> bucket.take(now=0.0), bucket.take(now=0.0)
    (0.0, 0.5)
    """

    rate: float
    burst: float
    tokens: float
    updated: float

    def take(self, now: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        elapsed = max(now - self.updated, 0.0)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.updated = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate

    def resize(self, *, rate: float, burst: float) -> None:
        """Change the rate and the burst, keeping the tokens that still fit."""
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)


class AddressLimits:
    """Limit the request rate of each caller address before authentication.

    At most `MAXIMUM_ADDRESSES` are remembered; the one first seen is dropped first.
    """

    def __init__(self, *, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self.buckets: collections.OrderedDict[str, TokenBucket] = (
            collections.OrderedDict()
        )

    def take(self, address: str, now: float) -> float:
        """Return 0, or the seconds after which the address may retry."""
        bucket = self.buckets.get(address)
        if bucket is None:
            bucket = TokenBucket(self.rate, self.burst, self.burst, now)
            self.buckets[address] = bucket
            if len(self.buckets) > MAXIMUM_ADDRESSES:
                self.buckets.popitem(last=False)
        return bucket.take(now)


class AccountLimits:
    """Limit each client account's rate and requests in flight at this daemon.

    An account's limits hold for the whole system, so each daemon enforces its part:
    the limit divided by the number of daemons that serve callers.
    """

    def __init__(self):
        self.daemon_count = 1
        self.buckets: dict[str, TokenBucket] = {}
        self.in_flight: collections.Counter[str] = collections.Counter()

    def take(self, view: AccountView, now: float) -> float:
        """Return 0, or the seconds after which the account may retry."""
        rate = view.settings.values.requests_per_second / self.daemon_count
        burst = max(view.settings.values.burst / self.daemon_count, 1.0)
        bucket = self.buckets.get(view.account)
        if bucket is None:
            bucket = TokenBucket(rate, burst, burst, now)
            self.buckets[view.account] = bucket
        elif bucket.rate != rate or bucket.burst != burst:
            bucket.resize(rate=rate, burst=burst)
        return bucket.take(now)

    def maximum_in_flight(self, view: AccountView) -> int:
        """Return this daemon's share of an account's in-flight limit, at least 1."""
        return max(view.settings.values.maximum_in_flight // self.daemon_count, 1)

    def admit(self, view: AccountView) -> bool:
        """Count a request as in flight and return true, or false at the limit."""
        if self.in_flight[view.account] >= self.maximum_in_flight(view):
            return False
        self.in_flight[view.account] += 1
        return True

    def end_request(self, account: str) -> None:
        """Count a request as no longer in flight."""
        self.in_flight[account] -= 1
        if self.in_flight[account] <= 0:
            del self.in_flight[account]
