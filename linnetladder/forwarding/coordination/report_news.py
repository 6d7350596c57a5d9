"""News in reports: crashes of endpoints and leaving endpoints.

News is repeated for a few seconds, in which receivers relay it to all daemons. What is
older follows only where a report has room for it.
"""

import dataclasses
import itertools

from linnetladder.forwarding.coordination.poison import CrashLog, is_part
from linnetladder.state import Clock, EndpointTable

__all__ = ["CRASH_BYTES", "LEAVING_BYTES", "NewsSelection", "ReportNews"]

# Ten rounds, so that lost reports and a full budget do not keep news from a daemon.
NEWS_SECONDS = 4.0
# Only the latest endpoints that are leaving are reported once they are no news.
MAXIMUM_OLD_LEAVING = 64
# Upper estimates of the compressed bytes of an entry.
CRASH_BYTES = 45
PART_CRASH_BYTES = 25
LEAVING_BYTES = 20
# Crashes of a whole request that count as much as one of a part.
PART_WEIGHT = 2
# Counts of forgotten entries are dropped beyond this many.
MAXIMUM_TIMES_SENT = 10_000


@dataclasses.dataclass(slots=True)
class NewsSelection:
    """Entries of a report; ``size`` is an upper estimate of their bytes."""

    crashes: list[tuple[str, str, float]] = dataclasses.field(default_factory=list)
    leaving: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    size: int = 0


class ReportNews:
    """Selects crashes and leaving endpoints, those sent least often first."""

    def __init__(self, *, table: EndpointTable, crashes: CrashLog, clock: Clock):
        self.table = table
        self.crashes = crashes
        self.clock = clock
        self.departures = 0
        self.leaving_since: dict[tuple[str, str], float] = {}
        self.times_sent: dict[tuple[str, str], int] = {}

    def select(self, *, maximum_bytes: float) -> NewsSelection:
        """Return the news that fits, the entries sent least often first."""
        return self._select(maximum_bytes, self._entries(news=True))

    def select_old(self, *, maximum_bytes: float) -> NewsSelection:
        """Return entries that are no news any more, as far as they fit."""
        return self._select(maximum_bytes, self._entries(news=False))

    def _select(
        self, maximum_bytes: float, entries: list[tuple[tuple[str, str], float | None]]
    ) -> NewsSelection:
        entries.sort(key=lambda entry: self._sending_rank(entry[0]))
        selection = NewsSelection()
        for key, age in entries:
            size = _entry_bytes(key, age)
            if selection.size + size > maximum_bytes:
                break
            selection.size += size
            self.times_sent[key] = self.times_sent.get(key, 0) + 1
            if age is None:
                selection.leaving.append(key)
            else:
                selection.crashes.append((*key, age))
        return selection

    def _sending_rank(self, key: tuple[str, str]) -> float:
        """Return how often an entry was sent, less for a suspect of many crashes.

        When an endpoint crashes, all requests in flight there are suspects. The one
        that caused it is among those that were in flight at others, too. Parts of
        prompts go first, since they are fewer and make more requests crash endpoints.
        """
        weight = max(self.crashes.crashes(key[0]), 1)
        if is_part(key[0]):
            weight *= PART_WEIGHT
        return self.times_sent.get(key, 0) / weight**2

    def _entries(self, *, news: bool) -> list[tuple[tuple[str, str], float | None]]:
        """Return keys of entries with their age, or ``None`` for a leaving endpoint."""
        crashes = [
            ((suspect, endpoint), age)
            for suspect, endpoint, age in self.crashes.export()
            if (age <= NEWS_SECONDS) == news
        ]
        self._note_departures()
        if news:
            leaving = list(self.leaving_since)
        else:
            latest = reversed(self.table.departed)
            old = (key for key in latest if key not in self.leaving_since)
            leaving = list(itertools.islice(old, MAXIMUM_OLD_LEAVING))
        return crashes + [(key, None) for key in leaving]

    def _note_departures(self) -> None:
        """Record the time of new departures and forget those that are no news."""
        now = self.clock.monotonic()
        new = self.table.departures - self.departures
        self.departures = self.table.departures
        for key in itertools.islice(reversed(self.table.departed), new):
            self.leaving_since[key] = now
        for key, since in list(self.leaving_since.items()):
            if now - since > NEWS_SECONDS:
                del self.leaving_since[key]
        if len(self.times_sent) > MAXIMUM_TIMES_SENT:
            known = {
                key[:2] for key in self.crashes.export()
            } | self.table.departed.keys()
            self.times_sent = {
                key: times for key, times in self.times_sent.items() if key in known
            }


def _entry_bytes(key: tuple[str, str], age: float | None) -> int:
    if age is None:
        return LEAVING_BYTES
    return PART_CRASH_BYTES if is_part(key[0]) else CRASH_BYTES
