"""Calls that a daemon sends to an endpoint through a peer.

The peer receives the call as its endpoint would, with headers that name the endpoint
and sign the call, and sends it to the address that it knows itself. It returns the
endpoint's answer, or the fault that the call ended with.
"""

import dataclasses
import hashlib
import hmac
from collections.abc import Callable, Mapping

__all__ = [
    "RELAY_HEADERS",
    "RelayFault",
    "RelayedCall",
    "build_relay_headers",
    "is_signed",
]

ENDPOINT = "Relay-Endpoint"
ATTEMPT = "Relay-Attempt"
SIGNATURE = "Relay-Signature"
FAULT = "Relay-Fault"
RAN = "Relay-Ran"
PROBE = "Relay-Probe"
# Headers between daemons, in lower case; none of them is passed on.
RELAY_HEADERS = frozenset(
    name.lower() for name in (ENDPOINT, ATTEMPT, SIGNATURE, FAULT, RAN, PROBE)
)
SIGNATURE_BYTES = 16


def _do_nothing() -> None:
    """Do nothing; an unreachable endpoint is the sending daemon's concern."""


def _never() -> bool:
    """Return false: only the sending daemon may give an attempt up."""
    return False


@dataclasses.dataclass(slots=True, kw_only=True)
class RelayedCall:
    """A call to an endpoint on behalf of a peer, which watches it and may retry it.

    ``instance`` names the endpoint, whose ``address`` is filled in by the daemon that
    passes the call on. ``probe_only`` asks whether it accepts connections. The other
    attributes are those of an `EndpointCall` for which nothing is decided here.
    """

    method: str
    target: str
    instance: str
    attempt_id: str
    headers: list[tuple[str, str]]
    address: str = ""
    body: bytes = b""
    probe_only: bool = False
    relay: str = ""
    fresh_connection: bool = True
    probe_after_seconds: float | None = None
    silence_seconds: float | None = None
    on_unreachable: Callable[[], None] = _do_nothing
    reserve_retry: Callable[[], bool] = _never
    may_send: Callable[[], bool] = _never
    connected: bool = False

    @classmethod
    def from_headers(
        cls, method: str, target: str, headers: Mapping[str, str], *, omit: frozenset
    ) -> "RelayedCall":
        """Decode a call; headers in ``omit``, in lower case, are not passed on."""
        omit |= RELAY_HEADERS
        return cls(
            method=method,
            target=target,
            instance=headers.get(ENDPOINT, ""),
            attempt_id=headers.get(ATTEMPT, ""),
            headers=[
                (name, value)
                for name, value in headers.items()
                if name.lower() not in omit
            ],
            probe_only=PROBE in headers,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayFault:
    """How a relayed call failed: its kind, and whether it may have run.

    ``cut_off`` is set if the relaying daemon reaches no endpoint of the service.
    """

    kind: str
    may_have_run: bool
    cut_off: bool = False

    def headers(self) -> dict[str, str]:
        """Return the headers that report the fault."""
        kind = "cut_off" if self.cut_off else self.kind
        return {FAULT: kind, RAN: str(int(self.may_have_run))}

    @classmethod
    def from_headers(cls, headers: Mapping[str, str]) -> "RelayFault | None":
        """Return the reported fault, ``None`` if the headers report none."""
        kind = headers.get(FAULT)
        if kind is None:
            return None
        cut_off = kind == "cut_off"
        return cls(
            kind="connect" if cut_off else kind,
            may_have_run=headers.get(RAN) != "0",
            cut_off=cut_off,
        )


def build_relay_headers(
    *,
    secret: bytes,
    instance: str,
    attempt_id: str = "",
    probe_only: bool = False,
) -> list[tuple[str, str]]:
    """Return the headers that ask a peer to pass a call on to an endpoint."""
    headers = [
        (ENDPOINT, instance),
        (ATTEMPT, attempt_id),
        (SIGNATURE, _sign(secret, instance, attempt_id)),
    ]
    return [*headers, (PROBE, "1")] if probe_only else headers


def is_signed(headers: Mapping[str, str], *, secret: bytes) -> bool:
    """Return whether a call's headers are signed with a secret."""
    named = (headers.get(name, "") for name in (ENDPOINT, ATTEMPT))
    expected = _sign(secret, *named)
    return hmac.compare_digest(expected, headers.get(SIGNATURE, ""))


def _sign(secret: bytes, *values: str) -> str:
    content = "\0".join(values).encode()
    return hashlib.blake2s(content, key=secret, digest_size=SIGNATURE_BYTES).hexdigest()
