"""Splitting of a byte stream into complete server-sent events."""

import dataclasses

__all__ = ["Event", "EventSplitter"]

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A complete event as received; ``event_id`` is ``None`` without a numeric id."""

    content: bytes
    event_id: int | None


class EventSplitter:
    """Buffers received bytes and returns complete events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> [event.event_id for event in splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")]
    [1]
    >>> splitter.buffer
    b'id: 2'
    """

    def __init__(self):
        self.buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Append received bytes and return the events that they complete."""
        buffered = self.buffer + data
        if SEPARATOR not in buffered:
            self.buffer = buffered
            return []
        *whole, self.buffer = buffered.split(SEPARATOR)
        return [Event(part + SEPARATOR, _parse_event_id(part)) for part in whole]


def _parse_event_id(content: bytes) -> int | None:
    for line in content.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
