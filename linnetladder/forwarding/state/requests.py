"""What is known of one caller's request."""

import dataclasses

from linnetladder.forwarding.state.routes import ClientAccount, Route

__all__ = ["ANY_MODEL", "CallerHead", "ForwardRequest", "Prompt", "PromptPart"]

ANY_MODEL = "*"


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share; ``tokens`` long."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """A generation's size and the parts of its prompt, in order.

    The last part belongs to the request alone; the one before it is shared by the
    requests of one session.
    """

    input_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def session(self) -> str:
        """The id of the part that the requests of a session share, or ``""``."""
        if not self.parts:
            return ""
        return self.parts[-2].part_id if len(self.parts) > 1 else self.parts[0].part_id


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """A request's head as decoded from the caller's wire format.

    ``target`` is the request target as received; ``path`` is its path alone.
    ``headers`` are the ones to pass on. ``deadline_seconds`` is how long the caller
    waits from now on, ``None`` if it does not say.
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
    """A request that was let in, with the terms it runs on.

    ``received`` and ``deadline`` are seconds of the daemon's clock; ``limited_by`` says
    who set the deadline, ``caller`` or ``route``. ``ran`` is set
    once an endpoint may have started on it. ``attempts`` counts the endpoints that may
    have run it, ``arrivals`` all that it was sent to. ``model`` is the latest that was
    asked and ``events`` how many of a stream were passed on.
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
    attempts: int = 0
    times_sent: int = 0
    ran: bool = False
    model: str = ""
    events: int = 0
    billed: bool = False
    endpoints_tried: list[str] = dataclasses.field(default_factory=list)
    history: list[str] = dataclasses.field(default_factory=list)

    @property
    def account_name(self) -> str:
        """The client account's name, ``""`` on public routes."""
        return self.account.name if self.account is not None else ""
