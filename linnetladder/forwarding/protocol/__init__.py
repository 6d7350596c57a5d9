"""Wire formats of forwarding: codecs of heads, stream events, daemon messages."""

from linnetladder.forwarding.protocol.codecs import (
    CallerCodec,
    EndpointCall,
    EndpointCodec,
    InvalidHeadError,
    ResponseHead,
)

__all__ = [
    "AnswerHead",
    "CallerCodec",
    "EndpointCall",
    "EndpointCodec",
    "InvalidHeadError",
]
