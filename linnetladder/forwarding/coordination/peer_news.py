"""What is told to peers, and what is made of what they tell."""

import dataclasses
import itertools
import random
from collections.abc import Callable

from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.outcomes import Outcomes
from linnetladder.forwarding.coordination.poison import CrashLog
from linnetladder.forwarding.coordination.rollouts import Rollouts
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.news import News
from linnetladder.state import EndpointTable
from linnetladder.telemetry import Metrics

__all__ = ["PeerNews"]

# A round reaches this many peers at most; a large fleet takes several rounds.
PEERS_PER_ROUND = 24
LEAVING_TOLD = 64


@dataclasses.dataclass(slots=True)
class Heard:
    """The newest message taken from a peer."""

    incarnation: str
    sequence: int


class PeerNews:
    """Build this daemon's news and take in those of others."""

    def __init__(
        self,
        *,
        instance: str,
        incarnation: str,
        table: EndpointTable,
        loads: EndpointLoads,
        outcomes: Outcomes,
        crashes: CrashLog,
        rollouts: Rollouts,
        metrics: Metrics,
        seed: int,
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.table = table
        self.loads = loads
        self.outcomes = outcomes
        self.crashes = crashes
        self.rollouts = rollouts
        self.metrics = metrics
        self.random = random.Random(seed)
        self.sequence = itertools.count(1)
        self.heard: dict[str, Heard] = {}
        self.peers: tuple[DaemonAddress, ...] = ()
        self.revision = 0
        self.on_revision: Callable[[int], None] = _ignore

    def know(self, daemons: tuple[DaemonAddress, ...]) -> None:
        """Take in who the daemons are; an empty list is not believed."""
        others = tuple(d for d in daemons if d.instance != self.instance)
        if others:
            self.peers = others

    def receivers(self) -> list[DaemonAddress]:
        """Return whom the next message goes to."""
        if len(self.peers) <= PEERS_PER_ROUND:
            return list(self.peers)
        return self.random.sample(self.peers, PEERS_PER_ROUND)

    def build(self) -> News:
        """Return all that this daemon has to say."""
        loads = [
            (endpoint.name, endpoint.in_flight, round(backlog, 3))
            for endpoint in self.table.endpoints.values()
            if (backlog := self.loads.backlog.get(endpoint.name, 0.0)) > 0
            or endpoint.in_flight
        ]
        leaving = [pair for pair in self.table.departed if pair[0]][-LEAVING_TOLD:]
        return News(
            instance=self.instance,
            incarnation=self.incarnation,
            sequence=next(self.sequence),
            revision=self.revision,
            loads=loads,
            outcomes=self.outcomes.export(),
            crashes=self.crashes.export(),
            bad_targets=self.rollouts.export_bad(),
            leaving=leaving,
        )

    def take(self, news: News) -> None:
        """Take in a peer's news, unless something newer was taken before."""
        if news.instance == self.instance:
            return
        known = self.heard.get(news.instance)
        same = known is not None and known.incarnation == news.incarnation
        if same and news.sequence <= known.sequence:
            return
        self.heard[news.instance] = Heard(news.incarnation, news.sequence)
        self.metrics.count("peer_messages", label="received")
        rows = {name: (count, backlog) for name, count, backlog in news.loads}
        self.loads.learn(news.instance, rows)
        self.outcomes.learn(news.instance, news.outcomes)
        for fingerprint, endpoint in news.crashes:
            self.crashes.learn(fingerprint, endpoint)
        self.rollouts.learn_bad(news.bad_targets)
        self.on_revision(news.revision)
        for name, incarnation in news.leaving:
            self.table.mark_leaving(name, incarnation)


def _ignore(revision: int) -> None:
    """Take no notice of a revision that a peer has seen."""
