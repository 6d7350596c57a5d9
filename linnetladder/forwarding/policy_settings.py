"""What an operator may tune of the decisions, in environment variables.

Each field is read from the variable of its name in capitals after
``LINNETLADDER_POLICY_``.
"""

import os
from collections.abc import Mapping

import pydantic

__all__ = ["PolicyProblem", "PolicySettings", "read_policy_settings"]

PREFIX = "LINNETLADDER_POLICY_"


class PolicyProblem(Exception):
    """A variable whose value is not valid."""


class PolicySettings(pydantic.BaseModel):
    """The tunable parts of the decisions."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    confidence: float = pydantic.Field(
        50.0,
        ge=0,
        le=100,
        description="Confidence from which an answer of a smaller model is kept.",
    )
    step_prior: float = pydantic.Field(
        0.3,
        ge=0,
        le=1,
        description="Expected share of doubtful answers that the next size settles.",
    )
    first_size: int = pydantic.Field(
        0, ge=0, description="Position of the model that answers first."
    )


def read_policy_settings(
    environment: Mapping[str, str] = os.environ,
) -> PolicySettings:
    """Return the settings; raise `PolicyProblem` with the variable that is wrong."""
    given = {
        name: environment[PREFIX + name.upper()]
        for name in PolicySettings.model_fields
        if PREFIX + name.upper() in environment
    }
    try:
        return PolicySettings.model_validate(given)
    except pydantic.ValidationError as error:
        names = [PREFIX + str(part["loc"][0]).upper() for part in error.errors()]
        raise PolicyProblem(f"{', '.join(names)}: {error}") from error
