"""Protocol of forwarding: what a wire format has to say, and news of peers."""

from linnetladder.forwarding.protocol.dialects import (
    AnswerHead,
    CallerDialect,
    EndpointCall,
    EndpointDialect,
    HeadProblem,
)

__all__ = [
    "AnswerHead",
    "CallerDialect",
    "EndpointCall",
    "EndpointDialect",
    "HeadProblem",
]
