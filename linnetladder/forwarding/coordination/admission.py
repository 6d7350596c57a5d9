"""Admission checks: route, credential, configuration age and crash history."""

import xxhash
from returns.result import Failure, Result, Success

from linnetladder.errors import ErrorKind, Refusal
from linnetladder.forwarding.coordination.budget import RetryBudget
from linnetladder.forwarding.coordination.homes import homes_of
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.poison import CrashLog, part_suspects
from linnetladder.forwarding.state import (
    ClientAccount,
    ForwardRequest,
    RequestHead,
    Route,
    RoutingTable,
    UnreadableRoute,
    credential_digest,
)
from linnetladder.forwarding.state.requests import ANY_MODEL

__all__ = ["RESPONSE_MARGIN_SECONDS", "AdmissionControl"]

# Responses are sent this long before the caller's time limit.
RESPONSE_MARGIN_SECONDS = 0.02
DEFAULT_DEADLINE_SECONDS = 30.0
# An operator has to write the configuration again.
UNREADABLE_RETRY_SECONDS = 5.0


class AdmissionControl:
    """Admits requests and determines their service, deadline and priority."""

    def __init__(
        self, *, in_force: TableInForce, budget: RetryBudget, crashes: CrashLog
    ):
        self.in_force = in_force
        self.budget = budget
        self.crashes = crashes

    def admit(
        self, head: RequestHead, body: bytes, *, received: float
    ) -> Result[ForwardRequest, Refusal]:
        """Return the admitted request, or the reason for its refusal."""
        examined = self.examine(head, body, received=received)
        if isinstance(examined, Success):
            self.budget.count_request(examined.unwrap().service)
        return examined

    def examine(
        self,
        head: RequestHead,
        body: bytes,
        *,
        received: float,
        account_name: str = "",
    ) -> Result[ForwardRequest, Refusal]:
        """Return what `admit` would, without counting the request.

        ``account_name`` identifies the caller instead of the head's credential.
        """
        stale_refusal = self.in_force.refuse_stale()
        table = self.in_force.table
        if table is None:
            return Failure(stale_refusal)
        route = table.find_route(head.host, head.path)
        if isinstance(route, UnreadableRoute):
            return Failure(_refuse_unreadable(f"the route: {route.problem}"))
        if route is None:
            detail = f"no route for host {head.host!r} and path {head.path!r}"
            if table.unreadable.hides_routes:
                return Failure(_refuse_unreadable(f"{detail} can be read"))
            return Failure(self.in_force.refuse_absent(ErrorKind.UNKNOWN_PATH, detail))
        account = None
        if _checks_credential(table, route, head, account_name):
            if stale_refusal is not None:
                return Failure(stale_refusal)
            account_result = self._find_account(table, head, account_name)
            if isinstance(account_result, Failure):
                return account_result
            account = account_result.unwrap()
        if not _offers_model(route, head.model):
            detail = f"the route offers {', '.join((ANY_MODEL, *route.models))}"
            kind = ErrorKind.MODEL_NOT_OFFERED
            return Failure(self.in_force.refuse_absent(kind, detail))
        request = self._build_request(
            head, body, received, route, account, table.version
        )
        poison = self.crashes.refuse(request.suspects)
        if poison is not None:
            return Failure(poison)
        return Success(request)

    def _find_account(
        self, table: RoutingTable, head: RequestHead, account_name: str
    ) -> Result[ClientAccount, Refusal]:
        kind = ErrorKind.UNKNOWN_CREDENTIAL
        if account_name:
            account = table.accounts.get(account_name)
            detail = f"there is no client account {account_name!r}"
        elif head.credential is None:
            detail = "the request carries no credential"
            kind = ErrorKind.MISSING_CREDENTIAL
            return Failure(self.in_force.refuse_absent(kind, detail))
        else:
            account = table.find_account(credential_digest(head.credential))
            detail = "no client account has the request's credential"
        if account is not None:
            return Success(account)
        if table.unreadable.hides_accounts:
            return Failure(_refuse_unreadable(f"{detail}, as far as they can be read"))
        return Failure(self.in_force.refuse_absent(kind, detail))

    def _build_request(
        self,
        head: RequestHead,
        body: bytes,
        received: float,
        route: Route,
        account: ClientAccount | None,
        version: int,
    ) -> ForwardRequest:
        requested_seconds = head.deadline_seconds or DEFAULT_DEADLINE_SECONDS
        seconds = min(requested_seconds, route.timeout_seconds)
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        prompt = head.prompt
        key = prompt.session if prompt is not None else head.attempt_id
        name = account.name if account is not None else ""
        digest = xxhash.xxh3_128(f"{head.method} {head.target}\0{name}\0".encode())
        digest.update(body)
        return ForwardRequest(
            head=head,
            body=body,
            route=route,
            service=route.choose_service(key),
            account=account,
            received=received,
            deadline=received + seconds - RESPONSE_MARGIN_SECONDS,
            deadline_source="route" if seconds < requested_seconds else "caller",
            priority=priority,
            fingerprint=digest.hexdigest(),
            configuration_version=version,
            part_suspects=part_suspects(prompt),
            homes=homes_of(route, account),
        )


def _refuse_unreadable(detail: str) -> Refusal:
    """Return the refusal of a request that an unreadable part decides about."""
    return Refusal(
        ErrorKind.CONFIGURATION_UNREADABLE,
        detail,
        retry_after_seconds=UNREADABLE_RETRY_SECONDS,
    )


def _checks_credential(
    table: RoutingTable, route: Route, head: RequestHead, account_name: str
) -> bool:
    """Return whether a request must come from one of the client accounts.

    Without accounts a credential is not needed, but one that is given is not known.
    """
    if route.public:
        return False
    return table.has_accounts or head.credential is not None or account_name != ""


def _offers_model(route: Route, model: str) -> bool:
    """Return whether a route's endpoints may have the model that a request names."""
    return not route.models or model == ANY_MODEL or model in route.models
