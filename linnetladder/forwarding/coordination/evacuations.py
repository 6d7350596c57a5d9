"""Failure domains that the operator has evacuated, as last read from the store.

While the store is away, a domain stays evacuated. The store may return from an older
copy that lacks the operator's key, in a new era. The domain then stays evacuated for
the time in which the operator writes its keys again.
"""

from collections.abc import Callable, Iterable

from linnetladder.forwarding.state import EvacuatedDomain
from linnetladder.state import Clock
from linnetladder.telemetry import log_change

__all__ = ["Evacuations"]

# Time in which the operator writes again what the store has lost.
REWRITE_SECONDS = 5.0


class Evacuations:
    """Keeps the evacuated failure domains.

    ``domains`` maps each one to the revision of its key. ``held_until`` maps those
    that an older copy of the store lacks to the time from which a read without the key
    ends the evacuation. ``on_return`` is called with a domain whose evacuation ended.
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.era = 0
        self.domains: dict[str, int] = {}
        self.held_until: dict[str, float] = {}
        self.on_return: Callable[[str], None] = _do_nothing

    def is_evacuated(self, domain: str) -> bool:
        """Return whether no request may be sent to endpoints of a failure domain."""
        return domain in self.domains

    def update(
        self, domains: Iterable[EvacuatedDomain], *, era: int, began: float
    ) -> None:
        """Apply a read of the store that began at a monotonic time, in an era."""
        if era < self.era:
            return
        listed = {domain.name: domain.revision for domain in domains}
        if era > self.era:
            if self.era:
                until = self.clock.monotonic() + REWRITE_SECONDS
                missing = self.domains.keys() - listed.keys()
                self.held_until = dict.fromkeys(missing, until)
            self.era = era
        for name, revision in listed.items():
            if name not in self.domains:
                log_change(
                    "failure domain evacuated", failure_domain=name, revision=revision
                )
            self.domains[name] = revision
            self.held_until.pop(name, None)
        for name in self.domains.keys() - listed.keys() - self.held_until.keys():
            self._end(name)
        self.confirm(began)

    def confirm(self, since: float) -> None:
        """Record that the content last read was current at a monotonic time.

        Content of an earlier time may lack a key that the operator has written since.
        """
        for name, until in list(self.held_until.items()):
            if since >= until:
                self._end(name)

    def _end(self, name: str) -> None:
        del self.domains[name]
        self.held_until.pop(name, None)
        log_change("failure domain returned", failure_domain=name)
        self.on_return(name)


def _do_nothing(domain: str) -> None:
    """Do nothing; the default action when an evacuation ends."""
