"""One line for each decision on a request, bounded in rate.

Plain successes are left out first: they may use a part of the rate only, so that under
load a refusal, a failure, a retry or an escalation still has its line.
"""

import time

import orjson

from linnetladder.telemetry.line_writer import LineWriter

__all__ = ["RequestLog", "log_request", "start_request_log"]

# A core writes this many lines in about a hundredth of its time.
LINES_PER_SECOND = 200.0
BURST_LINES = 400.0
# Allowance that plain successes leave to the other lines.
RESERVED_LINES = 200.0


class RequestLog:
    """Write lines while the rate allows and the reader keeps up."""

    def __init__(self, *, instance: str, writer: LineWriter):
        self.instance = instance
        self.writer = writer
        self.allowance = BURST_LINES
        self.updated = time.monotonic()

    def write(self, event: str, fields: dict[str, object], *, plain: bool) -> None:
        """Write one line, or count it as dropped."""
        now = time.monotonic()
        refill = (now - self.updated) * LINES_PER_SECOND
        self.allowance = min(self.allowance + refill, BURST_LINES)
        self.updated = now
        if self.allowance < 1.0 + RESERVED_LINES * plain:
            self.writer.drop()
            return
        self.allowance -= 1.0
        line = {
            "time": round(time.time(), 4),
            "instance": self.instance,
            "event": event,
            **fields,
        }
        dropped = self.writer.take_dropped()
        if dropped:
            line["dropped_before"] = dropped
        content = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        if not self.writer.write(content):
            self.writer.dropped += dropped


_current: RequestLog | None = None


def start_request_log(*, instance: str, writer: LineWriter) -> RequestLog:
    """Begin to write request lines."""
    global _current
    _current = RequestLog(instance=instance, writer=writer)
    return _current


def log_request(event: str, *, plain: bool = False, **fields: object) -> None:
    """Write one line about a request, if request lines were started.

    ``plain`` says that all went as usual, so the line may be left out first.
    """
    if _current is not None:
        _current.write(event, fields, plain=plain)
