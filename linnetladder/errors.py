"""The closed list of error kinds, and the HTTP status and title of each.

Every refusal that a caller can see names one `ErrorKind`. A test checks the table
`ERROR_RESPONSES` against the list and the reference page. A `Refusal` also contains
whether the request was executed, and why it was refused.
"""

import dataclasses
import enum

__all__ = [
    "ERROR_RESPONSES",
    "ErrorKind",
    "ErrorResponse",
    "Ran",
    "Explanation",
    "Refusal",
    "RejectedCandidate",
]


class Ran(enum.StrEnum):
    """Whether an endpoint executed a refused request.

    ``NO`` is a guarantee: no endpoint received any byte of the request, or the endpoint
    proved that it did not start it. ``UNKNOWN`` makes no claim either way.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(enum.StrEnum):
    """The closed list of reasons for which a request can be refused."""

    MALFORMED_JSON = "malformed_json"
    INVALID_REQUEST = "invalid_request"
    INVALID_HEADER = "invalid_header"
    HEADER_TOO_LARGE = "header_too_large"
    MALFORMED_HTTP = "malformed_http"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    MISSING_CREDENTIAL = "missing_credential"
    UNKNOWN_CREDENTIAL = "unknown_credential"
    ADDRESS_RATE_LIMITED = "address_rate_limited"
    UNKNOWN_PATH = "unknown_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    MODEL_NOT_OFFERED = "model_not_offered"
    UNKNOWN_SERVICE = "unknown_service"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    SERVICE_NOT_ALLOWED = "service_not_allowed"
    VERSION_WITHDRAWN = "version_withdrawn"
    SESSION_INVALID = "session_invalid"
    SESSION_EXPIRED = "session_expired"
    SESSION_VERSION_WITHDRAWN = "session_version_withdrawn"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_ENDPOINT = "no_endpoint"
    CONFIGURATION_UNAVAILABLE = "configuration_unavailable"
    CONFIGURATION_STALE = "configuration_stale"
    CONFIGURATION_UNREADABLE = "configuration_unreadable"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    ALREADY_CLAIMED = "already_claimed"
    ALREADY_ANSWERED = "already_answered"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    TICKET_INVALID = "ticket_invalid"
    TICKET_FOREIGN = "ticket_foreign"
    POISON_REQUEST = "poison_request"
    SUSPECTED_POISON = "suspected_poison"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_REJECTED = "endpoint_rejected"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_ANSWER_INVALID = "endpoint_answer_invalid"
    BILL_NOT_RECORDED = "bill_not_recorded"
    DRAINING = "draining"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The HTTP status and the human-readable title of an error kind."""

    status: int
    title: str


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED_JSON: ErrorResponse(400, "The body is not JSON"),
    ErrorKind.INVALID_REQUEST: ErrorResponse(422, "The body does not fit the format"),
    ErrorKind.INVALID_HEADER: ErrorResponse(400, "A header has an invalid value"),
    ErrorKind.HEADER_TOO_LARGE: ErrorResponse(431, "A header is too long"),
    ErrorKind.MALFORMED_HTTP: ErrorResponse(400, "The request is not valid HTTP"),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, "The body is too large"),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(408, "The request arrived too slowly"),
    ErrorKind.MISSING_CREDENTIAL: ErrorResponse(401, "No credential was given"),
    ErrorKind.UNKNOWN_CREDENTIAL: ErrorResponse(401, "The credential is not known"),
    ErrorKind.ADDRESS_RATE_LIMITED: ErrorResponse(
        429, "Too many requests from the address"
    ),
    ErrorKind.UNKNOWN_PATH: ErrorResponse(404, "The path does not exist"),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(405, "The method is not allowed"),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(404, "The model or version is not declared"),
    ErrorKind.MODEL_NOT_OFFERED: ErrorResponse(
        421, "The route does not offer the model"
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, "The service is not declared"),
    ErrorKind.MODEL_NOT_ALLOWED: ErrorResponse(
        403, "The model or version is not allowed"
    ),
    ErrorKind.SERVICE_NOT_ALLOWED: ErrorResponse(403, "The service is not allowed"),
    ErrorKind.VERSION_WITHDRAWN: ErrorResponse(410, "The version has been withdrawn"),
    ErrorKind.SESSION_INVALID: ErrorResponse(403, "The session token is not valid"),
    ErrorKind.SESSION_EXPIRED: ErrorResponse(403, "The session has expired"),
    ErrorKind.SESSION_VERSION_WITHDRAWN: ErrorResponse(
        410, "The version of the session has been withdrawn"
    ),
    ErrorKind.RATE_LIMITED: ErrorResponse(429, "The client account exceeds its rate"),
    ErrorKind.OVERLOADED: ErrorResponse(503, "No capacity is left"),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(503, "The deadline can't be met"),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, "The deadline has passed"),
    ErrorKind.NO_ENDPOINT: ErrorResponse(503, "No endpoint can serve the request"),
    ErrorKind.CONFIGURATION_UNAVAILABLE: ErrorResponse(
        503, "No configuration is in force"
    ),
    ErrorKind.CONFIGURATION_STALE: ErrorResponse(503, "The configuration is too old"),
    ErrorKind.CONFIGURATION_UNREADABLE: ErrorResponse(
        503, "A part of the configuration can't be read"
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(503, "The platform can't be reached"),
    ErrorKind.ALREADY_CLAIMED: ErrorResponse(409, "The request was already started"),
    ErrorKind.ALREADY_ANSWERED: ErrorResponse(409, "The request was already answered"),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorResponse(
        422, "The idempotency key belongs to another request"
    ),
    ErrorKind.TICKET_INVALID: ErrorResponse(403, "The ticket is not valid"),
    ErrorKind.TICKET_FOREIGN: ErrorResponse(
        409, "The ticket belongs to another daemon"
    ),
    ErrorKind.POISON_REQUEST: ErrorResponse(422, "The request crashes endpoints"),
    ErrorKind.SUSPECTED_POISON: ErrorResponse(503, "The request may crash endpoints"),
    ErrorKind.ENDPOINT_FAILED: ErrorResponse(502, "The endpoint failed"),
    ErrorKind.ENDPOINT_REJECTED: ErrorResponse(
        422, "The endpoint rejected the request"
    ),
    ErrorKind.ENDPOINT_SILENT: ErrorResponse(504, "The endpoint went silent"),
    ErrorKind.ENDPOINT_ANSWER_INVALID: ErrorResponse(
        502, "The endpoint's answer is invalid"
    ),
    ErrorKind.BILL_NOT_RECORDED: ErrorResponse(503, "The bill could not be recorded"),
    ErrorKind.DRAINING: ErrorResponse(503, "The daemon is shutting down"),
    ErrorKind.INTERNAL: ErrorResponse(500, "The daemon failed"),
}


@dataclasses.dataclass(slots=True)
class RejectedCandidate:
    """A candidate that a decision considered, and the reason it was rejected."""

    candidate: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The configuration and the rejected candidates that led to a refusal.

    ``node`` names the node of the settings tree that forbade the request, if any;
    ``revision`` is the configuration's revision, 0 if none was consulted.
    """

    revision: int = 0
    account: str = ""
    node: str = ""
    rejected_candidates: tuple[RejectedCandidate, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refused request, with everything that is reported to its caller.

    Examples
    --------
    >>> refusal = Refusal(ErrorKind.RATE_LIMITED, "3 requests/s", retry_after_seconds=1)
    >>> refusal.status, refusal.ran.value
    (429, 'no')
    """

    kind: ErrorKind
    detail: str
    ran: Ran = Ran.NO
    retry_after_seconds: float | None = None
    explanation: Explanation = Explanation()

    @property
    def status(self) -> int:
        """The HTTP status of the error response."""
        return ERROR_RESPONSES[self.kind].status

    @property
    def title(self) -> str:
        """The title of the error response."""
        return ERROR_RESPONSES[self.kind].title
