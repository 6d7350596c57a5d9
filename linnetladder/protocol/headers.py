"""Names of the HTTP headers that the daemon reads and writes."""

__all__ = [
    "AUTHORIZATION",
    "DEADLINE",
    "ENDPOINT_INCARNATION",
    "ENDPOINT_LEAVING",
    "ENDPOINT_RAN",
    "IDEMPOTENCY_KEY",
    "IDEMPOTENT",
    "PRIORITY",
    "RECEIPT",
    "REQUEST_ID",
    "REQUEST_KIND",
    "SERVED_VERSION",
    "SESSION",
    "SESSION_STATE",
    "TICKET",
    "TRACE_PARENT",
]

AUTHORIZATION = "Authorization"
IDEMPOTENCY_KEY = "Idempotency-Key"
IDEMPOTENT = "Linnetladder-Idempotent"
DEADLINE = "Linnetladder-Deadline-Ms"
PRIORITY = "Linnetladder-Priority"
REQUEST_KIND = "Linnetladder-Kind"
SESSION = "Linnetladder-Session"
SESSION_STATE = "Linnetladder-Session-State"
TICKET = "Linnetladder-Ticket"
RECEIPT = "Linnetladder-Receipt"
TRACE_PARENT = "traceparent"

REQUEST_ID = "X-Request-Id"
SERVED_VERSION = "X-Served-Version"
ENDPOINT_INCARNATION = "X-Endpoint-Incarnation"
ENDPOINT_LEAVING = "X-Endpoint-Leaving"
ENDPOINT_RAN = "X-Ran"
