"""Wire formats of forwarding: codecs of heads, stream events, daemon messages."""

from linnetladder.forwarding.protocol.codecs import (
    AnswerHead,
    CallerCodec,
    EndpointCall,
    EndpointCodec,
    InvalidHeadError,
)

__all__ = [
    "AnswerHead",
    "CallerCodec",
    "EndpointCall",
    "EndpointCodec",
    "InvalidHeadError",
]
