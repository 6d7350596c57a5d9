"""Tickets: the right to run a non-idempotent request, fetched beforehand.

A ticket can be spent once, and only at the incarnation of the daemon that issued it.
Spending it writes nothing, so it works while the platform is out of reach and in a
failure domain that is cut off. When the daemon is replaced its tickets can't be spent
any more, and whether a spent one ran is not known.
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
    refuse_standing,
)
from linnetladder.coordination.platform import Put
from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.state import Clock, KeyRing

__all__ = ["Ticket", "TicketClaims"]

TICKET_SALT = b"ticket"
TICKET_SECONDS = 900.0
NONCE_BYTES = 12
MAXIMUM_SPENT = 200_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """What a ticket says; ``expires_seconds`` is Unix time."""

    incarnation: str
    account: str
    nonce: str
    expires_seconds: float


class TicketClaims(ClaimStrategy):
    """Issue tickets and see that each is spent at most once."""

    def __init__(self, *, keys: KeyRing, clock: Clock, incarnation: str):
        self.keys = keys
        self.clock = clock
        self.incarnation = incarnation
        self.spent: collections.OrderedDict[str, Claim] = collections.OrderedDict()
        self.expiry: dict[str, float] = {}

    def issue(self, account: str) -> tuple[str, Ticket]:
        """Return a new ticket's text and what it says."""
        ticket = Ticket(
            incarnation=self.incarnation,
            account=account,
            nonce=secrets.token_hex(NONCE_BYTES),
            expires_seconds=self.clock.unix() + TICKET_SECONDS,
        )
        payload = orjson.dumps(dataclasses.astuple(ticket))
        return self.keys.sign(payload, salt=TICKET_SALT), ticket

    async def claim(self, claim_request: ClaimRequest) -> Result[Claim, Refusal]:
        """Spend a ticket."""
        read = self._read(claim_request)
        if isinstance(read, Failure):
            return read
        ticket = read.unwrap()
        standing = self.spent.get(ticket.nonce)
        if standing is not None:
            return Failure(refuse_standing(standing, claim_request.fingerprint))
        self._forget_expired()
        if len(self.spent) >= MAXIMUM_SPENT:
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
        self.spent[ticket.nonce] = claim
        self.expiry[ticket.nonce] = ticket.expires_seconds
        return Success(claim)

    async def ran(self, claim_request: ClaimRequest) -> Ran:
        """Return what this daemon knows of its own ticket, else ``UNKNOWN``."""
        read = self._read(claim_request)
        if isinstance(read, Failure):
            return Ran.UNKNOWN
        standing = self.spent.get(read.unwrap().nonce)
        if standing is None:
            return Ran.NO
        return Ran.YES if standing.state is ClaimState.ANSWERED else Ran.UNKNOWN

    def answered(self, claim: Claim) -> tuple[Put, ...]:
        """Remember that the request was answered; nothing need be written."""
        done = dataclasses.replace(claim, state=ClaimState.ANSWERED)
        self.spent[claim.key] = done
        return ()

    async def release(self, claim: Claim) -> None:
        """Let a ticket be spent after all, if this submission spent it."""
        if self.spent.get(claim.key) == claim:
            del self.spent[claim.key]
            self.expiry.pop(claim.key, None)

    def _read(self, claim_request: ClaimRequest) -> Result[Ticket, Refusal]:
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

    def _forget_expired(self) -> None:
        """Drop spent tickets that can't be sent again, oldest first."""
        now = self.clock.unix()
        while self.spent:
            oldest = next(iter(self.spent))
            if self.expiry.get(oldest, 0.0) > now:
                return
            del self.spent[oldest]
            self.expiry.pop(oldest, None)
