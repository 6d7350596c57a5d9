"""Messages of the JSON gateway of etcd version 3, the key-value service's interface.

Keys and values are encoded in base64 and 64-bit integers as strings. Fields that have
their zero value are omitted from answers, as etcd's JSON mapping specifies.
"""

from base64 import b64decode, b64encode
from typing import Any

import pydantic

from linnetladder.coordination.platform import Condition, Put, Record, WatchEvent

__all__ = [
    "KeepAliveAnswer",
    "LeaseAnswer",
    "RangeAnswer",
    "TransactionAnswer",
    "WatchAnswer",
    "range_body",
    "transaction_body",
    "watch_body",
]

DELETE_EVENT = "DELETE"


class KeyValue(pydantic.BaseModel):
    """A key with its value and revisions."""

    key: str
    value: str = ""
    create_revision: int = 0
    mod_revision: int = 0

    def key_text(self) -> str:
        """Return the decoded key."""
        return b64decode(self.key).decode()

    def record(self) -> Record:
        """Return the key and its value as a record of coordination."""
        return Record(
            key=self.key_text(),
            value=b64decode(self.value),
            create_revision=self.create_revision,
            modify_revision=self.mod_revision,
        )


class AnswerHeader(pydantic.BaseModel):
    """The header of every answer; ``revision`` is the revision of the store."""

    revision: int = 0


class RangeAnswer(pydantic.BaseModel):
    """The answer to a range request."""

    kvs: list[KeyValue] = []

    def records(self) -> tuple[Record, ...]:
        """Return the records in the order of the answer."""
        return tuple(entry.record() for entry in self.kvs)


class TransactionAnswer(pydantic.BaseModel):
    """The answer to a transaction."""

    header: AnswerHeader = AnswerHeader()
    succeeded: bool = False


class LeaseAnswer(pydantic.BaseModel):
    """The answer to a lease grant."""

    ID: int


class KeepAliveResult(pydantic.BaseModel):
    """The remaining seconds of a lease; 0 if it has expired."""

    TTL: int = 0


class KeepAliveAnswer(pydantic.BaseModel):
    """The answer to a lease renewal."""

    result: KeepAliveResult = KeepAliveResult()


class Event(pydantic.BaseModel):
    """A change of one key, of type ``PUT`` or ``DELETE``."""

    type: str = "PUT"
    kv: KeyValue


class WatchResult(pydantic.BaseModel):
    """A batch of changes that a watch delivers at once."""

    events: list[Event] = []
    canceled: bool = False


class WatchAnswer(pydantic.BaseModel):
    """One line of the response stream of a watch."""

    result: WatchResult = WatchResult()

    def watch_events(self) -> list[WatchEvent]:
        """Return the changes as the data class of coordination."""
        return [
            WatchEvent(
                key=event.kv.key_text(),
                value=None if event.type == DELETE_EVENT else b64decode(event.kv.value),
                revision=event.kv.mod_revision,
            )
            for event in self.result.events
        ]


def _encode_base64(content: str | bytes) -> str:
    raw = content.encode() if isinstance(content, str) else content
    return b64encode(raw).decode("ascii")


def prefix_end(prefix: str) -> bytes:
    """Return the exclusive upper bound of the keys that begin with a prefix."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


def range_body(key: str, *, prefix: bool, after: str = "", limit: int = 0) -> dict:
    """Return the body of a range request for one key or all keys with a prefix.

    With ``after``, the range starts after that key.
    """
    body: dict[str, Any] = {"key": _encode_base64(key)}
    if prefix:
        body["range_end"] = _encode_base64(prefix_end(key))
    if after:
        body["key"] = _encode_base64(after.encode() + b"\0")
    if limit:
        body["limit"] = limit
    return body


def transaction_body(
    *,
    conditions: tuple[Condition, ...],
    puts: tuple[Put, ...],
    deletes: tuple[str, ...],
) -> dict:
    """Return the body of a transaction.

    It succeeds only if the modification revision of every condition's key matches.
    """
    compare = [
        {
            "key": _encode_base64(condition.key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(condition.modify_revision),
        }
        for condition in conditions
    ]
    operations: list[dict] = [{"request_put": _put_body(put)} for put in puts]
    operations.extend(
        {"request_delete_range": {"key": _encode_base64(key)}} for key in deletes
    )
    return {"compare": compare, "success": operations}


def _put_body(put: Put) -> dict:
    body = {"key": _encode_base64(put.key), "value": _encode_base64(put.value)}
    if put.lease_id:
        body["lease"] = str(put.lease_id)
    return body


def watch_body(prefix: str) -> dict:
    """Return the body that opens a watch on a prefix."""
    return {
        "create_request": {
            "key": _encode_base64(prefix),
            "range_end": _encode_base64(prefix_end(prefix)),
        }
    }
