"""One line for each decision on a request, bounded in rate and never blocking.

Lines go to standard output as JSON. A reader that does not keep up, or more lines
than the rate allows, cost lines and not time; the lines left out are counted.
"""

import os
import sys
import time

import orjson

__all__ = ["RequestLog", "log_request", "start_request_log"]

LINES_PER_SECOND = 200.0
BURST_LINES = 400.0


class RequestLog:
    """Write lines while the rate allows and the reader keeps up."""

    def __init__(self, *, instance: str, descriptor: int):
        self.instance = instance
        self.descriptor = descriptor
        self.allowance = BURST_LINES
        self.updated = time.monotonic()
        self.dropped = 0

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Write one line, or count it as dropped."""
        now = time.monotonic()
        refill = (now - self.updated) * LINES_PER_SECOND
        self.allowance = min(self.allowance + refill, BURST_LINES)
        self.updated = now
        if self.allowance < 1.0:
            self.dropped += 1
            return
        self.allowance -= 1.0
        line = {
            "time": round(time.time(), 4),
            "instance": self.instance,
            "event": event,
            **fields,
        }
        if self.dropped:
            line["dropped_before"] = self.dropped
        content = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        try:
            os.write(self.descriptor, content)
            self.dropped = 0
        except BlockingIOError:
            self.dropped += 1


_current: RequestLog | None = None


def start_request_log(*, instance: str) -> RequestLog:
    """Begin to write request lines to standard output, without ever blocking."""
    global _current
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    _current = RequestLog(instance=instance, descriptor=descriptor)
    return _current


def log_request(event: str, **fields: object) -> None:
    """Write one line about a request, if request lines were started."""
    if _current is not None:
        _current.write(event, fields)
