"""Classification of failed attempts, and the refusals they lead to."""

from linnetladder.coordination.attempts.endpoint_client import (
    EndpointFault,
    EndpointFaultKind,
)
from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.state import Endpoint

__all__ = [
    "EJECTING_FAULTS",
    "FAULT_ERROR_KINDS",
    "HEALTH_NEUTRAL_FAULTS",
    "deadline_fault",
    "fault_refusal",
    "silent_fault",
    "combine_ran",
]

FAULT_ERROR_KINDS: dict[EndpointFaultKind, ErrorKind] = {
    EndpointFaultKind.CONNECT: ErrorKind.ENDPOINT_FAILED,
    EndpointFaultKind.BUSY: ErrorKind.OVERLOADED,
    EndpointFaultKind.LEAVING: ErrorKind.NO_ENDPOINT,
    EndpointFaultKind.REJECTED: ErrorKind.ENDPOINT_REJECTED,
    EndpointFaultKind.BROKEN: ErrorKind.ENDPOINT_FAILED,
    EndpointFaultKind.SILENT: ErrorKind.ENDPOINT_SILENT,
    EndpointFaultKind.CROSSED: ErrorKind.ENDPOINT_ANSWER_INVALID,
    EndpointFaultKind.CUT: ErrorKind.ENDPOINT_ANSWER_INVALID,
    EndpointFaultKind.WRONG_VERSION: ErrorKind.ENDPOINT_ANSWER_INVALID,
    EndpointFaultKind.FAILED: ErrorKind.ENDPOINT_FAILED,
    EndpointFaultKind.DEADLINE: ErrorKind.DEADLINE_EXCEEDED,
}
# Faults that say nothing about a version's health and are not counted against it.
HEALTH_NEUTRAL_FAULTS = frozenset(
    {
        EndpointFaultKind.BUSY,
        EndpointFaultKind.LEAVING,
        EndpointFaultKind.CONNECT,
        EndpointFaultKind.REJECTED,
        EndpointFaultKind.DEADLINE,
    }
)
# From the weakest to the strongest evidence that a request ran.
RAN_ORDER = (Ran.NO, Ran.UNKNOWN, Ran.YES)
# Faults that count towards the ejection of an endpoint.
EJECTING_FAULTS = frozenset(
    {
        EndpointFaultKind.CONNECT,
        EndpointFaultKind.BROKEN,
        EndpointFaultKind.SILENT,
        EndpointFaultKind.CROSSED,
        EndpointFaultKind.CUT,
        EndpointFaultKind.WRONG_VERSION,
        EndpointFaultKind.FAILED,
    }
)


def fault_refusal(fault: EndpointFault, ran: Ran) -> Refusal:
    """Return the refusal of a request whose last attempt ended in a fault."""
    kind = FAULT_ERROR_KINDS[fault.kind]
    retry_after = None if kind is ErrorKind.ENDPOINT_REJECTED else 1.0
    return Refusal(kind, fault.detail, ran, retry_after_seconds=retry_after)


def combine_ran(first: Ran, second: Ran) -> Ran:
    """Return the stronger of two attempts' evidence that the request ran."""
    return max(first, second, key=RAN_ORDER.index)


def deadline_fault() -> EndpointFault:
    """Return the fault of a call whose deadline has passed."""
    detail = "the deadline passed before the endpoint answered"
    return EndpointFault(
        kind=EndpointFaultKind.DEADLINE, ran=Ran.UNKNOWN, detail=detail
    )


def silent_fault(endpoint: Endpoint) -> EndpointFault:
    """Return the fault of a call that was aborted because its connection was silent."""
    detail = f"the connection to endpoint {endpoint.name!r} went silent"
    return EndpointFault(kind=EndpointFaultKind.SILENT, ran=Ran.UNKNOWN, detail=detail)
