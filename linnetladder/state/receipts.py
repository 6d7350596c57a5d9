"""Signed receipts of routing decisions.

A receipt contains the inputs of the decision and its outcome, never the text of the
request or a credential. `linnetladder explain` verifies it and repeats the decision on
the same inputs with the snapshot of the revision that the receipt names.
"""

import dataclasses

import orjson
import pydantic

from linnetladder.state.signing import KeyRing

__all__ = [
    "AttemptRecord",
    "DecisionInputs",
    "PlanEstimate",
    "QualityInputs",
    "Receipt",
    "sign_receipt",
    "verify_receipt",
]

RECEIPT_SALT = b"receipt"


@dataclasses.dataclass(slots=True)
class PlanEstimate:
    """The expected quality of a plan, and the share of answers expected to be poor.

    ``plan`` is ``model@version``, or two of them joined by ``>``. ``poor_share`` is the
    expected share of first answers that are rated poor.
    """

    plan: str
    quality: float
    poor_share: float = 0.0


@dataclasses.dataclass(slots=True)
class QualityInputs:
    """The quality estimates at the time of a decision.

    ``price`` is the value of one more accepted answer to the account, in millionths of
    a currency unit.
    """

    estimates: tuple[PlanEstimate, ...] = ()
    price: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class DecisionInputs:
    """Everything that the choice of a version depends on, except the snapshot.

    ``wanted`` is the requested model, ``model@version`` or ``auto``; ``pin`` is the
    version that a session is pinned to, if any. ``draw``, a number from [0, 1) that is
    hashed from the account and the request key, selects a version of a roll-out;
    ``exploration_draw`` is the random number of the random policy. ``fresh`` is whether
    the configuration's age was within the account's limit. ``available`` names the
    versions for which an endpoint accepted work, ``pulled`` the versions that the
    daemon had stopped using.
    """

    account: str
    wanted: str
    request_kind: str
    input_tokens: int
    output_tokens: int
    draw: float
    exploration_draw: float = 1.0
    pin: str = ""
    fresh: bool = True
    available: tuple[str, ...] = ()
    pulled: tuple[str, ...] = ()
    quality: QualityInputs = dataclasses.field(default_factory=QualityInputs)


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """One attempt at an endpoint and its outcome."""

    endpoint: str
    target: str
    outcome: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Receipt:
    """The decision on one request and its outcome; ``time_seconds`` is Unix time.

    ``refused`` is the error kind of a refusal, otherwise empty; ``trials`` are the
    attempts at endpoints.
    """

    request_id: str
    incarnation: str
    revision: int
    time_seconds: float
    inputs: DecisionInputs | None
    chosen: str = ""
    refused: str = ""
    node: str = ""
    detail: str = ""
    rejected_candidates: tuple[tuple[str, str], ...] = ()
    trials: tuple[AttemptRecord, ...] = ()


_RECEIPT_ADAPTER = pydantic.TypeAdapter(Receipt)


def sign_receipt(receipt: Receipt, *, keys: KeyRing) -> str:
    """Return the receipt as signed text that is valid in a header."""
    return keys.sign(orjson.dumps(receipt), salt=RECEIPT_SALT)


def verify_receipt(text: str, *, keys: KeyRing) -> Receipt | None:
    """Return the receipt if its signature is valid, else ``None``."""
    payload = keys.verify(text, salt=RECEIPT_SALT)
    if payload is None:
        return None
    return _RECEIPT_ADAPTER.validate_json(payload)
