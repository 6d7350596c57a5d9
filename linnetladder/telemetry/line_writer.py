"""Log output that never blocks on a slow reader."""

import os
from collections.abc import Callable

__all__ = ["LineWriter"]


class LineWriter:
    """Write whole lines to a file descriptor, or drop them.

    If the reader does not keep up, lines are dropped; the writer never blocks. The rest
    of a partly written line is written before the next line, so no line is torn.
    """

    def __init__(self, *, descriptor: int):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.unwritten = b""
        self.dropped = 0
        self.on_dropped: Callable[[], None] | None = None

    def write(self, line: bytes) -> bool:
        """Write a line, which includes its line end; return false if it was dropped."""
        if self.unwritten and not self._write_available(self.unwritten):
            self.record_dropped()
            return False
        if not self._write_available(line) and not self.unwritten:
            self.record_dropped()
            return False
        return True

    def record_dropped(self) -> None:
        """Count a dropped line."""
        self.dropped += 1
        if self.on_dropped is not None:
            self.on_dropped()

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call, and reset it."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def _write_available(self, content: bytes) -> bool:
        """Write as much as possible; return whether all of it was written."""
        try:
            written = os.write(self.descriptor, content)
        except BlockingIOError:
            return False
        self.unwritten = content[written:]
        return not self.unwritten
