"""The checks that a request passes before a version is chosen for it.

Each check either fills in the context or returns the refusal. They run in order of
increasing cost, and none of them sends anything to an endpoint.
"""

from returns.result import Failure, Result, Success

from linnetladder.coordination.admission.limits import AccountLimits
from linnetladder.coordination.attempts.poison import PoisonRegistry
from linnetladder.coordination.configuration.in_force import ConfigurationInForce
from linnetladder.coordination.routing.request_context import RequestContext
from linnetladder.coordination.routing.requests import (
    CallerRequest,
    ChatWork,
    ServiceWork,
)
from linnetladder.errors import ErrorKind, Explanation, Refusal
from linnetladder.state import Clock, KeyRing, VersionRef
from linnetladder.state.sessions import verify_session_token
from linnetladder.state.settings import ON_WITHDRAWAL_RESTART

__all__ = ["EntryChecks"]


class EntryChecks:
    """Resolve the account, settings and session, and enforce the account's limits."""

    def __init__(
        self,
        *,
        configuration: ConfigurationInForce,
        keys: KeyRing,
        limits: AccountLimits,
        poison: PoisonRegistry,
        clock: Clock,
    ):
        self.configuration = configuration
        self.keys = keys
        self.limits = limits
        self.poison = poison
        self.clock = clock

    def identify(self, context: RequestContext) -> Refusal | None:
        """Resolve the account and set the deadline, priority and idempotence."""
        return self._find_account(context) or self._apply_request_settings(context)

    def admit(self, context: RequestContext) -> Refusal | None:
        """Run the remaining checks and return the first refusal.

        If there is none, the request counts as in flight until `end_request`.
        """
        return (
            self._check_body(context)
            or self._check_service(context)
            or self._check_session(context)
            or self.poison.refuse_poison(context.request.fingerprint)
            or self._check_limits(context)
        )

    def end_request(self, context: RequestContext) -> None:
        """Remove the request from its account's count of requests in flight."""
        if context.counted_in_flight:
            context.counted_in_flight = False
            self.limits.end_request(context.account)

    def is_configuration_fresh(self, context: RequestContext) -> bool:
        """Return whether the configuration's age is within the account's limit."""
        limit = context.view.settings.values.maximum_staleness_seconds
        return self.configuration.age() <= limit

    def account_of(self, credential_digest: str) -> Result[str, Refusal]:
        """Return the client account that a credential belongs to."""
        snapshot = self.configuration.snapshot
        if snapshot is None:
            detail = "the daemon has not received a configuration yet"
            return Failure(
                Refusal(
                    ErrorKind.CONFIGURATION_UNAVAILABLE, detail, retry_after_seconds=1.0
                )
            )
        account = snapshot.account_for_credential(credential_digest)
        if account is None:
            detail = "the credential belongs to no client account"
            return Failure(Refusal(ErrorKind.UNKNOWN_CREDENTIAL, detail))
        return Success(account)

    def _find_account(self, context: RequestContext) -> Refusal | None:
        lookup = self.account_of(context.request.credential_digest)
        if isinstance(lookup, Failure):
            return lookup.failure()
        context.snapshot = self.configuration.snapshot
        context.view = context.snapshot.view(lookup.unwrap())
        return None

    def _check_body(self, context: RequestContext) -> Refusal | None:
        limit = context.view.settings.values.maximum_body_bytes
        if context.request.body_bytes <= limit:
            return None
        detail = (
            f"the body of {context.request.body_bytes} bytes exceeds the {limit} "
            f"bytes of client account {context.account!r}"
        )
        return self._refuse(
            context, ErrorKind.BODY_TOO_LARGE, detail, "maximum_body_bytes"
        )

    def _apply_request_settings(self, context: RequestContext) -> Refusal | None:
        request = context.request
        values = context.view.settings.values
        seconds = request.deadline_seconds
        if seconds is None:
            seconds = values.default_deadline_seconds
        seconds = min(seconds, values.maximum_deadline_seconds)
        context.deadline = request.received + seconds
        context.priority = min(request.priority, values.maximum_priority)
        context.idempotent = _is_idempotent(request, context)
        return None

    def _check_service(self, context: RequestContext) -> Refusal | None:
        work = context.request.work
        if isinstance(work, ChatWork):
            return None
        if work.service not in context.snapshot.services:
            detail = f"service {work.service!r} is not declared"
            return self._refuse(context, ErrorKind.UNKNOWN_SERVICE, detail)
        if work.service not in context.view.settings.values.allowed_services:
            detail = (
                f"service {work.service!r} is not allowed for client account "
                f"{context.account!r}"
            )
            return self._refuse(
                context, ErrorKind.SERVICE_NOT_ALLOWED, detail, "allowed_services"
            )
        return None

    def _check_session(self, context: RequestContext) -> Refusal | None:
        token = context.request.session.token
        if not token:
            return None
        session = verify_session_token(token, keys=self.keys)
        if session is None or session.account != context.account:
            detail = (
                f"the session token was not issued to client account "
                f"{context.account!r}"
            )
            return self._refuse(context, ErrorKind.SESSION_INVALID, detail)
        if self.clock.unix() >= session.expires_seconds:
            detail = f"session {session.session_id!r} has expired"
            return self._refuse(
                context,
                ErrorKind.SESSION_EXPIRED,
                detail,
                "session_lifetime_seconds",
            )
        if self._starts_new_session(context, session.pin):
            return None
        context.session = session
        return None

    def _starts_new_session(self, context: RequestContext, pin: VersionRef) -> bool:
        """Return whether a withdrawn pin starts a new session instead of a refusal."""
        values = context.view.settings.values
        if values.session_on_withdrawal != ON_WITHDRAWAL_RESTART:
            return False
        return pin in context.view.withdrawn

    def _check_limits(self, context: RequestContext) -> Refusal | None:
        wait = self.limits.take(context.view, self.clock.monotonic())
        if wait > 0:
            rate = context.view.settings.values.requests_per_second
            detail = f"client account {context.account!r} exceeds {rate:g} requests/s"
            return self._refuse(
                context, ErrorKind.RATE_LIMITED, detail, "requests_per_second", wait
            )
        if not self.limits.admit(context.view):
            limit = context.view.settings.values.maximum_in_flight
            detail = (
                f"client account {context.account!r} has its {limit} requests in flight"
            )
            return self._refuse(
                context, ErrorKind.RATE_LIMITED, detail, "maximum_in_flight", 1.0
            )
        context.counted_in_flight = True
        return None

    def _refuse(
        self,
        context: RequestContext,
        kind: ErrorKind,
        detail: str,
        setting: str = "",
        retry_after: float | None = None,
    ) -> Refusal:
        node = context.view.settings.origins[setting] if setting else ""
        explanation = Explanation(
            revision=context.snapshot.revision, account=context.account, node=node
        )
        return Refusal(
            kind, detail, retry_after_seconds=retry_after, explanation=explanation
        )


def _is_idempotent(request: CallerRequest, context: RequestContext) -> bool:
    """Return the caller's declaration, or the default for the kind of work.

    Chat completions are idempotent by default, service calls only by the methods that
    the service declares as idempotent.
    """
    if request.idempotent is not None:
        return request.idempotent
    if isinstance(request.work, ServiceWork):
        service = context.snapshot.services.get(request.work.service)
        return service is not None and request.work.method in service.idempotent_methods
    return True
