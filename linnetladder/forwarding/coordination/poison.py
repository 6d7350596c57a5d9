"""Detection of what crashes endpoints: whole requests, and parts of their prompts.

A request that is in flight at an endpoint when that crashes is a suspect as a whole, by
the fingerprint of its content, and by each part of its prompt that other requests may
share. Most suspects are innocent. An answer clears them, and a crash that a part is
known to cause counts against nothing else.
"""

import collections
import math
from collections.abc import Callable, Iterable, Sequence

import xxhash

from linnetladder.errors import ErrorKind, Refusal
from linnetladder.forwarding.protocol.daemon_messages import PartFinding
from linnetladder.forwarding.state import ForwardRequest, Prompt
from linnetladder.state import Clock
from linnetladder.telemetry import log_change

__all__ = ["CrashLog", "is_part", "part_suspects"]

# Two crashes may be a coincidence; the request is not sent a third time.
CRASHES_BEFORE_REFUSAL = 2
# Innocent parts are in flight at crashing endpoints more often than innocent requests.
CRASHES_BEFORE_PART_REFUSAL = 3
# A part that the crashes of another suspect contain as often as this share of its own
# is the more likely cause if it is the more specific of the two.
SPECIFIC_SHARE = 0.5
CRASH_EXPIRY_SECONDS = 30.0
# Requests with a part may come seldom.
PART_CRASH_EXPIRY_SECONDS = 300.0
# A part that crashes endpoints is refused for this long after the last crash.
PART_EXPIRY_SECONDS = 600.0
# An answer speaks for its suspects in crashes until this long after it, since an
# innocent suspect may be in flight at several endpoints that crash one after the other.
ANSWER_VALIDITY_SECONDS = 6.0
# Findings on sound suspects are told to peers for this long.
CLEARANCE_NEWS_SECONDS = 4.0
# Ages are rounded on the way between daemons: a smaller difference is the same event.
SAME_EVENT_SECONDS = 0.15
MAXIMUM_SUSPECTS = 2_000
MAXIMUM_ANSWERED = 4_096
# The evidence against a whole request may be explained by a part at any time.
RETRY_AFTER_SECONDS = 5.0
EXPIRY_CHECK_SECONDS = 0.1
PART_PREFIX = "p"


class CrashLog:
    """Crashes of endpoints by suspect, answers that clear suspects, and the findings.

    ``crash_times`` maps a suspect to the endpoints that crashed while it was in flight
    there. ``crashing_parts`` maps a part to the time of its last known crash, and
    ``answered_at`` a suspect to the last answer to a request with it. ``observed``
    holds the suspects of crashes that this daemon saw itself.
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.crash_times: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self.answered_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.crashing_parts: dict[str, float] = {}
        self.cleared_since: dict[str, float] = {}
        self.observed: set[str] = set()
        self.changed = False
        self.expired_at = -math.inf
        self.on_crash: Callable[[], None] = _do_nothing

    def record_crash(
        self, request: ForwardRequest, endpoint: str, *, with_parts: bool
    ) -> None:
        """Record a crash that this daemon saw, with a request in flight.

        ``endpoint`` identifies one start of an endpoint, as ``name:incarnation``.
        Without ``with_parts`` only the request as a whole is a suspect.
        """
        suspects = request.suspects if with_parts else (request.fingerprint,)
        self.observed.update(suspects)
        for suspect in suspects:
            self.learn(suspect, endpoint)
        log_change(
            "request crashed an endpoint",
            request=request.head.attempt_id,
            suspects=suspects,
            endpoint=endpoint,
            crashes=[self.crashes(suspect) for suspect in suspects],
        )

    def learn(self, suspect: str, endpoint: str, *, age: float = 0.0) -> bool:
        """Record a crash and return whether it was new.

        ``age`` is the time since the crash in seconds; an expired one is ignored, and
        one that an answer refutes.
        """
        if age >= CRASH_EXPIRY_SECONDS:
            return False
        crashed = self.clock.monotonic() - age
        if self._is_refuted(suspect, crashed):
            self._tell_cleared(suspect)
            return False
        crash_times = self.crash_times.setdefault(suspect, {})
        if endpoint in crash_times:
            return False
        crash_times[endpoint] = crashed
        if suspect in self.crashing_parts:
            self.crashing_parts[suspect] = max(self.crashing_parts[suspect], crashed)
        self.changed = True
        self.on_crash()
        if len(self.crash_times) > MAXIMUM_SUSPECTS:
            self.crash_times.popitem(last=False)
        return True

    def learn_answer(self, suspects: Iterable[str]) -> None:
        """Record that a request with these suspects was answered."""
        now = self.clock.monotonic()
        for suspect in suspects:
            self._record_answer(suspect, now)

    def learn_finding(self, finding: PartFinding) -> None:
        """Apply a finding of another daemon or of the store."""
        time = self.clock.monotonic() - finding.age
        if finding.sound:
            known = self.answered_at.get(finding.part, -math.inf)
            if time > known + SAME_EVENT_SECONDS:
                self._record_answer(finding.part, time)
            return
        if finding.age >= PART_EXPIRY_SECONDS:
            return
        if self._is_refuted(finding.part, time):
            self._tell_cleared(finding.part)
            return
        known = self.crashing_parts.get(finding.part)
        if known is None:
            self._condemn(finding.part, time)
        elif time > known + SAME_EVENT_SECONDS:
            self.crashing_parts[finding.part] = time

    def export(self) -> list[tuple[str, str, float]]:
        """Return suspect, endpoint and age of each crash that peers may not know.

        The age in seconds is rounded up, so that relayed crashes do not get younger.
        """
        self._update()
        now = self.clock.monotonic()
        return [
            (suspect, endpoint, math.ceil((now - crashed) * 10) / 10)
            for suspect, crash_times in self.crash_times.items()
            for endpoint, crashed in crash_times.items()
            if now - crashed < CRASH_EXPIRY_SECONDS
        ]

    def export_findings(self) -> list[PartFinding]:
        """Return the parts that crash endpoints, then suspects that were cleared."""
        self._update()
        now = self.clock.monotonic()
        findings = [
            PartFinding(part, False, max(now - crashed, 0.0))
            for part, crashed in self.crashing_parts.items()
        ]
        findings += [
            PartFinding(suspect, True, max(now - self.answered_at[suspect], 0.0))
            for suspect in self.cleared_since
            if suspect in self.answered_at
        ]
        return findings

    def crashes(self, suspect: str) -> int:
        """Return the number of endpoints that crashed with a suspect in flight."""
        return len(self.crash_times.get(suspect, ()))

    def refuse(self, suspects: Sequence[str]) -> Refusal | None:
        """Return a refusal if a request with these suspects would crash endpoints."""
        if not self.crash_times and not self.crashing_parts:
            return None
        self._update()
        now = self.clock.monotonic()
        for suspect in suspects:
            crashed = self.crashing_parts.get(suspect)
            if crashed is not None:
                return Refusal(
                    ErrorKind.SUSPECTED_POISON,
                    f"a part of the prompt ({suspect}) crashes endpoints",
                    retry_after_seconds=crashed + PART_EXPIRY_SECONDS - now,
                )
        for suspect in suspects:
            if is_part(suspect):
                continue
            times = self._unexplained(suspect)
            if len(times) >= CRASHES_BEFORE_REFUSAL:
                return Refusal(
                    ErrorKind.SUSPECTED_POISON,
                    f"the same request crashed {len(times)} endpoints",
                    retry_after_seconds=RETRY_AFTER_SECONDS,
                )
        return None

    def unrecorded_parts(self, recorded: Iterable[str]) -> list[str]:
        """Return crashing parts that this daemon saw and the store does not list."""
        self._update()
        missing = self.crashing_parts.keys() - set(recorded)
        return sorted(missing & self.observed)

    def refutes(self, finding: PartFinding) -> bool:
        """Return whether an answer shows that a part does not crash endpoints."""
        crashed = self.clock.monotonic() - finding.age
        return self._is_refuted(finding.part, crashed)

    def _is_refuted(self, suspect: str, crashed: float) -> bool:
        answered = self.answered_at.get(suspect)
        return answered is not None and crashed <= answered + ANSWER_VALIDITY_SECONDS

    def _record_answer(self, suspect: str, answered: float) -> None:
        answered = max(answered, self.answered_at.get(suspect, -math.inf))
        self.answered_at[suspect] = answered
        self.answered_at.move_to_end(suspect)
        if len(self.answered_at) > MAXIMUM_ANSWERED:
            self.answered_at.popitem(last=False)
        crash_times = self.crash_times.get(suspect)
        if crash_times is not None:
            for endpoint, crashed in list(crash_times.items()):
                if self._is_refuted(suspect, crashed):
                    del crash_times[endpoint]
            if not crash_times:
                del self.crash_times[suspect]
            self._tell_cleared(suspect)
        crashed = self.crashing_parts.get(suspect)
        if crashed is not None and self._is_refuted(suspect, crashed):
            del self.crashing_parts[suspect]
            self._tell_cleared(suspect)
            log_change("prompt part is sound", part=suspect)

    def _tell_cleared(self, suspect: str) -> None:
        """Tell peers, once in a while, that an answer speaks for a part."""
        if is_part(suspect) and suspect not in self.cleared_since:
            self.cleared_since[suspect] = self.clock.monotonic()
            self.on_crash()

    def _condemn(self, part: str, crashed: float) -> None:
        self.crashing_parts[part] = crashed
        log_change(
            "prompt part crashes endpoints", part=part, endpoints=self.crashes(part)
        )
        self.on_crash()

    def _update(self) -> None:
        """Drop what has expired and draw conclusions from what is new."""
        self._expire()
        if self.changed:
            self.changed = False
            while (part := self._most_suspect_part()) is not None:
                self._condemn(part, max(self._unexplained(part)))

    def _most_suspect_part(self) -> str | None:
        """Return the part that explains most crashes that nothing else explains.

        Of parts that explain nearly as many, the last one in the prompts is returned:
        those before it are in other requests, too.
        """
        crashed_endpoints = {
            part: self._unexplained_endpoints(part)
            for part, crash_times in self.crash_times.items()
            if len(crash_times) >= CRASHES_BEFORE_PART_REFUSAL
            and is_part(part)
            and part not in self.crashing_parts
        }
        likely = {
            part: len(endpoints)
            for part, endpoints in crashed_endpoints.items()
            if len(endpoints) >= CRASHES_BEFORE_PART_REFUSAL
            and not self._is_one_request(endpoints)
        }
        if not likely:
            return None
        least = max(likely.values()) * SPECIFIC_SHARE
        return max(
            (part for part, crashes in likely.items() if crashes >= least),
            key=lambda part: (_position(part), likely[part]),
        )

    def _is_one_request(self, endpoints: set[str]) -> bool:
        """Return whether one request, as a whole, was at all of these endpoints."""
        return any(
            not is_part(suspect) and endpoints <= crash_times.keys()
            for suspect, crash_times in self.crash_times.items()
        )

    def _unexplained(self, suspect: str) -> list[float]:
        """Return the times of a suspect's crashes that no crashing part explains."""
        times = self.crash_times.get(suspect, {})
        return [times[endpoint] for endpoint in self._unexplained_endpoints(suspect)]

    def _unexplained_endpoints(self, suspect: str) -> set[str]:
        endpoints = set(self.crash_times.get(suspect, ()))
        for part in self.crashing_parts:
            endpoints -= self.crash_times.get(part, {}).keys()
        return endpoints

    def _expire(self) -> None:
        now = self.clock.monotonic()
        if now - self.expired_at < EXPIRY_CHECK_SECONDS:
            return
        self.expired_at = now
        for suspect, crash_times in list(self.crash_times.items()):
            expiry = (
                PART_CRASH_EXPIRY_SECONDS if is_part(suspect) else CRASH_EXPIRY_SECONDS
            )
            for endpoint, crashed in list(crash_times.items()):
                if crashed <= now - expiry:
                    del crash_times[endpoint]
            if not crash_times:
                del self.crash_times[suspect]
        for part, crashed in list(self.crashing_parts.items()):
            if crashed <= now - PART_EXPIRY_SECONDS:
                del self.crashing_parts[part]
        for suspect, since in list(self.cleared_since.items()):
            if since <= now - CLEARANCE_NEWS_SECONDS:
                del self.cleared_since[suspect]
        self.observed &= self.crash_times.keys()


def part_suspects(prompt: Prompt | None) -> tuple[str, ...]:
    """Return the names of a prompt's shared parts as suspects, in their order.

    A part is named by its position and a hash of its id, which callers choose.

    Examples
    --------
    >>> from linnetladder.forwarding.state import PromptPart
    >>> parts = (PromptPart("5c1e", 800), PromptPart("e440", 250))
    >>> part_suspects(Prompt(input_tokens=1050, output_tokens=9, parts=parts))
    ('p0-a05022eb6353db22',)
    """
    if prompt is None:
        return ()
    return tuple(
        f"{PART_PREFIX}{position}-{xxhash.xxh3_64_hexdigest(part.part_id.encode())}"
        for position, part in enumerate(prompt.shared_parts)
    )


def is_part(suspect: str) -> bool:
    """Return whether a suspect is a part of prompts, not a whole request."""
    return _position(suspect) is not None


def _position(suspect: str) -> int | None:
    """Return a part's position in prompts, ``None`` for a request as a whole."""
    position, separator, _ = suspect.removeprefix(PART_PREFIX).partition("-")
    return int(position) if separator and position.isdecimal() else None


def _do_nothing() -> None:
    """Do nothing; the default action after a crash."""
