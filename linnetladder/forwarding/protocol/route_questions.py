"""Wire format of questions about routes, which operators ask a daemon."""

import pydantic

from linnetladder.forwarding.state.explanations import (
    RouteExplanation,
    RouteQuestion,
)

__all__ = [
    "EXPLAIN_ROUTE_PATH",
    "RouteQuestionError",
    "decode_explanation",
    "decode_question",
    "encode_question",
]

EXPLAIN_ROUTE_PATH = "/explain-route"
MAXIMUM_TOKENS = 100_000_000

TokenCount = pydantic.Field(0, ge=0, le=MAXIMUM_TOKENS)


class RouteQuestionError(Exception):
    """A question or an answer is not valid; the message holds none of its values."""


class RouteQuestionModel(pydantic.BaseModel):
    """A `RouteQuestion` as JSON."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    route: str
    credential: pydantic.SecretStr | None = None
    account: str = ""
    model: str = ""
    input_tokens: int = TokenCount
    output_tokens: int = TokenCount
    shared_tokens: int = TokenCount
    common_tokens: int = TokenCount
    session: str = ""
    deadline_seconds: float | None = pydantic.Field(None, gt=0, allow_inf_nan=False)

    @pydantic.model_validator(mode="after")
    def check_caller_and_parts(self) -> "RouteQuestionModel":
        """Reject two callers, and parts that are longer than the prompt."""
        if self.credential is not None and self.account:
            raise ValueError("give a credential or the name of an account, not both")
        if self.shared_tokens + self.common_tokens > self.input_tokens:
            raise ValueError("the prompt's parts are longer than the prompt")
        return self


EXPLANATIONS = pydantic.TypeAdapter(RouteExplanation)


def decode_question(content: bytes) -> RouteQuestion:
    """Return the question in a request's body."""
    try:
        model = RouteQuestionModel.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise RouteQuestionError(_describe(error)) from None
    fields = dict(model)
    if model.credential is not None:
        fields["credential"] = model.credential.get_secret_value()
    return RouteQuestion(**fields)


def encode_question(fields: dict[str, object]) -> dict[str, object]:
    """Return the JSON document of a question; raise if the fields are not valid."""
    try:
        RouteQuestionModel.model_validate(fields)
    except pydantic.ValidationError as error:
        raise RouteQuestionError(_describe(error)) from None
    return fields


def decode_explanation(content: bytes) -> RouteExplanation:
    """Return the explanation in a daemon's answer."""
    try:
        return EXPLANATIONS.validate_json(content)
    except pydantic.ValidationError as error:
        raise RouteQuestionError(_describe(error)) from None


def _describe(error: pydantic.ValidationError) -> str:
    """Return the problems without the values, which may be credentials."""
    problems = error.errors(
        include_input=False, include_url=False, include_context=False
    )
    return "; ".join(
        ": ".join((*map(str, problem["loc"]), problem["msg"])) for problem in problems
    )
