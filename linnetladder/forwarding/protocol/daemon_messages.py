"""What daemons tell each other in one signed datagram.

A report says all that its sender has to say, so a lost one is made good by the next.
It is authenticated with a secret that the platform's store holds, and a receiver
takes a sender's messages only in rising order.
"""

import dataclasses
import hashlib
import hmac
import zlib

import orjson
import pydantic

__all__ = ["CopiedBills", "News", "Report", "decode_news", "encode_news"]

SIGNATURE_BYTES = 16
MAXIMUM_DATAGRAM_BYTES = 60_000


@dataclasses.dataclass(slots=True, kw_only=True)
class CopiedBills:
    """Bills by attempt id for a peer to hold.

    ``blocks`` names the block that they belong to; blocks up to ``written`` stand. A
    bill is client account, service, model, prompt tokens and events.
    """

    written: int
    blocks: dict[int, dict[str, tuple[str, str, str, int, int]]]


@dataclasses.dataclass(slots=True, kw_only=True)
class DaemonReport:
    """What one daemon sees; it replaces what the daemon said before.

    ``loads`` holds rows of endpoint, requests in flight and backlog in seconds;
    ``outcomes`` rows of endpoint, route and the counts of `Row`; ``crashes`` pairs
    of fingerprint and endpoint; ``bad_targets`` pairs of service and order;
    ``leaving`` pairs of endpoint and incarnation. ``reading`` is the digest of what it
    last read of the store, ``echoes`` which reports of whom it had had by then. A
    sender that is ``draining`` is about to leave.
    """

    loads: list[tuple[str, int, float]]
    outcomes: list[tuple[str, str, tuple[float, ...]]]
    crashes: list[tuple[str, str]]
    bad_targets: list[tuple[str, int]]
    leaving: list[tuple[str, str]]
    draining: bool = False
    reading: int = 0
    echoes: list[tuple[int, int]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True)
class DaemonMessage:
    """One message of a daemon.

    ``revision`` is the newest one of the store's that it knows and all must know.
    ``copied_bills`` is only sent to the peers that hold them.
    """

    instance: str
    incarnation: str
    sequence: int
    revision: int
    report: DaemonReport | None = None
    copied_bills: CopiedBills | None = None


_MESSAGE_ADAPTER = pydantic.TypeAdapter(DaemonMessage)


def encode_message(message: DaemonMessage, *, secret: bytes) -> bytes:
    """Return a signed datagram."""
    content = zlib.compress(orjson.dumps(message, option=orjson.OPT_NON_STR_KEYS), 1)
    return _sign(content, secret) + content


def decode_message(datagram: bytes, *, secret: bytes) -> DaemonMessage | None:
    """Return the news, or ``None`` if its signature or form is wrong."""
    signature, content = datagram[:SIGNATURE_BYTES], datagram[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(content, secret)):
        return None
    try:
        plain = zlib.decompressobj().decompress(content, MAXIMUM_DATAGRAM_BYTES * 10)
        return _MESSAGE_ADAPTER.validate_json(plain)
    except (zlib.error, pydantic.ValidationError):
        return None


def _sign(content: bytes, secret: bytes) -> bytes:
    return hashlib.blake2s(content, key=secret, digest_size=SIGNATURE_BYTES).digest()
