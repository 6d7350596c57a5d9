"""Refusals of requests for which no attempt, or no further one, can be made."""

from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.forwarding.coordination.availability import (
    EndpointAvailability,
    Obstacle,
    ObstacleReason,
    describe_obstacles,
)
from linnetladder.forwarding.coordination.calls import CallFault
from linnetladder.forwarding.coordination.selection import Selection, SelectionInputs
from linnetladder.forwarding.state import ForwardRequest
from linnetladder.state import Endpoint
from linnetladder.telemetry import Metrics

__all__ = ["AttemptRefusals", "attempt_refusal", "budget_spent"]

RETRY_AFTER_SECONDS = 0.25
# Endpoints that are evacuated or missing in a request's homes are so for seconds at
# least, so callers need not ask again earlier.
ABSENCE_RETRY_AFTER_SECONDS = 1.0
# Obstacles that end at a known time, at which callers may come back.
TIMED_REASONS = frozenset(
    (ObstacleReason.PAUSED, ObstacleReason.FULL, ObstacleReason.AT_LIMIT)
)
# Endpoints with these obstacles don't come back before their failure domain does.
ABSENCE_REASONS = frozenset(
    (ObstacleReason.UNLISTED, ObstacleReason.LEAVING, ObstacleReason.EVACUATED)
)


class AttemptRefusals:
    """Explains why no endpoint takes a request, and when its caller may come back."""

    def __init__(
        self,
        *,
        selection: Selection,
        availability: EndpointAvailability,
        metrics: Metrics,
    ):
        self.selection = selection
        self.availability = availability
        self.metrics = metrics

    def no_endpoint(
        self,
        request: ForwardRequest,
        inputs: SelectionInputs,
        last_fault: CallFault | None,
    ) -> Refusal:
        """Return the refusal of a request that can be sent to no endpoint in time."""
        kind = ErrorKind.NO_ENDPOINT
        detail = f"no endpoint of service {request.service!r} takes the request"
        allowed = self.selection.allowed(inputs)
        obstacles = list(map(self.availability.obstacle, allowed))
        if request.homes is not None and not allowed:
            detail = f"service {request.service!r} has no endpoint for the request"
        if any(obstacles):
            request.history.append(f"obstacles: {describe_obstacles(obstacles)}")
        # The caller's next attempt may go to any endpoint, also to those tried now.
        seconds = min(
            (
                obstacle.seconds if obstacle is not None else 0.0
                for obstacle in obstacles
                if obstacle is None or obstacle.reason in TIMED_REASONS
            ),
            default=0.0,
        )
        if seconds > 0:
            kind = ErrorKind.OVERLOADED
            detail = (
                f"the endpoints of service {request.service!r} named limits, asked for "
                f"pauses, are cold or brittle and full; the first one takes requests "
                f"again in {seconds:.2f} s"
            )
        elif self._has_brittle(allowed):
            kind = ErrorKind.OVERLOADED
            detail = f"the endpoints of service {request.service!r} have no free slot"
        retry_after = max(seconds, RETRY_AFTER_SECONDS)
        if _is_all_evacuated(obstacles):
            self.metrics.count("evacuation_refusals")
            detail = f"all endpoints of service {request.service!r} are evacuated"
            retry_after = ABSENCE_RETRY_AFTER_SECONDS
        if request.homes is not None:
            regions = ", ".join(sorted(request.homes)) or "none"
            request.history.append(f"homes: {regions}")
            detail += f"; the regions that the request may use: {regions}"
            if not allowed:
                self.metrics.count("home_refusals")
                retry_after = ABSENCE_RETRY_AFTER_SECONDS
        if last_fault is not None:
            detail += f"; the last attempt failed: {last_fault.detail}"
        return attempt_refusal(request, kind, detail, retry_after_seconds=retry_after)

    def _has_brittle(self, endpoints: list[Endpoint]) -> bool:
        """Return whether requests need a free slot of an endpoint."""
        brittleness = self.availability.brittleness
        return any(brittleness.limit_of(e) is not None for e in endpoints)


def attempt_refusal(
    request: ForwardRequest,
    kind: ErrorKind,
    detail: str,
    *,
    retry_after_seconds: float = RETRY_AFTER_SECONDS,
) -> Refusal:
    """Return a refusal whose kind and ``ran`` follow from whether the request ran."""
    ran = Ran.UNKNOWN if request.ran else Ran.NO
    if not request.ran and kind is ErrorKind.ENDPOINT_FAILED:
        kind = ErrorKind.OVERLOADED
    if request.ran and kind in (ErrorKind.NO_ENDPOINT, ErrorKind.OVERLOADED):
        kind = ErrorKind.ENDPOINT_FAILED
    return Refusal(kind, detail, ran, retry_after_seconds=retry_after_seconds)


def budget_spent(request: ForwardRequest, last_fault: CallFault | None) -> Refusal:
    """Return the refusal of a request whose service has no retries left."""
    detail = f"the retry budget of service {request.service!r} is spent"
    if last_fault is not None:
        detail += f"; the last attempt failed: {last_fault.detail}"
    return attempt_refusal(request, ErrorKind.OVERLOADED, detail)


def _is_all_evacuated(obstacles: list[Obstacle | None]) -> bool:
    """Return whether all endpoints that are listed and stay are evacuated."""
    reasons = {o.reason if o is not None else None for o in obstacles}
    return ObstacleReason.EVACUATED in reasons and reasons <= ABSENCE_REASONS
