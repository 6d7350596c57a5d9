"""Completes requests: bills answers, signs receipts and finalizes refusals."""

import asyncio
import dataclasses

from linnetladder.coordination.attempts.endpoint_client import Usage
from linnetladder.coordination.billing.writer import BillDurability, BillWriter
from linnetladder.coordination.claims.strategies import ClaimStrategy
from linnetladder.coordination.claims.tickets import TicketClaims
from linnetladder.coordination.routing.exchanges import AnswerHead, Refused
from linnetladder.coordination.routing.request_context import RequestContext
from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.state import Bill, Clock, KeyRing, Receipt, Session, VersionRef
from linnetladder.state.ledger import bill_id
from linnetladder.state.receipts import sign_receipt
from linnetladder.state.sessions import issue_session_token
from linnetladder.telemetry import Metrics

__all__ = ["Completion"]

MAXIMUM_REJECTED_CANDIDATES = 12
MINIMUM_BILL_WAIT_SECONDS = 5.0
BILL_ALL_STEPS = "all"
SESSION_OPENED = "opened"
SESSION_KEPT = "kept"
SESSION_RESTARTED = "restarted"


class Completion:
    """Bill answers, sign receipts and determine the ``ran`` value of refusals."""

    def __init__(
        self,
        *,
        bills: BillWriter,
        claims: ClaimStrategy,
        tickets: TicketClaims,
        keys: KeyRing,
        clock: Clock,
        metrics: Metrics,
        incarnation: str,
    ):
        self.bills = bills
        self.claims = claims
        self.tickets = tickets
        self.keys = keys
        self.clock = clock
        self.metrics = metrics
        self.incarnation = incarnation

    async def bill(
        self, context: RequestContext, usage: Usage, *, forwarded: bool = False
    ) -> Refusal | None:
        """Bill an answer and wait until the bill is durable.

        Returns ``None`` on success; the end of the answer may be sent only then. If
        the bill is not durable in time, it is voided and a refusal is returned, to be
        sent in place of the answer. The bill is also voided if this call is cancelled
        because the caller disconnected, with two exceptions: the answer was
        ``forwarded`` except for its end marker, or the request is not idempotent. In
        both cases the request has taken effect, so its bill is kept.
        """
        started_at = self.clock.monotonic()
        bill = self._build_bill(context, usage, complete=True)
        puts = context.claims.mark_answered(context.claim) if context.claim else ()
        durable = self.bills.add(bill, puts)
        span = (
            context.trace.begin(BillDurability.RECORDED.value)
            if context.trace
            else None
        )
        wait_seconds = max(context.deadline - started_at, MINIMUM_BILL_WAIT_SECONDS)
        try:
            async with asyncio.timeout(wait_seconds):
                await asyncio.shield(durable)
        except asyncio.CancelledError:
            if context.idempotent and not forwarded:
                self._void(bill, durable)
            raise
        except TimeoutError:
            self._void(bill, durable)
            detail = "the answer's bill was not safe in time, so the answer is held"
            return Refusal(
                ErrorKind.BILL_NOT_RECORDED,
                detail,
                Ran.YES,
                retry_after_seconds=5.0,
            )
        if span is not None:
            span.name = durable.result().value
            span.end()
        self.metrics.record("bill_seconds", self.clock.monotonic() - started_at)
        return None

    def _void(self, bill: Bill, durable: asyncio.Future) -> None:
        self.bills.withdraw(bill, durable)
        self.metrics.count("bills_voided")

    def bill_without_waiting(
        self, context: RequestContext, usage: Usage, *, complete: bool
    ) -> None:
        """Queue a bill for what a caller received before it disconnected."""
        self.bills.add(self._build_bill(context, usage, complete=complete))

    def answer_head(self, context: RequestContext) -> AnswerHead:
        """Return the metadata sent with an answer, including a signed receipt."""
        token, state = self._session_token(context)
        return AnswerHead(
            request_id=context.request.request_id,
            target=str(context.target),
            receipt=self._receipt(context, None),
            session_token=token,
            session_state=state,
        )

    async def refuse(self, context: RequestContext, refusal: Refusal) -> Refused:
        """Return the refusal to send, with a ``ran`` value that covers resubmissions.

        A request with an idempotency key or ticket may have been submitted before,
        to any daemon, so only its claim can show that it did not run.
        """
        ran = await self._resolve_ran(context, refusal)
        explanation = refusal.explanation
        if context.snapshot is not None and not explanation.revision:
            explanation = dataclasses.replace(
                explanation,
                revision=context.snapshot.revision,
                account=context.account,
                rejected_candidates=context.rejected_candidates,
            )
        refusal = dataclasses.replace(refusal, ran=ran, explanation=explanation)
        self.metrics.count("refused", label=refusal.kind)
        self.metrics.count("refused_ran", label=ran)
        return Refused(
            request_id=context.request.request_id,
            refusal=refusal,
            receipt=self._receipt(context, refusal),
        )

    async def _resolve_ran(self, context: RequestContext, refusal: Refusal) -> Ran:
        request = context.request
        if refusal.ran is not Ran.NO or not request.has_caller_key:
            return refusal.ran
        if context.idempotent or context.view is None:
            return Ran.UNKNOWN
        if context.claim is not None:
            await context.claims.release(context.claim)
            return Ran.NO
        claims = self.tickets if request.ticket else self.claims
        return await claims.ran(context.build_claim_request())

    def _build_bill(
        self, context: RequestContext, usage: Usage, *, complete: bool
    ) -> Bill:
        request = context.request
        return Bill(
            bill_id=bill_id(account=context.account, request_key=request.request_key),
            record_id=request.request_id,
            account=context.account,
            request_key=request.request_key,
            target=str(context.target),
            input_tokens=usage.input_tokens,
            output_tokens=usage.output_tokens,
            price=self._price(context, usage),
            time_seconds=self.clock.unix(),
            complete=complete,
        )

    def _price(self, context: RequestContext, usage: Usage) -> float:
        """Return the price of the delivered answer.

        If the account's ``escalation_billing`` is "all", the price includes answers
        that an escalation replaced.
        """
        target = context.target
        if not isinstance(target, VersionRef):
            return context.snapshot.services[target].price
        charged = [(target, usage)]
        if context.view.settings.values.escalation_billing == BILL_ALL_STEPS:
            charged.extend(context.superseded)
        return sum(
            context.snapshot.versions[ref].price(
                input_tokens=used.input_tokens, output_tokens=used.output_tokens
            )
            for ref, used in charged
        )

    def _session_token(self, context: RequestContext) -> tuple[str, str]:
        """Return the session token for the caller and the state of the session."""
        request = context.request
        if context.session is not None:
            return request.session.token, SESSION_KEPT
        restarted = bool(request.session.token)
        if not (request.session.open or restarted):
            return "", ""
        if not isinstance(context.target, VersionRef):
            return "", ""
        lifetime = context.view.settings.values.session_lifetime_seconds
        session = Session(
            session_id=request.request_id,
            account=context.account,
            pin=context.target,
            revision=context.snapshot.revision,
            expires_seconds=self.clock.unix() + lifetime,
        )
        state = SESSION_RESTARTED if restarted else SESSION_OPENED
        return issue_session_token(session, keys=self.keys), state

    def _receipt(self, context: RequestContext, refusal: Refusal | None) -> str:
        if self.keys.current is None:
            return ""
        rejected_candidates = context.rejected_candidates[:MAXIMUM_REJECTED_CANDIDATES]
        receipt = Receipt(
            request_id=context.request.request_id,
            incarnation=self.incarnation,
            revision=context.snapshot.revision if context.snapshot else 0,
            time_seconds=self.clock.unix(),
            inputs=context.inputs,
            chosen=str(context.target),
            refused=refusal.kind if refusal else "",
            node=refusal.explanation.node if refusal else "",
            detail=refusal.detail if refusal else "",
            rejected_candidates=tuple(
                (p.candidate, p.reason) for p in rejected_candidates
            ),
            trials=tuple(context.trials),
        )
        return sign_receipt(receipt, keys=self.keys)
