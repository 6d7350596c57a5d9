"""Protocol of forwarding: what a wire format has to say, and news of peers."""

from linnetladder.forwarding.protocol.codecs import (
    AnswerHead,
    CallerCodec,
    EndpointCall,
    EndpointCodec,
    InvalidHeadError,
)

__all__ = [
    "AnswerHead",
    "CallerDialect",
    "EndpointCall",
    "EndpointDialect",
    "HeadProblem",
]
