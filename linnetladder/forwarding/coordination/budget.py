"""Retry budget over a sliding window, shared by all daemons."""

import collections

from linnetladder.forwarding.settings import SettingsHolder
from linnetladder.state import Clock

__all__ = ["RetryBudget", "ServiceCounts"]

# Shares of its proportional and its fixed allowance that a daemon uses. The rest is a
# margin for peers that temporarily count fewer daemons.
RATIO_SHARE = 0.85
SLACK_SHARE = 0.6
BUCKET_SECONDS = 0.5
# Escalations leave this share of the allowance for failed attempts, at most so many.
RESERVED_SHARE = 0.2
MAXIMUM_RESERVED_RETRIES = 3.0


class SlidingWindowCounter:
    """Counts events in a sliding window, in buckets of half a second."""

    def __init__(self):
        self.buckets: collections.deque[list] = collections.deque()
        self.total = 0

    def add(self, now: float) -> None:
        """Count one event."""
        bucket = int(now / BUCKET_SECONDS)
        if not self.buckets or self.buckets[-1][0] != bucket:
            self.buckets.append([bucket, 0])
        self.buckets[-1][1] += 1
        self.total += 1

    def cancel(self, at: float) -> None:
        """Take an event back that was counted at a time, unless it has expired."""
        for bucket in reversed(self.buckets):
            if bucket[0] == int(at / BUCKET_SECONDS):
                bucket[1] -= 1
                self.total -= 1
                return

    def count(self, now: float, window: float) -> int:
        """Return the number of events in the last ``window`` seconds."""
        oldest = int((now - window) / BUCKET_SECONDS)
        while self.buckets and self.buckets[0][0] < oldest:
            self.total -= self.buckets.popleft()[1]
        return self.total

    def rate(self, now: float, seconds: float) -> float:
        """Return the events per second over the last ``seconds``."""
        oldest = int((now - seconds) / BUCKET_SECONDS)
        recent = sum(count for bucket, count in self.buckets if bucket >= oldest)
        return recent / seconds


class ServiceCounts:
    """Counters of one service's requests and retries."""

    def __init__(self):
        self.requests = SlidingWindowCounter()
        self.retries = SlidingWindowCounter()


class RetryBudget:
    """Allows retries up to this daemon's part of the shared allowance.

    The part proportional to traffic is based on this daemon's own requests, so the sum
    over all daemons stays within the bound without communication between them. The
    fixed part is divided by the number of daemons.
    """

    def __init__(self, *, settings: SettingsHolder, clock: Clock):
        self.settings = settings
        self.clock = clock
        self.daemons = 1
        self.services: dict[str, ServiceCounts] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request, which raises the allowance."""
        self._counts_of(service).requests.add(self.clock.monotonic())

    def request_rate(self, service: str, *, seconds: float) -> float:
        """Return this daemon's rate of caller requests, over the last ``seconds``."""
        return self._counts_of(service).requests.rate(self.clock.monotonic(), seconds)

    def allowance(self, service: str) -> float:
        """Return how many retries are allowed in the present window."""
        now = self.clock.monotonic()
        bounds = self.settings.bounds
        requests = self._counts_of(service).requests.count(now, bounds.retry_window)
        allowed = bounds.retry_ratio * RATIO_SHARE * requests
        return allowed + bounds.retry_slack * SLACK_SHARE / max(self.daemons, 1)

    def available(self, service: str) -> float:
        """Return how many retries are available now."""
        now = self.clock.monotonic()
        window = self.settings.bounds.retry_window
        retries = self._counts_of(service).retries.count(now, window)
        return self.allowance(service) - retries

    def allows_escalation(self, service: str) -> bool:
        """Return whether a retry is left for an answer that is merely doubtful.

        Some are kept for failed attempts: few where the allowance is small, since a
        daemon of a large fleet would otherwise escalate nothing for its first seconds.
        """
        reserve = min(
            MAXIMUM_RESERVED_RETRIES, RESERVED_SHARE * self.allowance(service)
        )
        return self.available(service) >= 1.0 + reserve

    def spend(self, service: str, *, reserve: float = 0.0) -> bool:
        """Spend one retry and return true, if ``reserve`` others remain available."""
        if self.available(service) < 1.0 + reserve:
            return False
        self._counts_of(service).retries.add(self.clock.monotonic())
        return True

    def refund(self, service: str, *, spent_at: float) -> None:
        """Take back a retry that was spent at a time and reached no endpoint."""
        self._counts_of(service).retries.cancel(spent_at)

    def _counts_of(self, service: str) -> ServiceCounts:
        counts = self.services.get(service)
        if counts is None:
            counts = self.services[service] = ServiceCounts()
        return counts
