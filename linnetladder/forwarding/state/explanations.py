"""Questions about where a request would go now, and their answers."""

import dataclasses

__all__ = [
    "EndpointExplanation",
    "ModelExplanation",
    "RouteExplanation",
    "RouteQuestion",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteQuestion:
    """A request that is not sent.

    Either ``credential`` or ``account``, the name of a client account, identifies its
    caller. ``session`` is the id of the prompt's part that a session's requests share,
    ``shared_tokens`` its length, and ``common_tokens`` that of the parts before it.
    """

    route: str
    credential: str | None = dataclasses.field(default=None, repr=False)
    account: str = ""
    model: str = ""
    input_tokens: int = 0
    output_tokens: int = 0
    shared_tokens: int = 0
    common_tokens: int = 0
    session: str = ""
    deadline_seconds: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelExplanation:
    """A model of the route and when it would be asked.

    ``expected_seconds`` is the wait and the time to read the whole prompt.
    ``next_model`` is asked if the response of this one is doubtful, for
    ``escalated_share`` of such responses; it is empty for the largest model.
    """

    name: str
    first: bool
    expected_seconds: float
    next_model: str = ""
    escalated_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointExplanation:
    """An endpoint of the request's service.

    ``obstacle`` is empty if a request may be sent; ``obstacle_seconds`` is the time
    until it ends, ``None`` if that is not known. ``terms`` add up to ``score``, which
    is ``None`` if the endpoint is no candidate. The lowest score is chosen.
    """

    name: str
    incarnation: str
    failure_domain: str
    allowed_version: bool
    obstacle: str = ""
    obstacle_seconds: float | None = None
    through_peers: bool = False
    score: float | None = None
    terms: dict[str, float] = dataclasses.field(default_factory=dict)
    chosen: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteExplanation:
    """Where a daemon would send a request now, and why.

    ``refusal`` is empty if the request would be sent. ``model`` is asked first, and
    ``endpoints`` are rated for it; it is empty if the caller or the endpoint chooses.
    The scores are in ``score_unit``. If all endpoints are at a limit, the request would
    wait ``permit_wait_seconds`` for the first one. ``expected_wait_seconds`` is the
    wait at the best endpoint. While ``room_is_short``, requests that can't be served by
    their deadline are refused, first those of an account with ``over_share``.
    """

    instance: str
    configuration_version: int
    configuration_age_seconds: float
    route: str
    refusal: str = ""
    account: str = ""
    service: str = ""
    priority: int | None = None
    deadline_seconds: float | None = None
    model: str = ""
    models: tuple[ModelExplanation, ...] = ()
    endpoint: str = ""
    permit_wait_seconds: float | None = None
    expected_wait_seconds: float = 0.0
    room_is_short: bool = False
    over_share: bool = False
    score_unit: str = ""
    endpoints: tuple[EndpointExplanation, ...] = ()
