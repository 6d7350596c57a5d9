"""Detection of what crashes endpoints: whole requests, and parts of their prompts.

A request that is in flight at an endpoint when that crashes is a suspect as a whole, by
the fingerprint of its content, and by each part of its prompt that other requests may
share. Most suspects are innocent. All crashes count against all of them, whatever else
may explain a crash: only an answer to a request that was sent after a crash shows that
a suspect did not cause it. A suspect of too many crashes is sent on trial at most: one
request in the fleet at a time, and the longer it has to wait for it, the more likely it
is the cause.
"""

import collections
import dataclasses
import itertools
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
# From this many crashes on nothing may be sent that was never answered.
CRASHES_OF_CAUSE = 3
# Crashes and findings count for a day.
CRASH_EXPIRY_SECONDS = 86_400.0
# Crashes are told to peers for this long, findings as long as they hold.
CRASH_NEWS_SECONDS = 30.0
# While a suspect was answered this lately, requests with it that were sent after the
# crashes are likely to be answered soon, and clear it.
FRESH_ANSWER_SECONDS = 1.0
# The longest time for which such a suspect is still sent freely. It is shorter than the
# time that daemons have to stop a cause.
CLEARANCE_SECONDS = 2.0
# Seconds from the last crash until a suspect that was answered before may be tried, by
# the number of trials that crashed an endpoint. Three failed ones are all for a day.
TRIAL_PAUSES_SECONDS = (1.0, 5.0, 60.0, CRASH_EXPIRY_SECONDS)
# A crash so long after the one before was that of a trial: those before trials come in
# quick succession.
TRIAL_GAP_SECONDS = 0.9
# Endpoints that end within this time of each other, and how many of them do so for a
# reason that lies in no request, as long as requests are on trial one at a time.
OUTAGE_SECONDS = 0.3
OUTAGE_ENDPOINTS = 3
MAXIMUM_ENDED = 1_024
# The same for a part that was never answered.
PART_EXPIRY_SECONDS = 600.0
NEW_PART_PAUSES_SECONDS = (*(PART_EXPIRY_SECONDS,) * 3, CRASH_EXPIRY_SECONDS)
# A request that was never answered, and crashed two endpoints, is tried after this.
REQUEST_EXPIRY_SECONDS = 30.0
# A request with several suspects is tried if they were not tried apart for this long.
JOINT_TRIAL_SECONDS = 5.0
# Daemons need this long to hear of all that was in flight at a crashed endpoint. After
# it a suspect is told as a finding and recorded.
SETTLING_SECONDS = 1.0
# An endpoint that crashes so soon after a request was given up may crash on that.
GIVEN_UP_SECONDS = 0.5
MAXIMUM_GIVEN_UP = 1_024
# Findings on sound suspects are told to peers for this long.
CLEARANCE_NEWS_SECONDS = 4.0
# Ages are rounded on the way between daemons: a smaller difference is the same event.
SAME_EVENT_SECONDS = 0.15
MAXIMUM_SUSPECTS = 4_000
MAXIMUM_ANSWERED = 4_096
EXPIRY_CHECK_SECONDS = 10.0
PART_PREFIX = "p"


@dataclasses.dataclass(frozen=True, slots=True)
class GivenUp:
    """A request that was given up at an endpoint while it may have been running."""

    ended_at: float
    endpoint: str
    suspects: tuple[str, ...]


class CrashLog:
    """Crashes of endpoints by suspect, answers that clear suspects, and the findings.

    ``crash_times`` maps a suspect to the endpoints that crashed while it was in flight
    there. ``refused`` holds those that crashed too many, and ``unsettled`` those of
    which it is not known yet whether something explains them. ``findings`` maps a
    suspect that nothing explains to the time of its last known crash, also one of which
    this daemon knows no crash itself. ``sound_at`` maps a suspect to the time at which
    the last request with it was sent that was answered, and ``answered_at`` to that of
    the answer. ``ended_at`` maps an endpoint to the time of its crash, whatever was in
    flight there. ``observed`` holds the suspects of crashes that this daemon saw
    itself.
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.crash_times: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self.refused: set[str] = set()
        self.unsettled: set[str] = set()
        self.findings: dict[str, float] = {}
        self.sound_at: collections.OrderedDict[str, float] = collections.OrderedDict()
        self.answered_at: dict[str, float] = {}
        self.ended_at: collections.OrderedDict[str, float] = collections.OrderedDict()
        self.cleared_since: dict[str, float] = {}
        # Findings of others, by the last crash that they knew of.
        self.learned_at: dict[str, float] = {}
        self.observed: set[str] = set()
        self.given_up: collections.deque[GivenUp] = collections.deque(
            maxlen=MAXIMUM_GIVEN_UP
        )
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

    def note_given_up(self, request: ForwardRequest, endpoint: str) -> None:
        """Record that a request is given up that an endpoint may be running."""
        now = self.clock.monotonic()
        while self.given_up and self.given_up[0].ended_at < now - CRASH_NEWS_SECONDS:
            self.given_up.popleft()
        self.given_up.append(GivenUp(now, endpoint, request.suspects))

    def learn(self, suspect: str, endpoint: str, *, age: float = 0.0) -> bool:
        """Record a crash and return whether it was new.

        ``age`` is the time since the crash in seconds; an expired one is ignored, and
        one that an answer refutes.
        """
        if age >= CRASH_EXPIRY_SECONDS:
            return False
        crashed = self.clock.monotonic() - age
        if not self._learn(suspect, endpoint, crashed):
            return False
        for given_up in self.given_up:
            passed = crashed - given_up.ended_at
            if given_up.endpoint == endpoint and passed <= GIVEN_UP_SECONDS:
                self.observed.update(given_up.suspects)
                for other in given_up.suspects:
                    self._learn(other, endpoint, crashed)
        return True

    def learn_answer(
        self, suspects: Iterable[str], *, sent_at: float | None = None
    ) -> None:
        """Record that a request with these suspects was answered, or runs soundly.

        ``sent_at`` is when it was sent, the present if it is not known.
        """
        now = self.clock.monotonic()
        for suspect in suspects:
            self._record_answer(suspect, now if sent_at is None else sent_at)

    def learn_finding(self, finding: PartFinding) -> None:
        """Apply a finding of another daemon or of the store."""
        time = self.clock.monotonic() - finding.age
        if finding.sound:
            known = self.sound_at.get(finding.part, -math.inf)
            if time > known + SAME_EVENT_SECONDS:
                self._record_answer(finding.part, time)
            return
        if finding.age >= CRASH_EXPIRY_SECONDS:
            return
        if self._is_refuted(finding.part, time):
            self._tell_cleared(finding.part)
            return
        known = self.findings.get(finding.part)
        if known is None:
            if self.crashes(finding.part) and self._is_explained(finding.part):
                return
            if self.crashes(finding.part) < _limit(finding.part):
                self.learned_at[finding.part] = time
            self._condemn(finding.part, time)
        elif time > known + SAME_EVENT_SECONDS:
            self.findings[finding.part] = time

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
            if now - crashed < CRASH_NEWS_SECONDS
        ]

    def export_findings(self) -> list[PartFinding]:
        """Return what crashes endpoints, then suspects that were cleared."""
        self._update()
        now = self.clock.monotonic()
        findings = [
            PartFinding(suspect, False, max(now - crashed, 0.0))
            for suspect, crashed in self.findings.items()
        ]
        findings += [
            PartFinding(suspect, True, max(now - self.sound_at[suspect], 0.0))
            for suspect in self.cleared_since
            if suspect in self.sound_at
        ]
        return findings

    def crashes(self, suspect: str) -> int:
        """Return the number of endpoints that crashed with a suspect in flight."""
        return len(self.crash_times.get(suspect, ()))

    def was_answered(self, suspect: str) -> bool:
        """Return whether a request with a suspect was answered, as is known here."""
        return suspect in self.sound_at

    def is_cause(self, suspect: str) -> bool:
        """Return whether so many endpoints crashed that nothing may go on with it."""
        return suspect in self.findings or self.crashes(suspect) >= CRASHES_OF_CAUSE

    def refuse(self, suspects: Sequence[str]) -> Refusal | None:
        """Return a refusal if a request with these suspects may not be sent now.

        If it may, it may have to be on trial; see `trial_suspect`.
        """
        if self.refused.isdisjoint(suspects):
            return None
        self._update()
        refused = self._refused_of(suspects)
        if not refused:
            return None
        now = self.clock.monotonic()
        unexplained = [s for s in refused if not self._is_explained(s, suspects)]
        trial_at = max(map(self._trial_at, unexplained), default=-math.inf)
        if len(unexplained) > 1:
            last = max(map(self._last_crash, unexplained))
            trial_at = max(trial_at, last + JOINT_TRIAL_SECONDS)
        if trial_at <= now:
            return None
        suspect = max(unexplained, key=self._trial_at)
        crashes = max(self.crashes(suspect), CRASHES_BEFORE_REFUSAL)
        detail = f"the same request crashed {crashes} endpoints"
        if is_part(suspect):
            detail = f"a part of the prompt ({suspect}) crashes endpoints"
        return Refusal(
            ErrorKind.SUSPECTED_POISON, detail, retry_after_seconds=trial_at - now
        )

    def trial_suspect(self, suspects: Sequence[str]) -> str | None:
        """Return the suspect for which a request may be sent on trial only, if any.

        If there are several, this is the one that is most likely the cause.
        """
        if self.refused.isdisjoint(suspects):
            return None
        refused = self._refused_of(suspects)
        return next(
            (s for s in refused if not self._is_explained(s, suspects)),
            refused[-1] if refused else None,
        )

    def unrecorded_findings(self, recorded: Iterable[str]) -> list[str]:
        """Return findings that this daemon saw and the store does not list."""
        self._update()
        missing = self.findings.keys() - set(recorded)
        return sorted(missing & self.observed)

    def refutes(self, finding: PartFinding) -> bool:
        """Return whether a finding is known to be wrong, or has expired."""
        if finding.age >= CRASH_EXPIRY_SECONDS:
            return True
        crashed = self.clock.monotonic() - finding.age
        if self._is_refuted(finding.part, crashed):
            return True
        return bool(self.crashes(finding.part)) and self._is_explained(finding.part)

    def _learn(self, suspect: str, endpoint: str, crashed: float) -> bool:
        if self._is_refuted(suspect, crashed):
            self._tell_cleared(suspect)
            return False
        crash_times = self.crash_times.setdefault(suspect, {})
        if endpoint in crash_times:
            return False
        crash_times[endpoint] = crashed
        self.ended_at.setdefault(endpoint, crashed)
        if len(self.ended_at) > MAXIMUM_ENDED:
            self.ended_at.popitem(last=False)
        if suspect in self.findings:
            self.findings[suspect] = max(self.findings[suspect], crashed)
        if len(crash_times) >= CRASHES_OF_CAUSE:
            self.unsettled.add(suspect)
            self.unsettled.update(self.findings)
        self._update_refused(suspect)
        self.on_crash()
        if len(self.crash_times) > MAXIMUM_SUSPECTS:
            self._forget_one()
        return True

    def _is_refuted(self, suspect: str, crashed: float) -> bool:
        return crashed <= self.sound_at.get(suspect, -math.inf)

    def _record_answer(self, suspect: str, sent_at: float) -> None:
        sent_at = max(sent_at, self.sound_at.get(suspect, -math.inf))
        self.sound_at[suspect] = sent_at
        self.sound_at.move_to_end(suspect)
        self.answered_at[suspect] = self.clock.monotonic()
        if len(self.sound_at) > MAXIMUM_ANSWERED:
            oldest, _ = self.sound_at.popitem(last=False)
            self.answered_at.pop(oldest, None)
        crash_times = self.crash_times.get(suspect)
        if crash_times is not None:
            matters = is_part(suspect) or len(crash_times) >= CRASHES_BEFORE_REFUSAL
            for endpoint, crashed in list(crash_times.items()):
                if crashed <= sent_at:
                    del crash_times[endpoint]
            if not crash_times:
                del self.crash_times[suspect]
            if matters:
                self._tell_cleared(suspect)
        found = self.findings.get(suspect)
        if found is not None and found <= sent_at:
            self._drop_finding(suspect)
            self._tell_cleared(suspect)
            log_change("suspect of crashes is sound", suspect=suspect)
        self._update_refused(suspect)

    def _tell_cleared(self, suspect: str) -> None:
        """Tell peers, once in a while, that an answer speaks for a suspect."""
        if suspect not in self.cleared_since:
            self.cleared_since[suspect] = self.clock.monotonic()
            self.on_crash()

    def _update_refused(self, suspect: str) -> None:
        if suspect in self.findings or self.crashes(suspect) >= _limit(suspect):
            self.refused.add(suspect)
        else:
            self.refused.discard(suspect)

    def _refused_of(self, suspects: Sequence[str]) -> list[str]:
        """Return those of a request's suspects for which it may be on trial only."""
        return [
            suspect
            for suspect in suspects
            if suspect in self.refused and not self._may_be_cleared_soon(suspect)
        ]

    def _may_be_cleared_soon(self, suspect: str) -> bool:
        """Return whether answers on their way are likely to clear a suspect."""
        now = self.clock.monotonic()
        answered = self.answered_at.get(suspect, -math.inf)
        if suspect in self.findings or answered < now - FRESH_ANSWER_SECONDS:
            return False
        times = sorted(self.crash_times[suspect].values())
        return now < times[_limit(suspect) - 1] + CLEARANCE_SECONDS

    def _is_explained(self, suspect: str, own: Sequence[str] = ()) -> bool:
        """Return whether another suspect is more likely the cause of all crashes.

        That is one which was in flight at all the endpoints, and which fewer requests
        have than this one. A request is also explained by a part of others; ``own`` are
        the suspects of the request in question.
        """
        endpoints = self.crash_times.get(suspect)
        if not endpoints:
            return False
        some = next(iter(endpoints))
        whole = not is_part(suspect)
        if whole and len(endpoints) >= CRASHES_OF_CAUSE:
            return False
        for other in self.refused:
            others = self.crash_times.get(other, {})
            if some not in others or other == suspect or (whole and other in own):
                continue
            if not whole and _rank(other) <= _rank(suspect):
                continue
            if endpoints.keys() <= others.keys():
                return True
        return False

    def _last_crash(self, suspect: str) -> float:
        times = self.crash_times.get(suspect, {}).values()
        return max((self.findings.get(suspect, -math.inf), *times))

    def _trial_at(self, suspect: str) -> float:
        """Return the time from which an unexplained suspect may be tried."""
        last = self._last_crash(suspect)
        if self.was_answered(suspect) or is_part(suspect):
            pauses = TRIAL_PAUSES_SECONDS
            if not self.was_answered(suspect):
                pauses = NEW_PART_PAUSES_SECONDS
            failed = min(self._failed_trials(suspect), len(pauses) - 1)
            return last + pauses[failed]
        pause = REQUEST_EXPIRY_SECONDS
        return last + (CRASH_EXPIRY_SECONDS if self.is_cause(suspect) else pause)

    def _failed_trials(self, suspect: str) -> int:
        """Return how many trials of a suspect have crashed an endpoint.

        One of which only a finding is known may have been tried. A crash does not count
        at which a more specific suspect was in flight, too, or with which several other
        endpoints ended.
        """
        crash_times = self.crash_times.get(suspect, {})
        crashes = sorted((time, endpoint) for endpoint, time in crash_times.items())
        learned = self.learned_at.get(suspect)
        if learned is None:
            failed, crashes = 0, crashes[_limit(suspect) - 1 :]
        else:
            later = [c for c in crashes if c[0] > learned + SAME_EVENT_SECONDS]
            failed, crashes = 1, [(learned, ""), *later]
        specific = [s for s in self.refused if _rank(s) > _rank(suspect)]
        return failed + sum(
            crashed - before >= TRIAL_GAP_SECONDS
            and not any(endpoint in self.crash_times.get(s, ()) for s in specific)
            and not self._is_outage(crashed)
            for (before, _), (crashed, endpoint) in itertools.pairwise(crashes)
        )

    def _is_outage(self, crashed: float) -> bool:
        """Return whether several endpoints ended at about the same time."""
        ended = sum(
            abs(time - crashed) <= OUTAGE_SECONDS for time in self.ended_at.values()
        )
        return ended >= OUTAGE_ENDPOINTS

    def _condemn(self, suspect: str, crashed: float) -> None:
        self.findings[suspect] = crashed
        self._update_refused(suspect)
        log_change(
            "suspect crashes endpoints",
            suspect=suspect,
            endpoints=self.crashes(suspect),
        )
        self.on_crash()

    def _drop_finding(self, suspect: str) -> None:
        self.findings.pop(suspect, None)
        self.learned_at.pop(suspect, None)

    def _update(self) -> None:
        """Drop what has expired, and find what has settled."""
        self._expire()
        settled = self.clock.monotonic() - SETTLING_SECONDS
        for suspect in list(self.unsettled):
            if self.crashes(suspect) < CRASHES_OF_CAUSE:
                self.unsettled.discard(suspect)
                continue
            last = self._last_crash(suspect)
            if last > settled or self._may_be_cleared_soon(suspect):
                continue
            self.unsettled.discard(suspect)
            if self._is_explained(suspect):
                self._drop_finding(suspect)
            elif suspect not in self.findings:
                self._condemn(suspect, last)

    def _forget_one(self) -> None:
        """Forget the oldest suspect of one crash, or else the oldest."""
        oldest = next(iter(self.crash_times))
        forgotten = next(
            (s for s, times in self.crash_times.items() if len(times) == 1), oldest
        )
        del self.crash_times[forgotten]
        self._update_refused(forgotten)

    def _expire(self) -> None:
        now = self.clock.monotonic()
        for suspect, since in list(self.cleared_since.items()):
            if since <= now - CLEARANCE_NEWS_SECONDS:
                del self.cleared_since[suspect]
        if now - self.expired_at < EXPIRY_CHECK_SECONDS:
            return
        self.expired_at = now
        expired = now - CRASH_EXPIRY_SECONDS
        for suspect, crash_times in list(self.crash_times.items()):
            for endpoint, crashed in list(crash_times.items()):
                if crashed <= expired:
                    del crash_times[endpoint]
            if not crash_times:
                del self.crash_times[suspect]
            self._update_refused(suspect)
        for suspect, crashed in list(self.findings.items()):
            if crashed <= expired:
                self._drop_finding(suspect)
                self._update_refused(suspect)
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


def _rank(suspect: str) -> float:
    """Return how specific a suspect is; a request as a whole is so most."""
    position = _position(suspect)
    return math.inf if position is None else position


def _limit(suspect: str) -> int:
    """Return from how many crashes on a suspect is refused."""
    return CRASHES_BEFORE_PART_REFUSAL if is_part(suspect) else CRASHES_BEFORE_REFUSAL


def _do_nothing() -> None:
    """Do nothing; the default action after a crash."""
