"""Log lines on standard output, written without ever waiting for the reader."""

import os
from collections.abc import Callable

__all__ = ["LineWriter"]


class LineWriter:
    """Write whole lines to a descriptor, or leave them out.

    A reader that does not keep up costs lines and not time. The rest of a line that
    was taken in part goes out before the next one, so no line is ever torn.
    """

    def __init__(self, *, descriptor: int):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.unwritten = b""
        self.dropped = 0
        self.on_dropped: Callable[[], None] | None = None

    def write(self, line: bytes) -> bool:
        """Write a line with its end; false if it was left out."""
        if self.unwritten and not self._write_available(self.unwritten):
            self.record_dropped()
            return False
        if not self._write_available(line) and not self.unwritten:
            self.record_dropped()
            return False
        return True

    def record_dropped(self) -> None:
        """Count a line that is left out."""
        self.dropped += 1
        if self.on_dropped is not None:
            self.on_dropped()

    def take_dropped(self) -> int:
        """Return how many lines were left out since the last question."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def _write_available(self, content: bytes) -> bool:
        """Write what the reader takes; true if nothing is left over."""
        try:
            written = os.write(self.descriptor, content)
        except BlockingIOError:
            return False
        self.unwritten = content[written:]
        return not self.unwritten
