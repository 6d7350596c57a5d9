"""Messages by which daemons agree on who sends a request that may crash its endpoint.

Each message is one signed datagram: a letter for its kind and a line of JSON.
"""

import dataclasses

import orjson
import pydantic

from linnetladder.forwarding.protocol.daemon_messages import (
    SIGNATURE_BYTES,
    sign,
    verify,
)

__all__ = [
    "TrialAnswer",
    "TrialRequest",
    "decode_trial_message",
    "encode_trial_message",
]

REQUEST_KIND = b"T"
ANSWER_KIND = b"U"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrialRequest:
    """A daemon asks whether it may send a request with a suspect, or has ``ended`` one.

    Both have the same ``nonce``. ``sent`` is set if an endpoint got the request before
    its trial ended.
    """

    sender: str
    nonce: int
    suspect: str
    ended: bool = False
    sent: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrialAnswer:
    """The answer to a request with the same nonce."""

    nonce: int
    granted: bool


_REQUEST_ADAPTER = pydantic.TypeAdapter(tuple[str, int, str, bool, bool])
_ANSWER_ADAPTER = pydantic.TypeAdapter(tuple[int, bool])


def encode_trial_message(
    message: TrialRequest | TrialAnswer, *, secret: bytes
) -> bytes:
    """Return a message as a signed datagram."""
    kind = ANSWER_KIND if isinstance(message, TrialAnswer) else REQUEST_KIND
    fields = [getattr(message, f.name) for f in dataclasses.fields(message)]
    plain = kind + orjson.dumps(fields)
    return sign(plain, secret) + plain


def decode_trial_message(
    datagram: bytes, *, secrets: tuple[bytes, ...]
) -> TrialRequest | TrialAnswer | None:
    """Return the message, ``None`` if it is of another kind or not valid."""
    plain = datagram[SIGNATURE_BYTES:]
    kind, fields = plain[:1], plain[1:]
    if kind not in (REQUEST_KIND, ANSWER_KIND) or not verify(datagram, secrets):
        return None
    try:
        if kind == ANSWER_KIND:
            nonce, granted = _ANSWER_ADAPTER.validate_json(fields)
            return TrialAnswer(nonce=nonce, granted=granted)
        request = _REQUEST_ADAPTER.validate_json(fields)
    except pydantic.ValidationError:
        return None
    sender, nonce, suspect, ended, sent = request
    return TrialRequest(
        sender=sender, nonce=nonce, suspect=suspect, ended=ended, sent=sent
    )
