"""Log lines and metrics written at the end of each request."""

import enum

from linnetladder.errors import Refusal
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.state import ForwardRequest, RequestHead
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_request

__all__ = ["RequestEvent", "RequestReporter"]


class RequestEvent(enum.StrEnum):
    """How a request ended; the values are the event names of its log line.

    ``FAILED`` is an endpoint's error response that was relayed; ``BROKEN_OFF`` is a
    response that had begun and could not be completed.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    CALLER_LEFT = "caller left"
    BROKEN_OFF = "broken off"


class RequestReporter:
    """Writes a request's log line and updates the metrics."""

    def __init__(self, *, in_force: TableInForce, clock: Clock, metrics: Metrics):
        self.in_force = in_force
        self.clock = clock
        self.metrics = metrics

    def answered(self, request: ForwardRequest, model: str, status: int) -> None:
        """Report that a complete response was relayed."""
        self.metrics.count("answered", label=model or request.service)
        self._log(
            RequestEvent.ANSWERED,
            request,
            low_priority=len(request.endpoints_tried) <= 1,
            status=status,
            events=request.events,
        )

    def failed(self, request: ForwardRequest, status: int, detail: str = "") -> None:
        """Report that an endpoint's error response was relayed."""
        self._log(RequestEvent.FAILED, request, status=status, detail=detail)

    def broken_off(self, request: ForwardRequest, detail: str) -> None:
        """Report that a response could not be completed."""
        self._log(RequestEvent.BROKEN_OFF, request, status=0, detail=detail)

    def caller_left(self, request: ForwardRequest) -> None:
        """Report that the caller no longer waits for the response."""
        self.metrics.count("caller_left")
        self._log(RequestEvent.CALLER_LEFT, request, status=0)

    def refused(
        self, head: RequestHead, request: ForwardRequest | None, refusal: Refusal
    ) -> None:
        """Report a refusal; ``request`` is ``None`` if it was not admitted."""
        self.metrics.count("refused", label=refusal.kind)
        self.metrics.count("refused_ran", label=refusal.ran)
        fields = {
            "kind": refusal.kind,
            "status": refusal.status,
            "detail": refusal.detail,
        }
        if request is not None:
            self._log(RequestEvent.REFUSED, request, **fields)
            return
        log_request(
            RequestEvent.REFUSED,
            request=head.attempt_id,
            ran=False,
            host=head.host,
            path=head.path,
            **self._configuration(),
            **fields,
        )

    def _configuration(self) -> dict[str, object]:
        """Return the version of the configuration in force and its age in seconds."""
        table = self.in_force.table
        return {
            "configuration": table.version if table is not None else 0,
            "configuration_age": round(self.in_force.age(), 3),
        }

    def _log(
        self,
        event: RequestEvent,
        request: ForwardRequest,
        *,
        low_priority: bool = False,
        **event_fields: object,
    ) -> None:
        elapsed = self.clock.monotonic() - request.received
        self.metrics.record("total_seconds", elapsed)
        fields = {
            "request": request.head.attempt_id,
            "route": request.route.name,
            "service": request.service,
            "account": request.account_name,
            **self._configuration(),
            "configuration": request.configuration_version,
            "ran": request.ran,
            "fingerprint": request.fingerprint,
            "seconds": round(elapsed, 4),
            "seconds_left": round(request.deadline - self.clock.monotonic(), 4),
            "attempts": request.history,
        }
        prompt = request.head.prompt
        if prompt is not None:
            fields["session"] = prompt.session
            fields["parts"] = [part.part_id for part in prompt.shared_parts]
            fields["tokens"] = [prompt.input_tokens, prompt.output_tokens]
        log_request(event, low_priority=low_priority, **fields, **event_fields)
