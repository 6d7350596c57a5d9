"""Recorder of events that are checked after a run."""

import re
import time
from pathlib import Path

import orjson

__all__ = ["Recorder", "extract_proof_key"]

PROOF_KEY_PATTERN = re.compile(r"proof-key:([\w.-]+);")


def extract_proof_key(text: str) -> str:
    """Return the key that a test has put into the request's text, or ``""``."""
    match = PROOF_KEY_PATTERN.search(text)
    return match.group(1) if match else ""


class Recorder:
    """Keep events in memory or, with ``path``, append each unbuffered to that file."""

    def __init__(self, *, source: str, path: str = ""):
        self.source = source
        self.events: list[dict] = []
        self.file = Path(path).open("ab", buffering=0) if path else None

    def record_event(self, event: str, **fields: object) -> None:
        """Record an event with the time of the system's monotonic clock."""
        entry = {
            "time": time.monotonic(),
            "source": self.source,
            "event": event,
            **fields,
        }
        if self.file is not None:
            self.file.write(orjson.dumps(entry) + b"\n")
        else:
            self.events.append(entry)
