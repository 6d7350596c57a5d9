"""Bills, and the blocks that store them in the platform's key-value service.

A bill is identified by its client account and request key, so duplicate records, in
one block or in two, count as one. Blocks are numbered per incarnation and are created
only if absent; the service's creation revision orders them, and the first record of a
bill id that is not voided is the valid one.
"""

import dataclasses
import hashlib
from collections.abc import Iterable

import orjson
import pydantic

__all__ = [
    "Bill",
    "LEDGER_PREFIX",
    "bill_id",
    "block_key",
    "decode_block",
    "encode_block",
    "fold_bills",
]

LEDGER_PREFIX = "linnetladder/ledger/"
BILL_ID_LENGTH = 32  # hexadecimal digits


@dataclasses.dataclass(slots=True, kw_only=True)
class Bill:
    """What one client account owes for one request.

    ``record_id`` distinguishes the records of one bill id. A record with ``voids`` set
    voids the record with the same ``record_id``. ``price`` is in millionths of a
    currency unit; ``time_seconds`` is Unix time; ``complete`` is false for a stream
    whose caller disconnected before its end.
    """

    bill_id: str
    record_id: str
    account: str
    request_key: str
    target: str
    input_tokens: int
    output_tokens: int
    price: float
    time_seconds: float
    complete: bool = True
    voids: bool = False


_BLOCK_ADAPTER = pydantic.TypeAdapter(tuple[Bill, ...])


def bill_id(*, account: str, request_key: str) -> str:
    """Return the id under which a request can be billed only once."""
    content = f"{account}\0{request_key}".encode()
    return hashlib.sha256(content).hexdigest()[:BILL_ID_LENGTH]


def block_key(*, incarnation: str, sequence: int) -> str:
    """Return the key under which a block is stored."""
    return f"{LEDGER_PREFIX}{incarnation}/{sequence:010d}"


def encode_block(bills: Iterable[Bill]) -> bytes:
    """Return the JSON encoding of a block."""
    return orjson.dumps(tuple(bills))


def decode_block(content: bytes) -> tuple[Bill, ...]:
    """Decode a block; raise `pydantic.ValidationError` if it is malformed."""
    return _BLOCK_ADAPTER.validate_json(content)


def fold_bills(blocks: Iterable[bytes]) -> dict[str, Bill]:
    """Return the valid bill of each bill id; ``blocks`` are in order of creation."""
    records = [bill for block in blocks for bill in decode_block(block)]
    voided = {bill.record_id for bill in records if bill.voids}
    folded: dict[str, Bill] = {}
    for bill in records:
        if bill.record_id not in voided:
            folded.setdefault(bill.bill_id, bill)
    return folded
