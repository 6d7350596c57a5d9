"""What daemons tell each other, as data classes."""

import dataclasses

from linnetladder.coordination.attempts.poison import Crash
from linnetladder.coordination.billing.writer import BillBlock
from linnetladder.state import EndpointReport

__all__ = [
    "BillCopy",
    "BillHeld",
    "BillStands",
    "Departure",
    "Facts",
    "Heartbeat",
    "Hello",
    "ManifestReply",
    "ManifestRequest",
    "Neighbour",
    "PROTOCOL",
    "PartsReply",
    "PartsRequest",
    "PeerMessage",
]

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """The first message each way: who speaks, and in which protocol."""

    protocol: int = PROTOCOL_VERSION
    instance: str
    incarnation: str
    failure_domain: str
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbour:
    """A daemon that can be linked to; ``peer_address`` is IP:port."""

    instance: str
    failure_domain: str
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """That a daemon lives, and which configuration it has.

    ``sent_at`` is of the sender's monotonic clock and ``echo`` of the receiver's: the
    ``sent_at`` that the sender last received, so that the receiver can tell how old
    the statement is at most without comparing clocks.
    """

    revision: int
    checkpoint_id: str
    confirmed_age_seconds: float
    sent_at: float
    echo: float
    draining: bool
    neighbours: tuple[Neighbour, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class BillCopy:
    """A block to hold until it stands at the platform."""

    block: BillBlock


@dataclasses.dataclass(frozen=True, slots=True)
class BillHeld:
    """The answer to `BillCopy`: the block is held."""

    incarnation: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class BillRecorded:
    """A block stands and need not be held any longer."""

    incarnation: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An endpoint's incarnation that is leaving."""

    endpoint: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What is true for good, or until it expires, and is passed on by all."""

    crashes: tuple[Crash, ...] = ()
    departures: tuple[Departure, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestRequest:
    """A wish for the manifest in force and the signing keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestReply:
    """The encoded manifest, empty if there is none, the encoded keys, the endpoints."""

    manifest: bytes
    keys: tuple[bytes, ...]
    endpoints: tuple[EndpointReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PartsRequest:
    """A wish for the contents of parts."""

    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PartsReply:
    """The contents of parts, each of which names itself by its digest."""

    contents: tuple[bytes, ...]


PeerMessage = (
    Hello
    | Heartbeat
    | BillCopy
    | BillHeld
    | BillRecorded
    | Facts
    | ManifestRequest
    | ManifestReply
    | PartsRequest
    | PartsReply
)
