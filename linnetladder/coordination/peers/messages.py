"""The messages of the protocol between daemons."""

import dataclasses

from linnetladder.coordination.attempts.poison import Crash
from linnetladder.coordination.billing.writer import BillBlock
from linnetladder.state import EndpointReport

__all__ = [
    "BillCopy",
    "BillHeld",
    "BillRecorded",
    "Departure",
    "Facts",
    "Heartbeat",
    "Hello",
    "ManifestReply",
    "ManifestRequest",
    "Neighbour",
    "PROTOCOL_VERSION",
    "PartsReply",
    "PartsRequest",
    "PeerMessage",
]

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """The first message in each direction: the sender and its protocol version."""

    protocol: int = PROTOCOL_VERSION
    instance: str
    incarnation: str
    failure_domain: str
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbour:
    """A daemon that accepts links; ``peer_address`` is IP:port."""

    instance: str
    failure_domain: str
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """A liveness message with the sender's configuration in force.

    ``sent_at`` is a time of the sender's monotonic clock. ``echo`` is the ``sent_at``
    of the last heartbeat that the sender received on this link, so it is a time of the
    receiver's clock. It gives the receiver an upper limit for the heartbeat's age
    without comparing clocks.
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
    """A bill block to hold until it is recorded at the platform."""

    block: BillBlock


@dataclasses.dataclass(frozen=True, slots=True)
class BillHeld:
    """The acknowledgement of a `BillCopy`: the sender holds the block."""

    incarnation: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class BillRecorded:
    """A notice that a block is recorded and its copies can be discarded."""

    incarnation: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An endpoint in the given incarnation that is leaving."""

    endpoint: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """Crashes and departures, which every daemon forwards to its peers.

    They are never revoked; at most they expire.
    """

    crashes: tuple[Crash, ...] = ()
    departures: tuple[Departure, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestRequest:
    """A request for the manifest in force, the signing keys and the endpoints."""


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestReply:
    """The encoded manifest, empty if none is in force, encoded keys and endpoints."""

    manifest: bytes
    keys: tuple[bytes, ...]
    endpoints: tuple[EndpointReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PartsRequest:
    """A request for the contents of parts, identified by their digests."""

    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PartsReply:
    """The encoded contents of parts, which the receiver identifies by their digests."""

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
