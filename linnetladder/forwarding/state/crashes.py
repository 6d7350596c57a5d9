"""Parts of prompts that crash endpoints, as kept in the platform's store."""

import dataclasses

__all__ = ["CrashingPart"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashingPart:
    """A part of prompts on which endpoints crash.

    ``crashed_unix`` is the Unix time of the last crash in seconds, and ``revision`` the
    store's revision of the record, 0 for one that was not read from it.
    """

    part: str
    crashed_unix: float
    revision: int = 0
