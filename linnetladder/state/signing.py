"""Signing keys, and the signed texts given to callers: session tokens and receipts.

A `KeyRing` holds at least the current key and the previous one. A signed text names its
key, so a key rotation ends no session: the text verifies as long as its key is in the
ring. Each use has its own salt, so that a receipt can't pass as a session token.
"""

import dataclasses
import hashlib
import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode

import orjson

__all__ = ["KeyRing", "SigningKey", "signing_key_from_json", "signing_key_to_json"]

SIGNATURE_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class SigningKey:
    """A named secret; ``created_seconds`` is Unix time."""

    key_id: str
    secret: str
    created_seconds: float


def signing_key_to_json(key: SigningKey) -> bytes:
    """Encode a key as it is stored in the key-value service."""
    return orjson.dumps(key)


def signing_key_from_json(content: bytes) -> SigningKey:
    """Decode a stored key; raise `ValueError` or `TypeError` if it is malformed."""
    return SigningKey(**orjson.loads(content))


class KeyRing:
    """Sign with the newest key, and verify with any key in the ring."""

    def __init__(self, *, keys: tuple[SigningKey, ...] = ()):
        self.keys: dict[str, SigningKey] = {}
        self.current: SigningKey | None = None
        for key in keys:
            self.add(key)

    def add(self, key: SigningKey) -> None:
        """Add a key; the newest key in the ring signs."""
        self.keys[key.key_id] = key
        newest = max(self.keys.values(), key=lambda k: (k.created_seconds, k.key_id))
        self.current = newest

    def retain(self, key_ids: frozenset[str]) -> None:
        """Remove every key that is not named."""
        kept = tuple(key for key in self.keys.values() if key.key_id in key_ids)
        self.keys = {}
        self.current = None
        for key in kept:
            self.add(key)

    def sign(self, payload: bytes, *, salt: bytes) -> str:
        """Return ``key_id.payload.signature``, which is valid in a header."""
        key = self.current
        body = f"{key.key_id}.{_to_base64(payload)}"
        return f"{body}.{_to_base64(_signature(key, body, salt))}"

    def verify(self, text: str, *, salt: bytes) -> bytes | None:
        """Return the payload if the signature is valid, else ``None``."""
        if not text.isascii():
            return None
        body, _, signature = text.rpartition(".")
        key_id, _, encoded = body.partition(".")
        key = self.keys.get(key_id)
        if key is None:
            return None
        expected = _to_base64(_signature(key, body, salt))
        if not hmac.compare_digest(signature, expected):
            return None
        return _from_base64(encoded)


def _signature(key: SigningKey, body: str, salt: bytes) -> bytes:
    secret = key.secret.encode()
    digest = hmac.digest(secret, salt + b"." + body.encode(), hashlib.sha256)
    return digest[:SIGNATURE_BYTES]


def _to_base64(content: bytes) -> str:
    return urlsafe_b64encode(content).rstrip(b"=").decode("ascii")


def _from_base64(text: str) -> bytes:
    return urlsafe_b64decode(text + "=" * (-len(text) % 4))
