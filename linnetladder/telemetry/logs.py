"""JSON log lines on standard output, one for each state change or internal error.

A line has ``time`` in seconds of Unix time, ``instance``, ``level`` and ``event``; the
event names are a closed list in the reference pages. Lines about requests are written
by `linnetladder.telemetry.request_log`.
"""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from linnetladder.telemetry.line_writer import LineWriter

__all__ = ["configure_logs", "log_change", "log_failure"]

LOGGER_NAME = "linnetladder"


class LineHandler(logging.Handler):
    """Write log records through a writer that never blocks."""

    def __init__(self, *, writer: LineWriter):
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, with the number of lines dropped before it."""
        dropped = self.writer.take_dropped()
        if dropped:
            record.dropped_before = dropped
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if not self.writer.write(line):
            self.writer.dropped += dropped


def configure_logs(*, instance: str, level: str) -> LineWriter:
    """Send the project's log records to standard output; return the writer."""
    writer = LineWriter(descriptor=sys.stdout.fileno())
    handler = LineHandler(writer=writer)
    formatter = JsonFormatter(
        "%(created)f %(levelname)s %(message)s",
        rename_fields={"created": "time", "levelname": "level", "message": "event"},
        static_fields={"instance": instance},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level.upper())
    return writer


def log_change(event: str, **fields: object) -> None:
    """Log a state change.

    Examples
    --------
    >>> log_change("configuration in force", revision=7)
    """
    logging.getLogger(LOGGER_NAME).info(event, extra=fields)


def log_failure(event: str, error: BaseException) -> None:
    """Log an internal error with its traceback."""
    logging.getLogger(LOGGER_NAME).error(event, exc_info=error)
