"""One log line for each decision on a request, with a rate limit.

The lines of plain successes have low priority and are dropped first: they may use only
a part of the burst, so that under load a refusal, a failure, a retry or an escalation
is still logged.
"""

import time

import orjson

from linnetladder.telemetry.line_writer import LineWriter

__all__ = ["RequestLog", "log_request", "start_request_log"]

# Writing this many lines takes about 1 % of a core's time.
LINES_PER_SECOND = 200.0
BURST_LINES = 400.0
# The part of the burst that low-priority lines leave to the others.
RESERVED_LINES = 200.0


class RequestLog:
    """Write lines within a rate limit (token bucket) while the reader keeps up."""

    def __init__(self, *, instance: str, writer: LineWriter):
        self.instance = instance
        self.writer = writer
        self.available_lines = BURST_LINES
        self.updated = time.monotonic()

    def write(
        self, event: str, fields: dict[str, object], *, low_priority: bool
    ) -> None:
        """Write one line, or count it as dropped."""
        now = time.monotonic()
        refill = (now - self.updated) * LINES_PER_SECOND
        self.available_lines = min(self.available_lines + refill, BURST_LINES)
        self.updated = now
        if self.available_lines < 1.0 + RESERVED_LINES * low_priority:
            self.writer.record_dropped()
            return
        self.available_lines -= 1.0
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


_active_log: RequestLog | None = None


def start_request_log(*, instance: str, writer: LineWriter) -> RequestLog:
    """Create the log that `log_request` writes to."""
    global _active_log
    _active_log = RequestLog(instance=instance, writer=writer)
    return _active_log


def log_request(event: str, *, low_priority: bool = False, **fields: object) -> None:
    """Write one line about a request, if the request log was started.

    ``low_priority`` marks the line of a plain success, which is dropped first.
    """
    if _active_log is not None:
        _active_log.write(event, fields, low_priority=low_priority)
