"""Claims, which ensure that a non-idempotent request runs at most once.

There are two implementations of `ClaimStrategy`. For a request with an idempotency key,
the claim is a key at the platform. For a request with a ticket, the claim is kept by
the daemon that issued the ticket and the platform is not needed (see `tickets`).

A caller may resubmit a request with an idempotency key to another daemon. Before a
daemon sends the first byte of such a request to an endpoint, it creates a claim under
the request's bill id in the platform's key-value service. Only the daemon that created
the claim may run the request. A request without an idempotency key reaches only one
daemon and needs no claim.
"""

import abc
import dataclasses
import enum

import orjson
from returns.result import Failure, Result, Success

from linnetladder.coordination.claims.settling import CreateOutcome, create_if_absent
from linnetladder.coordination.platform import (
    Condition,
    FaultKind,
    KeyValueService,
    PlatformFault,
    Put,
)
from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.state import Clock
from linnetladder.state.ledger import bill_id

__all__ = [
    "Claim",
    "ClaimState",
    "ClaimStrategy",
    "ClaimRequest",
    "CompareAndSwapClaims",
    "claim_key",
    "refuse_claimed",
]

CLAIM_PREFIX = "linnetladder/claims/"
CLAIM_RETENTION_SECONDS = 86_400.0
LEASE_RENEWAL_SECONDS = 3_600.0


class ClaimState(enum.StrEnum):
    """The progress of a claimed request as recorded in its claim."""

    STARTED = "started"
    ANSWERED = "answered"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """An existing claim; ``token`` is unique to the submission that created it."""

    key: str
    token: str
    fingerprint: str
    state: ClaimState
    lease_id: int = 0

    def encode(self) -> bytes:
        """Return the claim's value at the platform."""
        return orjson.dumps([self.token, self.fingerprint, self.state])

    @classmethod
    def decode(cls, key: str, value: bytes) -> "Claim":
        """Decode a claim; raise `ValueError` if it is malformed."""
        token, fingerprint, state = orjson.loads(value)
        return cls(
            key=key, token=token, fingerprint=fingerprint, state=ClaimState(state)
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """A submission's request for a claim.

    ``seconds`` limits the time to determine the outcome if the platform's reply is
    lost. ``ticket`` is empty unless the caller sent one.
    """

    account: str
    request_key: str
    token: str
    fingerprint: str
    seconds: float
    ticket: str = ""


def claim_key(*, account: str, request_key: str) -> str:
    """Return the key of a request's claim at the platform."""
    return CLAIM_PREFIX + bill_id(account=account, request_key=request_key)


class ClaimStrategy(abc.ABC):
    """Decide whether a submission may run a non-idempotent request."""

    @abc.abstractmethod
    async def claim(self, claim_request: ClaimRequest) -> Result[Claim, Refusal]:
        """Claim the request, or return a refusal with the correct ``ran`` value."""

    @abc.abstractmethod
    async def ran(self, claim_request: ClaimRequest) -> Ran:
        """Return whether any submission of the request has run, if known."""

    @abc.abstractmethod
    def mark_answered(self, claim: Claim) -> tuple[Put, ...]:
        """Mark a claim as answered.

        Returns the puts that must be written in the same transaction as the bill.
        """

    @abc.abstractmethod
    async def release(self, claim: Claim) -> None:
        """Release a claim whose request is known not to have run."""


class CompareAndSwapClaims(ClaimStrategy):
    """Store claims at the platform as keys that are created only if absent."""

    def __init__(self, *, store: KeyValueService, clock: Clock):
        self.store = store
        self.clock = clock
        self.lease_id = 0
        self.lease_granted_at = 0.0

    async def claim(self, claim_request: ClaimRequest) -> Result[Claim, Refusal]:
        """Create the claim; a lost reply is resolved by reading the key back."""
        lease = await self._obtain_lease()
        if isinstance(lease, Failure):
            return Failure(_claim_unavailable(lease.failure()))
        claim = Claim(
            key=claim_key(
                account=claim_request.account, request_key=claim_request.request_key
            ),
            token=claim_request.token,
            fingerprint=claim_request.fingerprint,
            state=ClaimState.STARTED,
            lease_id=lease.unwrap(),
        )
        put = Put(claim.key, claim.encode(), claim.lease_id)
        created = await create_if_absent(
            self.store, put, settle_seconds=claim_request.seconds
        )
        if isinstance(created, Failure):
            return Failure(_claim_unavailable(created.failure()))
        outcome, value = created.unwrap()
        if outcome is CreateOutcome.CREATED:
            return Success(claim)
        existing = Claim.decode(claim.key, value)
        return Failure(refuse_claimed(existing, claim_request.fingerprint))

    async def ran(self, claim_request: ClaimRequest) -> Ran:
        """Return ``NO`` only if the platform reports that no claim exists."""
        key = claim_key(
            account=claim_request.account, request_key=claim_request.request_key
        )
        found = await self.store.get(key)
        if isinstance(found, Failure):
            return Ran.UNKNOWN
        record = found.unwrap()
        if record is None:
            return Ran.NO
        if Claim.decode(key, record.value).state is ClaimState.ANSWERED:
            return Ran.YES
        return Ran.UNKNOWN

    def mark_answered(self, claim: Claim) -> tuple[Put, ...]:
        """Return the put that marks the claim as answered."""
        answered_claim = dataclasses.replace(claim, state=ClaimState.ANSWERED)
        return (Put(claim.key, answered_claim.encode(), claim.lease_id),)

    async def release(self, claim: Claim) -> None:
        """Delete the claim if it still belongs to this submission."""
        found = await self.store.get(claim.key)
        if isinstance(found, Failure) or found.unwrap() is None:
            return
        record = found.unwrap()
        if record.value == claim.encode():
            await self.store.transact(
                conditions=(Condition(claim.key, record.modify_revision),),
                deletes=(claim.key,),
            )

    async def _obtain_lease(self) -> Result[int, PlatformFault]:
        """Return a lease that lasts at least the retention time of claims.

        Claims made within `LEASE_RENEWAL_SECONDS` share a lease. It is never renewed,
        so their keys are deleted when it expires.
        """
        now = self.clock.monotonic()
        if self.lease_id and now - self.lease_granted_at < LEASE_RENEWAL_SECONDS:
            return Success(self.lease_id)
        seconds = CLAIM_RETENTION_SECONDS + LEASE_RENEWAL_SECONDS
        granted = await self.store.grant_lease(seconds=seconds)
        if isinstance(granted, Success):
            self.lease_id = granted.unwrap()
            self.lease_granted_at = now
        return granted


def refuse_claimed(claim: Claim, fingerprint: str) -> Refusal:
    """Return the refusal for a submission whose request is already claimed."""
    if claim.fingerprint != fingerprint:
        detail = "the idempotency key was used for a request with another body"
        return Refusal(ErrorKind.IDEMPOTENCY_KEY_REUSED, detail, Ran.UNKNOWN)
    if claim.state is ClaimState.ANSWERED:
        detail = "a request under this idempotency key was answered and billed"
        return Refusal(ErrorKind.ALREADY_ANSWERED, detail, Ran.YES)
    detail = "a request under this idempotency key was started and not seen to end"
    return Refusal(ErrorKind.ALREADY_CLAIMED, detail, Ran.UNKNOWN)


def _claim_unavailable(fault: PlatformFault) -> Refusal:
    detail = f"the request could not be claimed: {fault.detail}"
    ran = Ran.UNKNOWN
    retry_after = 1.0 if fault.kind is not FaultKind.REJECTED else None
    return Refusal(
        ErrorKind.PLATFORM_UNAVAILABLE, detail, ran, retry_after_seconds=retry_after
    )
