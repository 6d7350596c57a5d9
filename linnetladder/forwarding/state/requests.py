"""The decoded head of a caller's request and the state of its processing."""

import dataclasses

from linnetladder.forwarding.state.crashes import Trial
from linnetladder.forwarding.state.routes import ClientAccount, Route

__all__ = ["ANY_MODEL", "ForwardRequest", "Prompt", "PromptPart", "RequestHead"]

# The model that a caller names to leave the choice to the router.
ANY_MODEL = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A segment of a prompt, ``tokens`` long, that several requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """The token counts of a generation and the parts of its prompt, in order.

    The last part is unique to the request. The part before it is common to all
    requests of one session.
    """

    input_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have too, in order."""
        return self.parts[:-1]

    @property
    def session(self) -> str:
        """The id of the part that a session's requests share; ``""`` without parts."""
        if not self.parts:
            return ""
        return self.parts[-2].part_id if len(self.parts) > 1 else self.parts[0].part_id

    @property
    def session_tokens(self) -> int:
        """The tokens of the part that a session's requests share."""
        return self.parts[-2].tokens if len(self.parts) > 1 else 0

    @property
    def common_tokens(self) -> int:
        """The tokens before that part, which requests of many sessions share."""
        return sum(part.tokens for part in self.parts[:-2])


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """A request's head, decoded from the caller's wire format.

    ``target`` is the request target as received, ``path`` the target without its query.
    ``headers`` holds the headers to forward. ``deadline_seconds`` is the time that the
    caller allows for the request, ``None`` if it sets no deadline. ``resume_after`` is
    the id of the last event that the caller received of an interrupted stream.
    """

    attempt_id: str
    method: str
    target: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...]
    credential: str | None
    deadline_seconds: float | None
    model: str
    prompt: Prompt | None
    resume_after: str


@dataclasses.dataclass(slots=True, kw_only=True)
class ForwardRequest:
    """An admitted request, with its limits and the progress of its attempts.

    ``received`` and ``deadline`` are in seconds of the daemon's monotonic clock.
    ``deadline_source`` is ``caller`` or ``route``, whichever set the deadline.
    ``fingerprint`` identifies the request by its content, and ``part_suspects`` names
    the parts of its prompt that other requests may share. ``homes`` are the regions
    that it may be sent to, ``None`` for any. ``ran`` is set once an endpoint may have
    started to run the request. ``attempts`` counts the endpoints that may have run it,
    ``times_sent`` also those that reported that they did not. ``expected_share`` is the
    time in which the request was expected to be served when it arrived, as a share of
    the time left, 0 unless room was short. ``trial`` is its right to be sent although
    it may crash an endpoint. ``fallback_seconds`` is set while a larger
    model is asked: the time that the smaller one took, which is asked again if the
    larger one fails. ``model`` is the model of the latest attempt and ``events`` the
    number of stream events forwarded to the caller. ``history`` lists the steps of the
    processing for the log.
    """

    head: RequestHead
    body: bytes
    route: Route
    service: str
    account: ClientAccount | None
    received: float
    deadline: float
    deadline_source: str
    priority: int
    fingerprint: str
    configuration_version: int
    part_suspects: tuple[str, ...] = ()
    homes: frozenset[str] | None = None
    attempts: int = 0
    times_sent: int = 0
    ran: bool = False
    expected_share: float = 0.0
    retry_reserved: bool = False
    retry_spent_at: float = 0.0
    trial: Trial | None = None
    fallback_seconds: float | None = None
    model: str = ""
    events: int = 0
    billed: bool = False
    endpoints_tried: list[str] = dataclasses.field(default_factory=list)
    history: list[str] = dataclasses.field(default_factory=list)

    @property
    def suspects(self) -> tuple[str, ...]:
        """What may crash an endpoint that runs the request, in whole or in part."""
        return (*self.part_suspects, self.fingerprint)

    @property
    def account_name(self) -> str:
        """The client account's name; ``""`` on a public route."""
        return self.account.name if self.account is not None else ""
