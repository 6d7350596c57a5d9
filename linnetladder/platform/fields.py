"""Reading of fields whose values may be missing, empty or unreadable.

One rule holds for the settings file and for the operator's configuration. Null and the
empty text mean the same as a missing field. A missing field has its default. A value
that can't be read is reported, and the field has its default, unless the default could
allow what the value forbids: then all of the entry is refused.
"""

import dataclasses
from typing import Annotated, ClassVar, Generic, TypeVar

import pydantic

__all__ = [
    "MAXIMUM_AMOUNT",
    "MAXIMUM_PORT",
    "MAXIMUM_SECONDS",
    "MILLISECONDS_PER_SECOND",
    "Amount",
    "FieldsModel",
    "Milliseconds",
    "Reading",
    "Seconds",
    "describe_errors",
    "read_fields",
]

MILLISECONDS_PER_SECOND = 1000.0
MAXIMUM_PORT = 65_535
# Far beyond any real figure. They keep what is computed from the figures finite.
MAXIMUM_SECONDS = 86_400.0
MAXIMUM_AMOUNT = 1e9

Milliseconds = Annotated[
    float, pydantic.Field(gt=0, le=MAXIMUM_SECONDS * MILLISECONDS_PER_SECOND)
]
Seconds = Annotated[float, pydantic.Field(gt=0, le=MAXIMUM_SECONDS)]
Amount = Annotated[float, pydantic.Field(ge=0, le=MAXIMUM_AMOUNT)]


class FieldsModel(pydantic.BaseModel):
    """A table or an entry whose fields are read one by one by `read_fields`.

    ``decisive_fields`` have a default for a missing value, but not for an unreadable
    one. Fields without a default are decisive, too.
    """

    decisive_fields: ClassVar[frozenset[str]] = frozenset()

    @classmethod
    def is_decisive(cls, name: str) -> bool:
        """Return whether the entry is refused if the field of a name is unreadable."""
        field = cls.model_fields.get(name)
        return field is None or field.is_required() or name in cls.decisive_fields


Model = TypeVar("Model", bound=FieldsModel)


@dataclasses.dataclass(frozen=True, slots=True)
class Reading(Generic[Model]):
    """What could be read; ``model`` is ``None`` if the entry is refused.

    ``problems`` name the unreadable fields, without their values, which may be secret.
    """

    model: Model | None
    problems: tuple[str, ...] = ()


def read_fields(model: type[Model], values: object) -> Reading[Model]:
    """Validate a table or an entry, with defaults for what is empty or unreadable.

    Examples
    --------
    >>> class Limits(FieldsModel):
    ...     size: int = 300
    ...     count: int = 10
    >>> read_fields(Limits, {"size": "", "count": "many"}).problems
    ('count: Input should be a valid integer, unable to parse string as an integer',)
    """
    if isinstance(values, dict):
        values = {name: v for name, v in values.items() if v is not None and v != ""}
    problems: tuple[str, ...] = ()
    while True:
        try:
            return Reading(model.model_validate(values), problems)
        except pydantic.ValidationError as error:
            problems += describe_errors(error)
            locations = [part["loc"] for part in error.errors()]
        if any(
            not location or model.is_decisive(location[0]) for location in locations
        ):
            return Reading(None, problems)
        unreadable = {location[0] for location in locations}
        values = {name: v for name, v in values.items() if name not in unreadable}


def describe_errors(error: pydantic.ValidationError) -> tuple[str, ...]:
    """Return where and why values can't be read, without the values."""
    return tuple(
        f"{'.'.join(map(str, part['loc']))}: {part['msg']}".removeprefix(": ")
        for part in error.errors(include_input=False, include_url=False)
    )
