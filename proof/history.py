"""What callers, endpoints, operators and the ledger saw, as events of one clock."""

import dataclasses

__all__ = [
    "Accepted",
    "Answered",
    "Billed",
    "Broken",
    "Crashed",
    "CutOff",
    "History",
    "InForce",
    "Leaving",
    "Ran",
    "Refused",
    "Stopped",
    "Submitted",
    "Withdrawn",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submitted:
    """A caller sent a request; a key that is sent again has several submissions."""

    time: float
    submission: str
    key: str
    account: str
    daemon: str
    idempotent: bool
    session: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """A caller received a final answer; ``right`` if whole and its own, by its text."""

    time: float
    submission: str
    version: str
    is_correct: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """A caller received a refusal."""

    time: float
    submission: str
    kind: str
    ran: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Disconnected:
    """A caller's connection ended without a final answer, or the caller left."""

    time: float
    submission: str
    caller_left: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ran:
    """An endpoint began to run a request; ``daemon`` if the endpoint knows it."""

    time: float
    key: str
    endpoint: str
    version: str = ""
    daemon: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crashed:
    """An endpoint went down because of a request."""

    time: float
    endpoint: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawn:
    """A withdrawal was accepted."""

    time: float
    version: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leaving:
    """A source said that an endpoint is leaving."""

    time: float
    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stopped:
    """A daemon was told to stop, or was killed."""

    time: float
    daemon: str
    graceful: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Partitioned:
    """A daemon could reach neither the platform nor a peer for a while."""

    time: float
    until: float
    daemon: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationAccepted:
    """A configuration was accepted."""

    time: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """A daemon was seen to have a revision in force."""

    time: float
    daemon: str
    incarnation: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Billed:
    """A bill as the ledger holds it in the end."""

    account: str
    key: str


@dataclasses.dataclass(slots=True)
class History:
    """All that was seen; ``bills`` is read when everything has come to rest."""

    events: list = dataclasses.field(default_factory=list)
    bills: list[Billed] = dataclasses.field(default_factory=list)

    def of_type(self, kind: type) -> list:
        """Return the events of one kind in order of time."""
        matches = [event for event in self.events if isinstance(event, kind)]
        return sorted(matches, key=lambda event: event.time)
