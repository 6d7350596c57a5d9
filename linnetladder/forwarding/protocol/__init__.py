"""Wire formats of forwarding: codecs of heads, stream events, daemon messages."""

from linnetladder.forwarding.protocol.codecs import (
    CallerCodec,
    EndpointCall,
    EndpointCodec,
    InvalidHeadError,
    ResponseHead,
)

__all__ = [
    "CallerCodec",
    "EndpointCall",
    "EndpointCodec",
    "InvalidHeadError",
    "ResponseHead",
]
