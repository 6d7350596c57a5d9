"""Decision receipts: what was decided, on what grounds, signed.

A receipt holds the inputs of the decision and its outcome, never the text of the
request nor a credential. `linnetladder explain` verifies it and runs the decision
again on the same inputs against the snapshot of the revision that it names.
"""

import dataclasses

import orjson
import pydantic

from linnetladder.state.signing import KeyRing

__all__ = [
    "DecisionInputs",
    "PlanEstimate",
    "QualityInputs",
    "Receipt",
    "Trial",
    "read_receipt",
    "sign_receipt",
]

RECEIPT_SALT = b"receipt"


@dataclasses.dataclass(slots=True)
class PlanEstimate:
    """The expected quality of a plan, and how often its first answer is poor.

    ``plan`` is ``model@version``, or two of them joined by ``>``.
    """

    plan: str
    quality: float
    poor_share: float = 0.0


@dataclasses.dataclass(slots=True)
class QualityInputs:
    """What had been learnt of quality when a decision was made.

    ``price`` is what one more accepted answer was worth to the account, in millionths
    of a currency unit.
    """

    estimates: tuple[PlanEstimate, ...] = ()
    price: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class DecisionInputs:
    """Everything that the choice of a version depends on, beside the snapshot.

    ``draw`` is from [0, 1) and settles roll-outs; ``exploration_draw`` settles the
    random policy. ``available`` names the versions that an endpoint accepted work for,
    ``pulled`` those that the daemon had stopped using.
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
    """One attempt at an endpoint and how it ended."""

    endpoint: str
    target: str
    outcome: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Receipt:
    """What one request was answered or refused with; times are Unix seconds."""

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
    """Return the receipt as a signed text that fits in a header."""
    return keys.sign(orjson.dumps(receipt), salt=RECEIPT_SALT)


def verify_receipt(text: str, *, keys: KeyRing) -> Receipt | None:
    """Return the receipt if its signature holds, else ``None``."""
    payload = keys.verify(text, salt=RECEIPT_SALT)
    if payload is None:
        return None
    return _RECEIPT_ADAPTER.validate_json(payload)
