"""Model versions, roll-outs, services and withdrawals of the configuration."""

import dataclasses
from collections.abc import Mapping

__all__ = [
    "DEFAULT_KIND",
    "ModelVersion",
    "Rollout",
    "ServiceDeclaration",
    "VersionRef",
    "Withdrawal",
]

DEFAULT_KIND = "default"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class VersionRef:
    """A model and one of its versions, written ``model@version``.

    Examples
    --------
    >>> VersionRef.parse("linnet-small@2026.09").version
    '2026.09'
    """

    model: str
    version: str

    @classmethod
    def parse(cls, text: str) -> "VersionRef":
        """Parse ``model@version``; the version is empty if there is none."""
        model, _, version = text.partition("@")
        return cls(model, version)

    def __str__(self) -> str:
        return f"{self.model}@{self.version}"


@dataclasses.dataclass(frozen=True, slots=True)
class ModelVersion:
    """A version of a model with its prices and its expected quality.

    Prices are in millionths of a currency unit per token. ``quality`` maps a kind of
    request to the share of answers expected to be accepted, 0 to 1.
    """

    ref: VersionRef
    input_price: float
    output_price: float
    quality: Mapping[str, float]

    def expected_quality(self, kind: str) -> float:
        """Return the declared quality for a kind, or the declared default."""
        declared = self.quality.get(kind)
        if declared is None:
            return self.quality.get(DEFAULT_KIND, 0.0)
        return declared

    def price(self, *, input_tokens: int, output_tokens: int) -> float:
        """Return the price of an answer, in millionths of a currency unit."""
        return input_tokens * self.input_price + output_tokens * self.output_price


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """How one model's traffic is split between its stable and candidate version.

    ``share`` is the share of new work, 0 to 1, that the candidate receives.
    """

    model: str
    stable: str
    candidate: str = ""
    share: float = 0.0

    def choose(self, draw: float) -> str:
        """Return the version for ``draw``, a number from [0, 1)."""
        if self.candidate and draw < self.share:
            return self.candidate
        return self.stable


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDeclaration:
    """A plain service that requests can be passed through to.

    ``price`` is the price of one call in millionths of a currency unit;
    ``idempotent_methods`` are the HTTP methods that may be retried.
    """

    name: str
    price: float
    idempotent_methods: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """The withdrawal of a version, which then receives no new work."""

    ref: VersionRef
    reason: str
    author: str
