"""The era of the platform's store, which rises when it returns from an older copy."""

from collections.abc import Callable

from linnetladder.telemetry import Metrics, log_change

__all__ = ["StoreEra"]


class StoreEra:
    """The newest era that is known, from the store's answers and from peers.

    ``current`` is ``None`` until one is known. The ``listeners`` are called with the
    new era when it rises.
    """

    def __init__(self, *, metrics: Metrics):
        self.metrics = metrics
        self.current: int | None = None
        self.listeners: list[Callable[[int], None]] = []

    def observe(self, era: int) -> bool:
        """Record an era and return true, unless a newer one is known."""
        if self.current is not None and era < self.current:
            return False
        previous, self.current = self.current, era
        if previous is not None and era > previous:
            self.metrics.count("store_era_changes")
            log_change("store returned from an older copy", era=era, previous=previous)
            for listener in self.listeners:
                listener(era)
        return True
