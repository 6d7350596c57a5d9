"""Messages by which daemons reserve slots of brittle endpoints with each other.

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
    "HeldSlots",
    "SlotAnswer",
    "SlotReport",
    "decode_slot_message",
    "encode_slot_message",
]

REPORT_KIND = b"S"
ANSWER_KIND = b"G"


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlots:
    """What one daemon holds at one incarnation of an endpoint.

    ``in_use`` is the number of its requests there, and ``rejections`` how many the
    endpoint has turned away so far.
    """

    endpoint: str
    incarnation: str
    in_use: int
    rejections: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotReport:
    """The slots that a daemon holds; a later one replaces its rows.

    With a ``nonce`` the sender asks for one more slot of the endpoint of the first row,
    which can turn ``limit`` requests away in a second. Without, it is 0.
    """

    sender: str
    incarnation: str
    sequence: int
    rows: tuple[HeldSlots, ...]
    nonce: int = 0
    limit: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotAnswer:
    """The answer to a report with the same nonce.

    ``granted`` is ``None`` if the sender does not know the endpoint.
    """

    nonce: int
    granted: bool | None


_Count = pydantic.NonNegativeInt
_REPORT_ADAPTER = pydantic.TypeAdapter(
    tuple[
        str,
        str,
        _Count,
        _Count,
        pydantic.NonNegativeFloat,
        list[tuple[str, str, _Count, _Count]],
    ]
)
_ANSWER_ADAPTER = pydantic.TypeAdapter(tuple[int, bool | None])


def encode_slot_message(message: SlotReport | SlotAnswer, *, secret: bytes) -> bytes:
    """Return a message as a signed datagram."""
    if isinstance(message, SlotAnswer):
        plain = ANSWER_KIND + orjson.dumps((message.nonce, message.granted))
    else:
        rows = [dataclasses.astuple(row) for row in message.rows]
        fields = (message.sender, message.incarnation, message.sequence)
        fields += (message.nonce, message.limit, rows)
        plain = REPORT_KIND + orjson.dumps(fields)
    return sign(plain, secret) + plain


def decode_slot_message(
    datagram: bytes, *, secrets: tuple[bytes, ...]
) -> SlotReport | SlotAnswer | None:
    """Return the message, ``None`` if it is of another kind or not valid."""
    plain = datagram[SIGNATURE_BYTES:]
    kind, fields = plain[:1], plain[1:]
    if kind not in (REPORT_KIND, ANSWER_KIND) or not verify(datagram, secrets):
        return None
    try:
        if kind == ANSWER_KIND:
            nonce, granted = _ANSWER_ADAPTER.validate_json(fields)
            return SlotAnswer(nonce=nonce, granted=granted)
        sender, incarnation, sequence, nonce, limit, rows = (
            _REPORT_ADAPTER.validate_json(fields)
        )
    except pydantic.ValidationError:
        return None
    if nonce and not rows:
        return None
    return SlotReport(
        sender=sender,
        incarnation=incarnation,
        sequence=sequence,
        rows=tuple(HeldSlots(*row) for row in rows),
        nonce=nonce,
        limit=limit,
    )
