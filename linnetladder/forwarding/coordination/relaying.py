"""Calls of peers that this daemon passes on to endpoints."""

import functools

from linnetladder.forwarding.coordination.availability import EndpointAvailability
from linnetladder.forwarding.coordination.calls import (
    CallFault,
    CallFaultKind,
    EndpointCalls,
    Exchange,
    ProbeOutcome,
)
from linnetladder.forwarding.coordination.directory import EndpointDirectory
from linnetladder.forwarding.protocol.relaying import RelayedCall
from linnetladder.state import Endpoint, EndpointTable
from linnetladder.telemetry import Metrics

__all__ = ["CutOffError", "RelayControl"]


class CutOffError(Exception):
    """This daemon reaches no endpoint of the service itself."""


class RelayControl:
    """Decides which calls of peers are passed on, and learns from the answers.

    The peer has decided what to send, and bills it. This daemon holds it to what it
    was told itself: that endpoints leave, or want nothing from it for a time. Calls are
    sent to endpoints only, so none is relayed twice.
    """

    def __init__(
        self,
        *,
        calls: EndpointCalls,
        table: EndpointTable,
        directory: EndpointDirectory,
        availability: EndpointAvailability,
        metrics: Metrics,
    ):
        self.calls = calls
        self.table = table
        self.directory = directory
        self.availability = availability
        self.metrics = metrics

    async def open(self, call: RelayedCall) -> Exchange:
        """Pass a call on and return once its answer begins.

        Raise `CallFault`, or `CutOffError` if no endpoint can be reached. A call to an
        endpoint that takes nothing now is withdrawn.
        """
        endpoint = self._find(call)
        call.address = endpoint.address
        pause = self.availability.pauses.begin(endpoint)
        sent_at = self.availability.clock.monotonic()
        call.may_send = functools.partial(self._may_send, endpoint, sent_at)
        head = None
        try:
            exchange = await self.calls.relay(call)
            head = exchange.head
        finally:
            self.availability.pauses.end(pause, endpoint, head)
        if head.leaving and not head.misdirected:
            self.directory.mark_leaving(endpoint, reason="answer")
        self.availability.learn_answer(endpoint, head, sent_at=sent_at)
        self.metrics.count("relayed_calls", label="served")
        return exchange

    def _may_send(self, endpoint: Endpoint, chosen_at: float) -> bool:
        """Return whether a call may be sent now that its connection is made."""
        if not self.availability.still_accepts(endpoint):
            return False
        limits = self.availability.limits
        return limits.still_permitted(endpoint, chosen_at=chosen_at)

    async def probe(self, instance: str) -> ProbeOutcome | None:
        """Return whether an endpoint accepts connections, ``None`` if it is unknown."""
        endpoint = self.table.endpoints.get(instance)
        return await self.calls.probe(endpoint.address) if endpoint else None

    def _find(self, call: RelayedCall) -> Endpoint:
        """Return the endpoint of a call, if one may be sent to it now."""
        endpoint = self.table.endpoints.get(call.instance)
        if endpoint is None:
            raise self._refused(call, CallFaultKind.WITHDRAWN, "is not known here")
        if self.availability.is_unreachable(endpoint):
            if not self._reaches_service(endpoint.service):
                raise CutOffError
            raise self._refused(call, CallFaultKind.CONNECT, "is unreachable")
        if self.availability.is_excluded_for_peers(endpoint):
            raise self._refused(call, CallFaultKind.WITHDRAWN, "takes no requests")
        return endpoint

    def _reaches_service(self, service: str) -> bool:
        """Return whether this daemon reaches an endpoint that takes requests."""
        return any(
            not self.availability.is_unreachable(endpoint)
            for endpoint in self.directory.pool(service).endpoints
            if not self.availability.is_excluded(endpoint)
        )

    def _refused(
        self, call: RelayedCall, kind: CallFaultKind, reason: str
    ) -> CallFault:
        self.metrics.count("relayed_calls", label="refused")
        return CallFault(kind, f"{call.instance} {reason}", may_have_run=False)
