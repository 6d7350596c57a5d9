"""Events as the stand-ins and the callers record them, for checking afterwards."""

import re
import time
from pathlib import Path

import orjson

__all__ = ["Recorder", "proof_key"]

PROOF_KEY_PATTERN = re.compile(r"proof-key:([\w.-]+);")


def extract_proof_key(text: str) -> str:
    """Return the key that a test's request carries in its text, if there is one."""
    match = PROOF_KEY_PATTERN.search(text)
    return match.group(1) if match else ""


class Recorder:
    """Keep events in memory and, if a file is named, append each to it at once."""

    def __init__(self, *, source: str, path: str = ""):
        self.source = source
        self.events: list[dict] = []
        self.file = Path(path).open("ab", buffering=0) if path else None

    def record_event(self, event: str, **fields: object) -> None:
        """Record one event with the time of the system's monotonic clock."""
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
