"""JSON logs, one line for each change of state; everything else is a counter."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logs", "log_change", "log_failure"]

LOGGER_NAME = "linnetladder"


def configure_logs(*, instance: str, level: str) -> None:
    """Write the project's log lines to standard error as JSON."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"instance": instance},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level.upper())


def log_change(message: str, **fields: object) -> None:
    """Log that the state of something changed.

    Examples
    --------
    >>> log_change("configuration in force", revision=7)
    """
    logging.getLogger(LOGGER_NAME).info(message, extra=fields)


def log_failure(message: str, error: BaseException) -> None:
    """Log a fault of the program itself, with where it happened."""
    logging.getLogger(LOGGER_NAME).error(message, exc_info=error)
