"""What crashes endpoints, as kept in the platform's store, and trials of it."""

import dataclasses

__all__ = ["CrashingPart", "Trial"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashingPart:
    """A part of prompts, or the fingerprint of a request, on which endpoints crash.

    ``crashed_unix`` is the Unix time of the last crash in seconds, and ``revision`` the
    store's revision of the record, 0 for one that was not read from it.
    """

    part: str
    crashed_unix: float
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trial:
    """The right to send a request with a suspect of crashes until a time.

    ``until`` is in seconds of the daemon's monotonic clock, ``arbiter`` the instance
    that granted the right, and ``times_sent`` how often the request had been sent
    before.
    """

    suspect: str
    nonce: int
    until: float
    arbiter: str
    times_sent: int = 0
