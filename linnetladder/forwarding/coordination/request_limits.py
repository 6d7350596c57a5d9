"""Limits that endpoints name on the requests they take from all daemons together."""

import dataclasses

from linnetladder.forwarding.protocol import ResponseHead
from linnetladder.state import Clock, Endpoint
from linnetladder.telemetry import Metrics, log_change

__all__ = ["NamedLimit", "RequestLimits"]


@dataclasses.dataclass(slots=True, kw_only=True)
class NamedLimit:
    """What an endpoint's incarnation last said of its limit.

    ``per_second`` is ``None`` if it names no limit any more. ``said_at`` is the time of
    the answer on this daemon's clock.
    """

    incarnation: str
    per_second: float | None
    said_at: float


class RequestLimits:
    """Keeps the latest limit that each endpoint named."""

    def __init__(self, *, clock: Clock, metrics: Metrics):
        self.clock = clock
        self.metrics = metrics
        self.named: dict[str, NamedLimit] = {}

    def limit_of(self, endpoint: Endpoint) -> float | None:
        """Return an endpoint's limit in requests a second, ``None`` if it has none."""
        named = self.named.get(endpoint.name)
        if named is None or named.incarnation != endpoint.incarnation:
            return None
        return named.per_second

    def learn_answer(
        self, endpoint: Endpoint, head: ResponseHead, *, sent_at: float
    ) -> None:
        """Record what an answer says of its endpoint's limit.

        An answer without a limit lifts the one that is known only if its request was
        sent after that was named: answers may overtake each other. One that did not run
        its request, or comes from another instance, lifts none.
        """
        if head.misdirected:
            return
        if head.request_limit is not None:
            self._record(endpoint, head.request_limit, self.clock.monotonic())
        elif head.names_request_limit:
            self.metrics.count("request_limits", label="unreadable")
        elif not head.not_run and self._was_named_before(endpoint, sent_at):
            self._record(endpoint, None, sent_at)

    def _was_named_before(self, endpoint: Endpoint, time: float) -> bool:
        if self.limit_of(endpoint) is None:
            return False
        return self.named[endpoint.name].said_at < time

    def _record(
        self, endpoint: Endpoint, per_second: float | None, said_at: float
    ) -> None:
        previous = self.limit_of(endpoint)
        self.named[endpoint.name] = NamedLimit(
            incarnation=endpoint.incarnation, per_second=per_second, said_at=said_at
        )
        if per_second == previous:
            return
        if per_second is None:
            self.metrics.count("request_limits", label="lifted")
            log_change(
                "endpoint lifts its limit", endpoint=endpoint.name, previous=previous
            )
            return
        self.metrics.count("request_limits", label="named")
        log_change(
            "endpoint limits requests",
            endpoint=endpoint.name,
            per_second=per_second,
            previous=previous,
        )
