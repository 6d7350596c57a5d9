"""Messages between daemons, each in one signed datagram.

A report holds its sender's complete state, so the next report makes up for a lost one.
Messages are signed with a secret from the platform's store. A receiver ignores reports
whose sequence number is not above that of the sender's last one.
"""

import dataclasses
import hashlib
import hmac
import zlib

import orjson
import pydantic

__all__ = [
    "CopiedBills",
    "DaemonMessage",
    "DaemonReport",
    "decode_message",
    "encode_message",
]

SIGNATURE_BYTES = 16
MAXIMUM_DATAGRAM_BYTES = 60_000


@dataclasses.dataclass(slots=True, kw_only=True)
class CopiedBills:
    """Copies of bills that a peer keeps in case their owner fails.

    ``blocks`` maps the number of a block to its bills by attempt id. The owner has
    written all blocks up to ``written`` to the store. A bill is a tuple of client
    account, service, model, prompt tokens and events.
    """

    written: int
    blocks: dict[int, dict[str, tuple[str, str, str, int, int]]]


@dataclasses.dataclass(slots=True, kw_only=True)
class DaemonReport:
    """The complete state that one daemon reports; it replaces the previous report.

    The lists hold tuples:

    * ``loads``: endpoint, requests in flight, backlog in seconds
    * ``outcomes``: endpoint or group, route, decayed counts of attempts by outcome
    * ``crashes``: fingerprint of a request, endpoint that crashed on it, age in
      seconds
    * ``bad_targets``: service, revision of the order whose target version is bad
    * ``leaving``: endpoint, incarnation

    ``reading`` is the digest of the sender's last read of the store, and ``echoes``
    identifies the peers' reports that it had received when that content was last
    confirmed. ``draining`` is set once the sender is shutting down.
    """

    loads: list[tuple[str, int, float]]
    outcomes: list[tuple[str, str, tuple[float, ...]]]
    crashes: list[tuple[str, str, float]]
    bad_targets: list[tuple[str, int]]
    leaving: list[tuple[str, str]]
    draining: bool = False
    reading: int = 0
    echoes: list[tuple[int, int]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True)
class DaemonMessage:
    """A message from one daemon to its peers.

    ``revision`` is the newest revision of the store that the sender has seen; peers
    have to read up to it. ``copied_bills`` is only sent to the peers that keep copies
    of the sender's bills.
    """

    instance: str
    incarnation: str
    sequence: int
    revision: int
    report: DaemonReport | None = None
    copied_bills: CopiedBills | None = None


_MESSAGE_ADAPTER = pydantic.TypeAdapter(DaemonMessage)


def encode_message(message: DaemonMessage, *, secret: bytes) -> bytes:
    """Return a message as a signed datagram."""
    content = zlib.compress(orjson.dumps(message, option=orjson.OPT_NON_STR_KEYS), 1)
    return _sign(content, secret) + content


def decode_message(datagram: bytes, *, secret: bytes) -> DaemonMessage | None:
    """Return the message, or ``None`` if its signature or format is invalid."""
    signature, content = datagram[:SIGNATURE_BYTES], datagram[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(content, secret)):
        return None
    try:
        # The limit bounds the memory that a small datagram can expand to.
        plain = zlib.decompressobj().decompress(content, MAXIMUM_DATAGRAM_BYTES * 10)
        return _MESSAGE_ADAPTER.validate_json(plain)
    except (zlib.error, pydantic.ValidationError):
        return None


def _sign(content: bytes, secret: bytes) -> bytes:
    return hashlib.blake2s(content, key=secret, digest_size=SIGNATURE_BYTES).digest()
