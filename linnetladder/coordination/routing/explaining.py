"""Explain a receipt: verify its signature, then replay its decision."""

import dataclasses
import enum

from returns.result import Failure

from linnetladder.coordination.configuration.publishing import Publisher
from linnetladder.coordination.routing.decision import Decision, decide
from linnetladder.state import KeyRing, Receipt
from linnetladder.state.receipts import verify_receipt

__all__ = ["ExplainedReceipt", "Replay", "explain_receipt"]


class Replay(enum.StrEnum):
    """The result of replaying a receipt's decision."""

    SAME = "same"
    DIFFERENT = "different"
    NO_DECISION = "no_decision"
    REVISION_GONE = "revision_gone"


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainedReceipt:
    """A verified receipt, the replayed decision and whether they agree."""

    receipt: Receipt
    replay: Replay
    decision: Decision | None = None


async def explain_receipt(
    text: str, *, keys: KeyRing, publisher: Publisher
) -> ExplainedReceipt | None:
    """Return the explanation of a receipt, or ``None`` if its signature fails."""
    receipt = verify_receipt(text, keys=keys)
    if receipt is None:
        return None
    if receipt.inputs is None:
        return ExplainedReceipt(receipt, Replay.NO_DECISION)
    manifest = await publisher.read_revision(receipt.revision)
    if isinstance(manifest, Failure):
        return ExplainedReceipt(receipt, Replay.REVISION_GONE)
    snapshot = await publisher.read_snapshot(manifest.unwrap())
    if isinstance(snapshot, Failure):
        return ExplainedReceipt(receipt, Replay.REVISION_GONE)
    decision = decide(snapshot.unwrap(), receipt.inputs)
    return ExplainedReceipt(receipt, _compare(receipt, decision), decision)


def _compare(receipt: Receipt, decision: Decision) -> Replay:
    """Return whether the replayed decision agrees with the receipt.

    The request may have been answered by a lower-ranked version, or refused after the
    decision, for example because no slot was free.
    """
    ranked_versions = {str(version.ref) for version in decision.ranked_versions}
    if decision.refusal is not None:
        same = receipt.refused == decision.refusal.kind
    else:
        same = receipt.chosen in ranked_versions
    return Replay.SAME if same else Replay.DIFFERENT
