"""The timeline of one request, built from the log lines of several processes.

A request's own line names its inputs. The timeline adds the lines about changes that
these inputs depend on: the endpoints that the request was sent to, the configuration,
the store and the roll-out of its service. They are taken from the same instance only,
since the state of another instance did not affect the decision.
"""

import dataclasses
import json
import re
from collections.abc import Iterable
from pathlib import Path

__all__ = ["TimelineEntry", "Timeline", "read_log_lines", "build_timeline"]

# Older related lines are left out, except the latest of each event and endpoint.
RECENT_SECONDS = 10.0
ENDPOINT_EVENTS = frozenset(
    (
        "endpoint registered",
        "endpoint leaves",
        "endpoint left out",
        "endpoint is back",
        "endpoint limits requests",
        "endpoint lifts its limit",
        "endpoint asks for a pause",
        "entry may have lapsed",
    )
)
STORE_EVENTS = frozenset(("store lost", "store regained"))
PROCESS_EVENTS = frozenset(("started", "draining", "stopped", "settings reloaded"))
ROLLOUT_EVENTS = frozenset(
    ("roll-out ordered", "roll-out step", "roll-out phase", "version found bad")
)
CONFIGURATION_REFUSAL_KINDS = frozenset(
    ("unknown_path", "unknown_credential", "missing_credential")
)
ATTEMPT_PATTERN = re.compile(r"(?P<endpoint>[^/=\s]+)(?:/[^=]*)?=(?P<outcome>\S+)")
NON_ENDPOINT_PATTERN = re.compile(r"^(confidence|pace|limit)=")


@dataclasses.dataclass(frozen=True, slots=True)
class TimelineEntry:
    """A log line that is related to the request.

    ``age`` is the time in seconds from the line to the request's end; ``own`` marks the
    request's own lines, ``deciding`` the line that explains the outcome best.
    """

    age: float
    line: dict
    own: bool
    deciding: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """All log lines related to a request, in order of time."""

    request: str
    entries: tuple[TimelineEntry, ...]


def read_log_lines(paths: Iterable[Path]) -> list[dict]:
    """Return the JSON lines of log files in order of time.

    Text before the JSON object of a line is ignored. Lines without one are skipped,
    since other programs may write to the same files. Raise `OSError` if a file can't
    be read.
    """
    lines = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines.extend(filter(None, map(_parse, file)))
    return sorted(lines, key=lambda line: line["time"])


def build_timeline(lines: list[dict], request: str) -> Timeline | None:
    """Return a request's timeline, or ``None`` if no line is about it."""
    own = [line for line in lines if line.get("request") == request]
    if not own:
        return None
    last_line = own[-1]
    related_lines = [line for line in lines if _is_related(line, last_line)]
    context_lines = _select_recent_or_latest(related_lines, last_line["time"])
    deciding = _find_deciding_line(own, context_lines)
    entries = [
        TimelineEntry(
            age=last_line["time"] - line["time"],
            line=line,
            own=any(line is own_line for own_line in own),
            deciding=line is deciding,
        )
        for line in sorted(own + context_lines, key=lambda line: line["time"])
    ]
    return Timeline(request=request, entries=tuple(entries))


def attempted_endpoints(line: dict) -> list[str]:
    """Return the endpoints of a request's attempts, in order."""
    names = []
    for entry in line.get("attempts", ()):
        attempt_match = ATTEMPT_PATTERN.match(entry)
        if attempt_match is not None and not NON_ENDPOINT_PATTERN.match(entry):
            names.append(attempt_match["endpoint"])
    return names


def _parse(text: str) -> dict | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(line, dict) or not isinstance(line.get("time"), int | float):
        return None
    return line


def _is_related(line: dict, request_line: dict) -> bool:
    """Return whether a line is about a change that may have affected a request."""
    if line.get("instance") != request_line.get("instance"):
        return False
    if line["time"] > request_line["time"] or "request" in line:
        return False
    event = line.get("event")
    if event in STORE_EVENTS or event in PROCESS_EVENTS:
        return True
    if event == "configuration in force":
        return True
    if event in ROLLOUT_EVENTS:
        return line.get("service") == request_line.get("service")
    if event == "request crashed an endpoint":
        return line.get("fingerprint") == request_line.get("fingerprint")
    return event in ENDPOINT_EVENTS and _concerns_request_endpoint(line, request_line)


def _concerns_request_endpoint(line: dict, request_line: dict) -> bool:
    """Return whether a line is about an endpoint that a request may have used."""
    names = attempted_endpoints(request_line)
    if names:
        return line.get("endpoint") in names
    return line.get("service", request_line.get("service")) == request_line.get(
        "service"
    )


def _select_recent_or_latest(related_lines: list[dict], end: float) -> list[dict]:
    """Return recent lines, and of older ones the latest of each event and endpoint."""
    latest_by_subject: dict[tuple, dict] = {}
    for line in related_lines:
        latest_by_subject[(line.get("event"), line.get("endpoint"))] = line
    latest_lines = latest_by_subject.values()
    return [
        line
        for line in related_lines
        if end - line["time"] <= RECENT_SECONDS
        or any(line is kept_line for kept_line in latest_lines)
    ]


def _find_deciding_line(own: list[dict], related_lines: list[dict]) -> dict:
    """Return the line that explains the outcome best, the request's own by default."""
    last_line = own[-1]
    kind = last_line.get("kind")
    explaining_events: frozenset[str] = frozenset()
    if kind == "configuration_stale":
        explaining_events = STORE_EVENTS
    elif kind in CONFIGURATION_REFUSAL_KINDS:
        explaining_events = frozenset(("configuration in force",))
    elif kind == "suspected_poison":
        explaining_events = frozenset(("request crashed an endpoint",))
    elif kind == "no_endpoint":
        explaining_events = ENDPOINT_EVENTS - {"endpoint registered"}
    matching = [
        line for line in related_lines if line.get("event") in explaining_events
    ]
    return matching[-1] if matching else last_line
