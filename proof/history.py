"""Events that callers, endpoints, operators and the ledger observed, on one clock."""

import dataclasses

__all__ = [
    "Answered",
    "Billed",
    "ConfigurationAccepted",
    "Crashed",
    "Disconnected",
    "History",
    "InForce",
    "Leaving",
    "Partitioned",
    "Ran",
    "Refused",
    "Restarted",
    "Stopped",
    "Submitted",
    "Withdrawn",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submitted:
    """A caller sent a request; each repetition of a key is a submission of its own."""

    time: float
    submission: str
    key: str
    account: str
    daemon: str
    idempotent: bool
    session: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """A caller received a final answer.

    ``is_correct`` states whether its text is complete and belongs to the request.
    """

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
    """A connection ended without a final answer; ``caller_left`` if the caller left."""

    time: float
    submission: str
    caller_left: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ran:
    """An endpoint started to run a request.

    ``daemon`` is empty if the endpoint does not know which daemon sent the request.
    """

    time: float
    key: str
    endpoint: str
    version: str = ""
    daemon: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crashed:
    """A request crashed an endpoint."""

    time: float
    endpoint: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawn:
    """The withdrawal of a version was accepted."""

    time: float
    version: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leaving:
    """An endpoint was reported as leaving."""

    time: float
    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Restarted:
    """An endpoint began a new incarnation, which is not leaving."""

    time: float
    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stopped:
    """A daemon was shut down gracefully or killed."""

    time: float
    daemon: str
    graceful: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Partitioned:
    """A daemon reached neither the platform nor a peer from ``time`` to ``until``."""

    time: float
    until: float
    daemon: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationAccepted:
    """A configuration revision was accepted."""

    time: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """A daemon was observed with a revision in force."""

    time: float
    daemon: str
    incarnation: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Billed:
    """A bill in the final state of the ledger."""

    account: str
    key: str


@dataclasses.dataclass(slots=True)
class History:
    """All observed events; ``bills`` is read from the ledger after all work ended."""

    events: list = dataclasses.field(default_factory=list)
    bills: list[Billed] = dataclasses.field(default_factory=list)

    def of_type(self, kind: type) -> list:
        """Return the events of one type, ordered by time."""
        matches = [event for event in self.events if isinstance(event, kind)]
        return sorted(matches, key=lambda event: event.time)
