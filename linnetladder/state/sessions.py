"""Session tokens, which pin a session to one version and are kept by the caller.

The pin is stored only in the signed token, so a session costs no write and survives
the replacement of any daemon. A token names its client account, so that another
account can't use it.
"""

import dataclasses

import orjson

from linnetladder.state.signing import KeyRing
from linnetladder.state.versions import VersionRef

__all__ = ["Session", "issue_session_token", "verify_session_token"]

SESSION_SALT = b"session"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """A session's pin; ``expires_seconds`` is Unix time."""

    session_id: str
    account: str
    pin: VersionRef
    revision: int
    expires_seconds: float


def issue_session_token(session: Session, *, keys: KeyRing) -> str:
    """Return the signed token of a session."""
    payload = orjson.dumps(
        [
            session.session_id,
            session.account,
            str(session.pin),
            session.revision,
            session.expires_seconds,
        ]
    )
    return keys.sign(payload, salt=SESSION_SALT)


def verify_session_token(token: str, *, keys: KeyRing) -> Session | None:
    """Return a token's session, or ``None`` if the signature is not valid."""
    payload = keys.verify(token, salt=SESSION_SALT)
    if payload is None:
        return None
    session_id, account, pin, revision, expires_seconds = orjson.loads(payload)
    return Session(
        session_id=session_id,
        account=account,
        pin=VersionRef.parse(pin),
        revision=revision,
        expires_seconds=expires_seconds,
    )
