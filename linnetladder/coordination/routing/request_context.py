"""The state of one request while the daemon processes it."""

import dataclasses

from linnetladder.coordination.attempts.endpoint_client import Usage
from linnetladder.coordination.cascades.policies import Plan
from linnetladder.coordination.claims.strategies import (
    Claim,
    ClaimRequest,
    ClaimStrategy,
)
from linnetladder.coordination.routing.requests import CallerRequest
from linnetladder.errors import Ran, RejectedCandidate
from linnetladder.state import (
    AccountView,
    AttemptRecord,
    DecisionInputs,
    ModelVersion,
    Session,
    Snapshot,
    Target,
)
from linnetladder.telemetry import RequestTrace

__all__ = ["RequestContext"]


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestContext:
    """Accumulates what the steps of the request pipeline determine.

    ``deadline`` is monotonic seconds. ``ran`` is whether this submission is known to
    have run at an endpoint. ``superseded`` holds the versions whose answers an
    escalation replaced, with their token usage. ``counted_in_flight`` is set while the
    account's count of requests in flight includes this one. ``trial_lease_id`` is the
    id of the lease for running a suspect request, or 0.
    """

    request: CallerRequest
    snapshot: Snapshot | None = None
    view: AccountView | None = None
    session: Session | None = None
    idempotent: bool = True
    deadline: float = 0.0
    priority: int = 0
    inputs: DecisionInputs | None = None
    rejected_candidates: tuple[RejectedCandidate, ...] = ()
    plan: Plan | None = None
    ranked_versions: tuple[ModelVersion, ...] = ()
    superseded: tuple[tuple[Target, Usage], ...] = ()
    target: Target = ""
    claim: Claim | None = None
    claims: ClaimStrategy | None = None
    trial_lease_id: int = 0
    trials: list[AttemptRecord] = dataclasses.field(default_factory=list)
    trace: RequestTrace | None = None
    ran: Ran = Ran.NO
    counted_in_flight: bool = False

    @property
    def account(self) -> str:
        """The client account, or an empty string before it is known."""
        return self.view.account if self.view else ""

    def build_claim_request(self, *, seconds: float = 0.0) -> ClaimRequest:
        """Return the request for the exclusive right to run this submission."""
        request = self.request
        return ClaimRequest(
            account=self.account,
            request_key=request.request_key,
            token=request.request_id,
            fingerprint=request.fingerprint,
            seconds=seconds,
            ticket=request.ticket,
        )
