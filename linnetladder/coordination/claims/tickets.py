"""Tickets, which a caller fetches in advance to run a non-idempotent request once.

A ticket can be spent once, and only at the daemon that issued it, in the same
incarnation. Spent tickets are kept in memory, so spending works while the platform is
unreachable and in a partitioned failure domain. After the daemon is restarted, its
tickets can no longer be spent and it is unknown whether requests with spent tickets
ran.
"""

import collections
import dataclasses
import secrets

import orjson
from returns.result import Failure, Result, Success

from linnetladder.coordination.claims.strategies import (
    Claim,
    ClaimRequest,
    ClaimState,
    ClaimStrategy,
    refuse_claimed,
)
from linnetladder.coordination.platform import Put
from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.state import Clock, KeyRing

__all__ = ["Ticket", "TicketClaims"]

TICKET_SALT = b"ticket"
TICKET_LIFETIME_SECONDS = 900.0
NONCE_BYTES = 12
MAXIMUM_SPENT_TICKETS = 200_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """The content of a ticket; ``expires_seconds`` is Unix time."""

    incarnation: str
    account: str
    nonce: str
    expires_seconds: float


class TicketClaims(ClaimStrategy):
    """Issue tickets and ensure that each is spent at most once."""

    def __init__(self, *, keys: KeyRing, clock: Clock, incarnation: str):
        self.keys = keys
        self.clock = clock
        self.incarnation = incarnation
        self.claims_by_nonce: collections.OrderedDict[str, Claim] = (
            collections.OrderedDict()
        )
        self.expiry_by_nonce: dict[str, float] = {}

    def issue(self, account: str) -> tuple[str, Ticket]:
        """Return a new ticket, first in its signed text form."""
        ticket = Ticket(
            incarnation=self.incarnation,
            account=account,
            nonce=secrets.token_hex(NONCE_BYTES),
            expires_seconds=self.clock.unix() + TICKET_LIFETIME_SECONDS,
        )
        payload = orjson.dumps(dataclasses.astuple(ticket))
        return self.keys.sign(payload, salt=TICKET_SALT), ticket

    async def claim(self, claim_request: ClaimRequest) -> Result[Claim, Refusal]:
        """Spend a ticket."""
        verified = self._verify_ticket(claim_request)
        if isinstance(verified, Failure):
            return verified
        ticket = verified.unwrap()
        existing = self.claims_by_nonce.get(ticket.nonce)
        if existing is not None:
            return Failure(refuse_claimed(existing, claim_request.fingerprint))
        self._evict_expired()
        if len(self.claims_by_nonce) >= MAXIMUM_SPENT_TICKETS:
            detail = "the daemon holds too many spent tickets"
            return Failure(
                Refusal(ErrorKind.OVERLOADED, detail, retry_after_seconds=5.0)
            )
        claim = Claim(
            key=ticket.nonce,
            token=claim_request.token,
            fingerprint=claim_request.fingerprint,
            state=ClaimState.STARTED,
        )
        self.claims_by_nonce[ticket.nonce] = claim
        self.expiry_by_nonce[ticket.nonce] = ticket.expires_seconds
        return Success(claim)

    async def ran(self, claim_request: ClaimRequest) -> Ran:
        """Return this daemon's record, or ``UNKNOWN`` for a ticket not valid here."""
        verified = self._verify_ticket(claim_request)
        if isinstance(verified, Failure):
            return Ran.UNKNOWN
        existing = self.claims_by_nonce.get(verified.unwrap().nonce)
        if existing is None:
            return Ran.NO
        return Ran.YES if existing.state is ClaimState.ANSWERED else Ran.UNKNOWN

    def mark_answered(self, claim: Claim) -> tuple[Put, ...]:
        """Mark the claim as answered in memory; no puts are required."""
        answered_claim = dataclasses.replace(claim, state=ClaimState.ANSWERED)
        self.claims_by_nonce[claim.key] = answered_claim
        return ()

    async def release(self, claim: Claim) -> None:
        """Make the ticket spendable again if this submission spent it."""
        if self.claims_by_nonce.get(claim.key) == claim:
            del self.claims_by_nonce[claim.key]
            self.expiry_by_nonce.pop(claim.key, None)

    def _verify_ticket(self, claim_request: ClaimRequest) -> Result[Ticket, Refusal]:
        payload = self.keys.verify(claim_request.ticket, salt=TICKET_SALT)
        if payload is None:
            detail = "the ticket was not issued by this system"
            return Failure(Refusal(ErrorKind.TICKET_INVALID, detail))
        incarnation, account, nonce, expires_seconds = orjson.loads(payload)
        ticket = Ticket(
            incarnation=incarnation,
            account=account,
            nonce=nonce,
            expires_seconds=expires_seconds,
        )
        if account != claim_request.account:
            detail = (
                f"the ticket was not issued to client account {claim_request.account!r}"
            )
            return Failure(Refusal(ErrorKind.TICKET_INVALID, detail))
        if incarnation != self.incarnation:
            detail = "the ticket can only be spent at the daemon that issued it"
            return Failure(Refusal(ErrorKind.TICKET_FOREIGN, detail, Ran.UNKNOWN))
        if self.clock.unix() >= expires_seconds:
            detail = "the ticket has expired"
            return Failure(Refusal(ErrorKind.TICKET_INVALID, detail, Ran.UNKNOWN))
        return Success(ticket)

    def _evict_expired(self) -> None:
        """Remove the claims of expired tickets, oldest first."""
        now = self.clock.unix()
        while self.claims_by_nonce:
            oldest = next(iter(self.claims_by_nonce))
            if self.expiry_by_nonce.get(oldest, 0.0) > now:
                return
            del self.claims_by_nonce[oldest]
            self.expiry_by_nonce.pop(oldest, None)
