"""What is told to peers, and what is made of what they tell."""

import dataclasses
import itertools
import random
from collections.abc import Callable, Iterable

import xxhash

from linnetladder.forwarding.coordination.bills import BillBuffer, BillReplicas
from linnetladder.forwarding.coordination.directory import group_name, version_of
from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.outcomes import Outcomes
from linnetladder.forwarding.coordination.poison import CrashLog
from linnetladder.forwarding.coordination.rollouts import RolloutController
from linnetladder.forwarding.coordination.shared_snapshots import SharedSnapshots
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.daemon_messages import (
    CopiedBills,
    DaemonMessage,
    DaemonReport,
)
from linnetladder.state import Clock, EndpointTable
from linnetladder.telemetry import Metrics

__all__ = ["BILL_HOLDERS", "PeerNews"]

# A round reaches this many peers at most, and of those in other failure domains, whose
# links cost more, a few.
PEERS_PER_ROUND = 14
REMOTE_PEERS_PER_ROUND = 6
MAXIMUM_LEAVING_REPORTED = 64
# A holder sends reports to whom it holds bills for; two were lost by then.
HOLDER_TIMEOUT_SECONDS = 1.3
BILL_OWNER_TTL_SECONDS = 5.0
# Two holders in other failure domains outlive the loss of an instance or a domain.
BILL_HOLDERS = 2


@dataclasses.dataclass(slots=True)
class PeerStatus:
    """The newest report taken from a peer, and the clock's reading when it came."""

    incarnation: str
    sequence: int
    received_at: float
    draining: bool


class PeerGossip:
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
        rollouts: RolloutController,
        bills: BillBuffer,
        bill_replicas: BillReplicas,
        snapshots: SharedSnapshots,
        failure_domain: str,
        clock: Clock,
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
        self.bills = bills
        self.bill_replicas = bill_replicas
        self.snapshots = snapshots
        self.failure_domain = failure_domain
        self.clock = clock
        self.metrics = metrics
        self.draining = False
        self.bill_owners: dict[str, float] = {}
        self.random = random.Random(seed)
        self.sequence = itertools.count(1)
        self.peer_status: dict[str, PeerStatus] = {}
        self.peers: tuple[DaemonAddress, ...] = ()
        self.listed_daemons: tuple[DaemonAddress, ...] = ()
        self.ranked_holders: list[DaemonAddress] = []
        self.revision = 0
        self.on_revision: Callable[[int], None] = _ignore
        self.on_confirmation: Callable[[float], None] = _ignore

    def update_daemons(self, daemons: tuple[DaemonAddress, ...]) -> None:
        """Take in who the daemons are; an empty list is not believed."""
        self.listed_daemons = daemons
        others = tuple(d for d in daemons if d.instance != self.instance)
        if others:
            self.peers = others
            self.ranked_holders = self._rank_holders()

    def receivers(self) -> list[DaemonAddress]:
        """Return whom the next message goes to.

        These are the peers near by, some of the rest, and those whose bills are held
        here, who have to know that they still are.
        """
        near = [p for p in self.peers if p.failure_domain == self.failure_domain]
        far = [p for p in self.peers if p.failure_domain != self.failure_domain]
        if len(far) > REMOTE_PEERS_PER_ROUND:
            far = self.random.sample(far, REMOTE_PEERS_PER_ROUND)
        near_limit = PEERS_PER_ROUND - len(far)
        if len(near) > near_limit:
            near = self.random.sample(near, near_limit)
        chosen = near + far
        since = self.clock.monotonic() - BILL_OWNER_TTL_SECONDS
        return chosen + [
            peer
            for peer in self.peers
            if self.bill_owners.get(peer.instance, since) > since and peer not in chosen
        ]

    def bill_holders(self) -> list[DaemonAddress]:
        """Return the peers that are sent this daemon's bills, other domains' first.

        Where too few are known to be alive, others are sent them all the same: a peer
        that has just started may hold them well before it is heard.
        """
        alive = self._alive_holders()
        others = [peer for peer in self.ranked_holders if peer not in alive]
        return (alive + others)[:BILL_HOLDERS]

    def alive_holder_incarnations(self) -> list[str]:
        """Return the incarnations of those that hold this daemon's bills for sure."""
        return [self.peer_status[p.instance].incarnation for p in self._alive_holders()]

    def _alive_holders(self) -> list[DaemonAddress]:
        alive = filter(self._is_alive, self.ranked_holders)
        return list(itertools.islice(alive, BILL_HOLDERS))

    def _is_alive(self, peer: DaemonAddress) -> bool:
        """Tell whether a peer was heard lately and is not about to leave."""
        peer_status = self.peer_status.get(peer.instance)
        if peer_status is None or peer_status.draining:
            return False
        return (
            self.clock.monotonic() - peer_status.received_at <= HOLDER_TIMEOUT_SECONDS
        )

    def _rank_holders(self) -> list[DaemonAddress]:
        return sorted(
            self.peers,
            key=lambda peer: (
                peer.failure_domain == self.failure_domain,
                xxhash.xxh64_intdigest(f"{self.instance}\0{peer.instance}".encode()),
            ),
        )

    def build(self, receivers: Iterable[DaemonAddress] = ()) -> DaemonMessage:
        """Return all that this daemon has to say to some peers, but for its bills."""
        loads = [
            (endpoint.name, endpoint.in_flight, round(backlog, 3))
            for endpoint in self.table.endpoints.values()
            if (backlog := self.loads.backlog.get(endpoint.name, 0.0)) > 0
            or endpoint.in_flight
        ]
        report = DaemonReport(
            loads=loads,
            outcomes=self.outcomes.export(self._group_of),
            crashes=self.crashes.export(),
            bad_targets=self.rollouts.export_bad_targets(),
            draining=self.draining,
            leaving=list(self.table.departed)[-MAXIMUM_LEAVING_REPORTED:],
            reading=self.snapshots.digest,
            echoes=self.snapshots.echoes(receivers),
        )
        news = self._message(report=report)
        self.snapshots.record_sent(news.sequence)
        return news

    def _group_of(self, name: str) -> str | None:
        """Return the group that an endpoint's answers are told with."""
        endpoint = self.table.endpoints.get(name)
        if endpoint is None:
            return None
        return group_name(endpoint.service, version_of(endpoint))

    def build_bill_copy(self, copied: CopiedBills) -> DaemonMessage:
        """Return a message that holds bills alone."""
        return self._message(copied_bills=copied)

    def apply(self, news: DaemonMessage) -> None:
        """Take in a peer's news, unless something newer was taken before."""
        if news.instance == self.instance:
            return
        if news.copied_bills is not None:
            self.bill_replicas.apply(news.incarnation, news.copied_bills)
            self.bill_owners[news.instance] = self.clock.monotonic()
        self.on_revision(news.revision)
        if news.report is None or not self._accept_if_newer(news):
            return
        self.metrics.count("peer_messages", label="received")
        self.snapshots.record_received(news.instance, news.incarnation, news.sequence)
        self._apply_report(news.instance, news.report)
        confirmed = self.snapshots.confirm(news.report.reading, news.report.echoes)
        if confirmed is not None:
            self.on_confirmation(confirmed)

    def _accept_if_newer(self, news: DaemonMessage) -> bool:
        previous = self.peer_status.get(news.instance)
        same_incarnation = (
            previous is not None and previous.incarnation == news.incarnation
        )
        if same_incarnation and news.sequence <= previous.sequence:
            return False
        if previous is not None and not same_incarnation:
            self.bill_replicas.mark_ended(previous.incarnation)
        self.peer_status[news.instance] = PeerStatus(
            news.incarnation,
            news.sequence,
            self.clock.monotonic(),
            news.report.draining,
        )
        return True

    def _apply_report(self, peer: str, report: DaemonReport) -> None:
        loads_by_endpoint = {
            name: (count, backlog) for name, count, backlog in report.loads
        }
        self.loads.learn(peer, loads_by_endpoint)
        self.outcomes.learn(peer, report.outcomes)
        for fingerprint, endpoint in report.crashes:
            self.crashes.learn(fingerprint, endpoint)
        self.rollouts.add_bad_targets(report.bad_targets)
        for name, incarnation in report.leaving:
            self.table.mark_leaving(name, incarnation)

    def _message(
        self,
        *,
        report: DaemonReport | None = None,
        copied_bills: CopiedBills | None = None,
    ) -> DaemonMessage:
        return DaemonMessage(
            instance=self.instance,
            incarnation=self.incarnation,
            sequence=next(self.sequence),
            revision=self.revision,
            report=report,
            copied_bills=copied_bills,
        )


def _ignore(peer_status: float) -> None:
    """Take no notice of what a peer has said."""
