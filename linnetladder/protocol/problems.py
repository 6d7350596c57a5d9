"""Refusals as ``application/problem+json``, as a body or as a stream's last event."""

import math

import orjson

from linnetladder.coordination.routing.exchanges import Refused
from linnetladder.errors import Refusal

__all__ = ["PROBLEM_CONTENT_TYPE", "encode_problem", "problem_event", "retry_after"]

PROBLEM_CONTENT_TYPE = "application/problem+json"
PROBLEM_TYPE_PREFIX = "urn:linnetladder:error:"


def encode_problem(refused: Refused) -> bytes:
    """Return the JSON body of the response to a refused request."""
    refusal = refused.refusal
    explanation = refusal.explanation
    return orjson.dumps(
        {
            "type": PROBLEM_TYPE_PREFIX + refusal.kind,
            "title": refusal.title,
            "status": refusal.status,
            "detail": refusal.detail,
            "kind": refusal.kind,
            "ran": refusal.ran,
            "request_id": refused.request_id,
            "retry_after_seconds": refusal.retry_after_seconds,
            "explanation": {
                "revision": explanation.revision,
                "account": explanation.account,
                "node": explanation.node,
                "rejected_candidates": [
                    {"candidate": entry.candidate, "reason": entry.reason}
                    for entry in explanation.rejected_candidates
                ],
            },
            "receipt": refused.receipt,
        }
    )


def problem_event(refused: Refused) -> bytes:
    """Return the server-sent event that ends a stream that can't be completed."""
    return b"event: error\ndata: " + encode_problem(refused) + b"\n\n"


def retry_after(refusal: Refusal) -> str:
    """Return the value of the ``Retry-After`` header, at least 1 s, or ``""``."""
    if refusal.retry_after_seconds is None:
        return ""
    return str(max(math.ceil(refusal.retry_after_seconds), 1))
