"""Groups of daemons in a failure domain, in each of which one reads the store for all.

The group and its reader follow from the list of daemons alone, so nothing is agreed
on. Daemons that disagree on the list have different readers for a while, which costs
reads and nothing else. Small failure domains have no groups: each daemon there reads
the store itself.
"""

import math
from collections.abc import Callable

import xxhash

from linnetladder.forwarding.coordination.peer_gossip import PeerGossip
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.state import Clock

__all__ = ["ReadGroups"]

# A reader answers its group with up to the whole content, over a link of 10 Mbit/s.
GROUP_SIZE = 10
# With fewer daemons in a failure domain the reports to peers suffice to share reads.
MINIMUM_DAEMONS = 8
# A reader that did not answer is asked again after this time.
FAILURE_EXPIRY_SECONDS = 5.0


class ReadGroups:
    """Determines which daemon reads the store for this one."""

    def __init__(
        self, *, instance: str, failure_domain: str, peers: PeerGossip, clock: Clock
    ):
        self.instance = instance
        self.failure_domain = failure_domain
        self.peers = peers
        self.clock = clock
        self.failed_at: dict[str, float] = {}

    @property
    def active(self) -> bool:
        """Whether the failure domain is large enough to have groups."""
        return len(self._near_peers()) + 1 >= MINIMUM_DAEMONS

    def reader(self) -> DaemonAddress | None:
        """Return the peer that reads for this daemon, ``None`` if that is itself."""
        near = self._near_peers()
        if len(near) + 1 < MINIMUM_DAEMONS:
            return None
        addresses = {peer.instance: peer for peer in near}
        members = self._group_of_own({self.instance, *addresses})
        for name in members:
            if name == self.instance:
                return None
            if self._is_usable(name):
                return addresses[name]
        return None

    def seconds_until_turn(self, period: float, unix: Callable[[], float]) -> float:
        """Return the seconds until the group reads next, which it does at a period.

        The times follow from the clock and differ between groups.
        """
        names = {self.instance, *(peer.instance for peer in self._near_peers())}
        offset = _hash(self._group_of_own(names)[0]) / 2**64 * period
        return period - math.fmod(unix() - offset, period)

    def note_failure(self, reader: DaemonAddress) -> None:
        """Record that a reader did not answer or could not read."""
        self.failed_at[reader.instance] = self.clock.monotonic()

    def _near_peers(self) -> list[DaemonAddress]:
        return [
            peer
            for peer in self.peers.peers
            if peer.failure_domain == self.failure_domain
        ]

    def _group_of_own(self, names: set[str]) -> list[str]:
        """Return the members of this daemon's group in the order in which they read.

        Groups are of about equal size.
        """
        ordered = sorted(names, key=_hash)
        groups = -(-len(ordered) // GROUP_SIZE)
        own = ordered.index(self.instance) % groups
        return ordered[own::groups]

    def _is_usable(self, name: str) -> bool:
        failed_at = self.failed_at.get(name, -math.inf)
        if self.clock.monotonic() - failed_at < FAILURE_EXPIRY_SECONDS:
            return False
        status = self.peers.peer_status.get(name)
        return status is None or not status.draining


def _hash(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
