"""Messages by which a daemon lets a peer read the store for it.

Each message is one signed datagram: a letter for its kind, a line of JSON and, in an
answer, the compressed content.
"""

import dataclasses

import orjson
import pydantic

from linnetladder.forwarding.protocol.daemon_messages import (
    MAXIMUM_DATAGRAM_BYTES,
    SIGNATURE_BYTES,
    sign,
    verify,
)

__all__ = ["ReadAnswer", "ReadRequest", "decode_read_message", "encode_read_message"]

REQUEST_KIND = b"Q"
ANSWER_KIND = b"A"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadRequest:
    """A request for the store's content, read after this request arrived.

    ``known`` is the digest of the content that the sender holds, 0 without any. The
    answer goes to ``host`` and ``port``. The sender that ``reads_large_values`` needs
    only the revisions of large keys.
    """

    nonce: int
    known: int
    host: str
    port: int
    reads_large_values: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadAnswer:
    """The answer to a request with the same nonce.

    ``digest`` identifies the content, and is 0 if the read failed. ``content`` is
    ``None`` if the sender of the request holds that content already.
    """

    nonce: int
    digest: int
    content: bytes | None = None


_REQUEST_ADAPTER = pydantic.TypeAdapter(ReadRequest)
_ANSWER_ADAPTER = pydantic.TypeAdapter(tuple[int, int, bool])


def encode_read_message(
    message: ReadRequest | ReadAnswer, *, secret: bytes
) -> bytes | None:
    """Return a message as a signed datagram, ``None`` if it is too large for one."""
    if isinstance(message, ReadRequest):
        plain = REQUEST_KIND + orjson.dumps(message)
    else:
        fields = (message.nonce, message.digest, message.content is not None)
        plain = ANSWER_KIND + orjson.dumps(fields) + b"\n" + (message.content or b"")
    if len(plain) > MAXIMUM_DATAGRAM_BYTES:
        return None
    return sign(plain, secret) + plain


def decode_read_message(
    datagram: bytes, *, secrets: tuple[bytes, ...]
) -> ReadRequest | ReadAnswer | None:
    """Return the message, ``None`` if it is of another kind or not valid."""
    plain = datagram[SIGNATURE_BYTES:]
    kind, fields = plain[:1], plain[1:]
    if kind not in (REQUEST_KIND, ANSWER_KIND) or not verify(datagram, secrets):
        return None
    try:
        if kind == REQUEST_KIND:
            return _REQUEST_ADAPTER.validate_json(fields)
        line, _, content = fields.partition(b"\n")
        nonce, digest, has_content = _ANSWER_ADAPTER.validate_json(line)
    except pydantic.ValidationError:
        return None
    return ReadAnswer(
        nonce=nonce, digest=digest, content=content if has_content else None
    )
