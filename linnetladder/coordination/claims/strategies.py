"""The right to run a non-idempotent request, which one daemon gets once.

Two strategies stand behind `ClaimStrategy`. A caller that brings a key of its own gets
a claim at the platform; a caller that fetched a ticket beforehand gets its right from
the one daemon that issued it, without the platform (see `tickets`).

A caller that names its request may send it again to another daemon. Before the first
byte of such a request leaves, the daemon creates a claim under the request's bill id
in the platform's key-value service; who doesn't create it doesn't run it. A request
without a key of the caller's is known to one daemon only and needs no claim.
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
    "refuse_standing",
]

CLAIM_PREFIX = "linnetladder/claims/"
CLAIM_RETENTION_SECONDS = 86_400.0
LEASE_RENEWAL_SECONDS = 3_600.0


class ClaimState(enum.StrEnum):
    """How far a claimed request has got, as its claim tells."""

    STARTED = "started"
    ANSWERED = "answered"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A claim that stands; ``token`` is unique to the submission that made it."""

    key: str
    token: str
    fingerprint: str
    state: ClaimState
    lease_id: int = 0

    def encode(self) -> bytes:
        """Return the value under which the claim stands."""
        return orjson.dumps([self.token, self.fingerprint, self.state])

    @classmethod
    def decode(cls, key: str, value: bytes) -> "Claim":
        """Read a claim; raise `ValueError` if it is malformed."""
        token, fingerprint, state = orjson.loads(value)
        return cls(
            key=key, token=token, fingerprint=fingerprint, state=ClaimState(state)
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest:
    """A submission's wish to run; ``seconds`` bounds the time to settle it.

    ``ticket`` is empty unless the caller sent one.
    """

    account: str
    request_key: str
    token: str
    fingerprint: str
    seconds: float
    ticket: str = ""


def claim_key(*, account: str, request_key: str) -> str:
    """Return the key under which a request is claimed."""
    return CLAIM_PREFIX + bill_id(account=account, request_key=request_key)


class ClaimStrategy(abc.ABC):
    """Decide whether a submission may run a non-idempotent request."""

    @abc.abstractmethod
    async def claim(self, claim_request: ClaimRequest) -> Result[Claim, Refusal]:
        """Take the right to run, or return a refusal whose ``ran`` is true."""

    @abc.abstractmethod
    async def ran(self, claim_request: ClaimRequest) -> Ran:
        """Return whether any submission of the request is known to have run."""

    @abc.abstractmethod
    def mark_answered(self, claim: Claim) -> tuple[Put, ...]:
        """Mark a claim as answered and return the writes that must go with the bill."""

    @abc.abstractmethod
    async def release(self, claim: Claim) -> None:
        """Give a claim back after the request is known not to have run."""


class CompareAndSwapClaims(ClaimStrategy):
    """Claims as keys that are created only if absent."""

    def __init__(self, *, store: KeyValueService, clock: Clock):
        self.store = store
        self.clock = clock
        self.lease_id = 0
        self.lease_granted_at = 0.0

    async def claim(self, claim_request: ClaimRequest) -> Result[Claim, Refusal]:
        """Create the claim, settling a lost reply by reading back."""
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
        """Return ``NO`` only if the platform shows that no claim stands."""
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
        """Return the write that marks the claim as answered."""
        answered_claim = dataclasses.replace(claim, state=ClaimState.ANSWERED)
        return (Put(claim.key, answered_claim.encode(), claim.lease_id),)

    async def release(self, claim: Claim) -> None:
        """Delete the claim if it is still this submission's."""
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
        """Return a lease that outlives the retention of claims.

        Claims of one hour share a lease, which nobody renews.
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
    """Return the refusal of a submission whose request is claimed already."""
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
