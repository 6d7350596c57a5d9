"""Gossip between daemons: messages to peers, and the processing of theirs.

Reports carry a daemon's loads, outcomes, crashes and bad roll-out targets to some peers
at a time; copies of bills go to the peers that hold them.
"""

import dataclasses
import itertools
import math
from collections.abc import Callable, Iterable

import xxhash

from linnetladder.forwarding.coordination.account_shares import (
    USE_ROW_BYTES,
    AccountShares,
)
from linnetladder.forwarding.coordination.bill_replicas import BillReplicas
from linnetladder.forwarding.coordination.bills import BillBuffer
from linnetladder.forwarding.coordination.brittleness import (
    BRITTLE_ROW_BYTES,
    Brittleness,
)
from linnetladder.forwarding.coordination.directory import (
    EndpointDirectory,
    group_name,
    version_of,
)
from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.outcomes import Outcomes
from linnetladder.forwarding.coordination.poison import CrashLog
from linnetladder.forwarding.coordination.reading_speeds import SPEED_ROW_BYTES
from linnetladder.forwarding.coordination.report_news import ReportNews
from linnetladder.forwarding.coordination.request_limits import (
    LIMIT_ROW_BYTES,
    RequestLimits,
)
from linnetladder.forwarding.coordination.rollouts import RolloutController
from linnetladder.forwarding.coordination.room import EndpointRoom
from linnetladder.forwarding.coordination.service_demand import (
    DEMAND_ROW_BYTES,
    ServiceDemand,
)
from linnetladder.forwarding.coordination.shared_snapshots import SharedSnapshots
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.daemon_messages import (
    CopiedBills,
    DaemonMessage,
    DaemonReport,
    PartFinding,
)
from linnetladder.forwarding.state import Position
from linnetladder.state import Clock, EndpointTable
from linnetladder.telemetry import Metrics

__all__ = ["BILL_HOLDERS", "MAXIMUM_REPORT_BYTES", "PeerGossip"]

# Maximum number of receivers of one round of reports, and of those in other failure
# domains, whose links cost more. The owners of bills held here come on top.
PEERS_PER_ROUND = 14
REMOTE_PEERS_PER_ROUND = 6
# One packet on most links: fragments multiply the loss.
MAXIMUM_REPORT_BYTES = 1_200
# Upper estimates of compressed bytes: of a report without rows, of an echo and of rows.
REPORT_HEADER_BYTES = 130
ECHO_BYTES = 10
LOAD_ROW_BYTES = 9
OUTCOME_ROW_BYTES = 26
# Share of a report kept for rows beside news, and share of rows kept for outcomes.
MINIMUM_ROWS_SHARE = 0.6
MINIMUM_OUTCOMES_SHARE = 0.8
# Upper estimate of the compressed bytes of a finding, and the most in one report.
FINDING_BYTES = 20
MAXIMUM_FINDINGS = 8
# Share of a report that limits of endpoints may take beside rows.
LIMITS_SHARE = 0.3
# Upper estimate of the compressed bytes of a row of tokens, and the share of a report
# that such rows may take. They are left out first: an endpoint that looks emptier than
# it is costs less than one that looks failed.
TOKEN_ROW_BYTES = 9
TOKENS_SHARE = 0.1
# Share of a report that the use of accounts may take.
USES_SHARE = 0.1
# Share of a report that the speeds of models may take.
SPEEDS_SHARE = 0.1
# A holder sends reports to the daemons whose bills it holds. After this time without
# one, two were lost, and the holder no longer counts as alive.
HOLDER_TIMEOUT_SECONDS = 1.3
# Reports go to a peer for this long after bills were received from it.
BILL_OWNER_TTL_SECONDS = 5.0
# For this long after a change of era, peers that the store doesn't list are kept if
# they were heard from within the same time: their registrations may be lost.
PEER_GRACE_SECONDS = 4.0
# A daemon that is no longer listed shares limits for this long after its last report.
# In large fleets reports of a peer come less often: the time for each daemon.
MEMBER_TTL_SECONDS = 5.0
MEMBER_TTL_SECONDS_PER_DAEMON = 0.1
# With two holders in other failure domains, bills survive the loss of an instance or of
# a failure domain.
BILL_HOLDERS = 2


@dataclasses.dataclass(slots=True)
class PeerStatus:
    """The newest report accepted from a peer and the time at which it came."""

    incarnation: str
    sequence: int
    received_at: float
    draining: bool


class PeerGossip:
    """Builds this daemon's messages and applies those of its peers."""

    def __init__(
        self,
        *,
        instance: str,
        incarnation: str,
        table: EndpointTable,
        directory: EndpointDirectory,
        loads: EndpointLoads,
        outcomes: Outcomes,
        crashes: CrashLog,
        limits: RequestLimits,
        brittleness: Brittleness,
        room: EndpointRoom,
        demand: ServiceDemand,
        shares: AccountShares,
        rollouts: RolloutController,
        bills: BillBuffer,
        bill_replicas: BillReplicas,
        snapshots: SharedSnapshots,
        failure_domain: str,
        clock: Clock,
        metrics: Metrics,
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.table = table
        self.directory = directory
        self.loads = loads
        self.outcomes = outcomes
        self.crashes = crashes
        self.limits = limits
        self.brittleness = brittleness
        self.room = room
        self.demand = demand
        self.shares = shares
        self.rollouts = rollouts
        self.bills = bills
        self.bill_replicas = bill_replicas
        self.snapshots = snapshots
        self.failure_domain = failure_domain
        self.clock = clock
        self.metrics = metrics
        self.draining = False
        self.era_began_at = -math.inf
        self.extra_holders = 0
        self.bill_owners: dict[str, float] = {}
        self.sequence = itertools.count(1)
        self.news = ReportNews(table=table, crashes=crashes, clock=clock)
        self.findings_sent = 0
        self.sent_order = itertools.count(1)
        self.last_sent: dict[str, int] = {}
        self.peer_status: dict[str, PeerStatus] = {}
        self.peers: tuple[DaemonAddress, ...] = ()
        self.listed_daemons: tuple[DaemonAddress, ...] = ()
        self.ranked_holders: list[DaemonAddress] = []
        self._rotation_rank: dict[str, int] = {}
        self.position = Position(era=0, revision=0)
        self.configuration_version = 0
        self.on_position: Callable[[Position, int], None] = _ignore_position
        self.on_confirmation: Callable[[float], None] = _ignore
        self.on_news: Callable[[], None] = _do_nothing

    def update_daemons(self, daemons: tuple[DaemonAddress, ...]) -> None:
        """Set the daemons listed in the store.

        The known peers are kept if the list names no other daemon, since such a list
        is not trusted. Just after a change of era the list may lack daemons whose
        registrations were lost.
        """
        self.listed_daemons = daemons
        others = tuple(d for d in daemons if d.instance != self.instance)
        others += self._unlisted_peers({daemon.instance for daemon in others})
        if others:
            self.peers = others
            self.ranked_holders = self._rank_holders()
            self._rotation_rank = {
                peer.instance: self._pair_hash(peer) for peer in others
            }
            listed = {peer.instance for peer in others}
            for instance in self.last_sent.keys() - listed:
                del self.last_sent[instance]

    def note_era_change(self) -> None:
        """Record that the store returned from an older copy."""
        self.era_began_at = self.clock.monotonic()

    def _unlisted_peers(self, listed: set[str]) -> tuple[DaemonAddress, ...]:
        """Return the known peers whose registrations a change of era may have lost."""
        since = self.clock.monotonic() - PEER_GRACE_SECONDS
        if self.era_began_at < since:
            return ()
        return tuple(
            peer
            for peer in self.peers
            if peer.instance not in listed
            and (status := self.peer_status.get(peer.instance)) is not None
            and status.received_at >= since
            and not status.draining
        )

    def members(self) -> set[str]:
        """Return the instances of the daemons that share the limits of endpoints.

        These are the known peers, and those that are not listed but were heard from: a
        daemon that only the store has lost sight of still sends requests.
        """
        ttl = max(MEMBER_TTL_SECONDS, len(self.peers) * MEMBER_TTL_SECONDS_PER_DAEMON)
        since = self.clock.monotonic() - ttl
        heard = {
            instance
            for instance, status in self.peer_status.items()
            if status.received_at >= since and not status.draining
        }
        return heard | {peer.instance for peer in self.peers} | {self.instance}

    def receivers(self) -> list[DaemonAddress]:
        """Return the peers that the next report goes to, the most urgent ones first.

        These are the owners of bills that are held here, which have to know that this
        holder is alive, then peers in this failure domain and some in others, by
        rotation: those for which the longest time has passed since `record_sent`.
        """
        owners = self._bill_owners()
        waiting = sorted(
            self.peers,
            key=lambda peer: (
                self.last_sent.get(peer.instance, 0),
                self._rotation_rank[peer.instance],
            ),
        )
        near = [p for p in waiting if p.failure_domain == self.failure_domain]
        far = [p for p in waiting if p.failure_domain != self.failure_domain]
        far = far[:REMOTE_PEERS_PER_ROUND]
        near = near[: PEERS_PER_ROUND - len(far)]
        chosen = {peer.instance for peer in near + far + owners}
        return owners + [
            peer for peer in waiting if peer.instance in chosen and peer not in owners
        ]

    def record_sent(self, receiver: DaemonAddress) -> None:
        """Record that a report was sent to a peer, which moves it to the end."""
        self.last_sent[receiver.instance] = next(self.sent_order)

    def _bill_owners(self) -> list[DaemonAddress]:
        """Return the peers from which bills were received lately."""
        since = self.clock.monotonic() - BILL_OWNER_TTL_SECONDS
        return [
            peer
            for peer in self.peers
            if self.bill_owners.get(peer.instance, since) > since
        ]

    def bill_peers(self) -> list[DaemonAddress]:
        """Return the holders of this daemon's bills and the owners of those held here.

        They hear each round, since they have to know that this daemon is alive.
        """
        return list(dict.fromkeys((*self.bill_holders(), *self._bill_owners())))

    def bill_holders(self) -> list[DaemonAddress]:
        """Return the peers that this daemon's bills are sent to, other domains' first.

        If too few peers are known to be alive, others are added: a peer that has just
        started may hold bills before its first report arrives. There are
        ``extra_holders`` more than usual.
        """
        alive = self._alive_holders()
        others = [peer for peer in self.ranked_holders if peer not in alive]
        return (alive + others)[: BILL_HOLDERS + self.extra_holders]

    def alive_holder_incarnations(self) -> list[str]:
        """Return the incarnations of the holders that are known to be alive."""
        return [self.peer_status[p.instance].incarnation for p in self._alive_holders()]

    def _alive_holders(self) -> list[DaemonAddress]:
        alive = filter(self._is_alive, self.ranked_holders)
        return list(itertools.islice(alive, BILL_HOLDERS))

    def _is_alive(self, peer: DaemonAddress) -> bool:
        """Return whether a peer has reported recently and is not draining."""
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
                self._pair_hash(peer),
            ),
        )

    def _pair_hash(self, peer: DaemonAddress) -> int:
        """Return a hash that orders peers differently on each daemon."""
        return xxhash.xxh64_intdigest(f"{self.instance}\0{peer.instance}".encode())

    def build(
        self,
        receivers: Iterable[DaemonAddress] = (),
        *,
        maximum_bytes: float = MAXIMUM_REPORT_BYTES,
        with_rows: bool = True,
    ) -> DaemonMessage:
        """Return a message with a report, without bills.

        ``receivers`` are the peers that get an echo of their last report. The report
        takes about ``maximum_bytes``: rows of loads and of outcomes are left out or
        merged first, then news waits for the next report. ``with_rows`` is false for a
        report of news only.
        """
        echoes = self.snapshots.echoes(receivers)
        findings = self._findings()
        room = maximum_bytes - REPORT_HEADER_BYTES - ECHO_BYTES * len(echoes)
        room -= len(findings) * FINDING_BYTES
        reserved = room * MINIMUM_ROWS_SHARE if with_rows else 0.0
        news = self.news.select(maximum_bytes=room - reserved)
        room -= news.size
        limits = self.limits.export(
            maximum_bytes=room * (LIMITS_SHARE if with_rows else 1.0),
            news_only=not with_rows,
        )
        room -= len(limits) * LIMIT_ROW_BYTES
        loads = outcomes = None
        tokens = []
        demand = []
        uses = []
        speeds = []
        brittle = []
        if with_rows:
            brittle = self.brittleness.export()
            room -= len(brittle) * BRITTLE_ROW_BYTES
            demand = self.demand.export()
            uses = self.shares.export(maximum_bytes=room * USES_SHARE)
            room -= len(demand) * DEMAND_ROW_BYTES + len(uses) * USE_ROW_BYTES
            speeds = self.loads.speeds.export(maximum_bytes=room * SPEEDS_SHARE)
            room -= len(speeds) * SPEED_ROW_BYTES
            tokens = self._token_rows(room * TOKENS_SHARE)
            room -= len(tokens) * TOKEN_ROW_BYTES
            loads, outcomes, size = self._rows(room)
            old = self.news.select_old(maximum_bytes=room - size)
            news.crashes += old.crashes
            news.leaving += old.leaving
        report = DaemonReport(
            loads=loads,
            outcomes=outcomes,
            crashes=news.crashes,
            bad_targets=self.rollouts.export_bad_targets(),
            draining=self.draining,
            leaving=news.leaving,
            reading=self.snapshots.digest,
            echoes=echoes,
            reads=self.directory.read_ages(),
            limits=limits,
            findings=findings,
            tokens=tokens,
            demand=demand,
            uses=uses,
            speeds=speeds,
            brittle=brittle,
            sent_at=round(self.clock.unix(), 2) if demand else 0.0,
        )
        message = self._message(report=report)
        self.snapshots.record_sent(message.sequence)
        return message

    def build_paces(
        self, *, maximum_bytes: float = MAXIMUM_REPORT_BYTES, news_only: bool = False
    ) -> DaemonMessage | None:
        """Return a report of paces alone, ``None`` if there are none to tell.

        Daemons of the version before can't read it, and so lose nothing else.
        """
        room = maximum_bytes - REPORT_HEADER_BYTES
        paces = self.limits.paces.export(maximum_bytes=room, news_only=news_only)
        if not paces:
            return None
        report = DaemonReport(
            loads=None,
            outcomes=None,
            crashes=[],
            bad_targets=[],
            leaving=[],
            draining=self.draining,
            paces=paces,
        )
        message = self._message(report=report)
        self.snapshots.record_sent(message.sequence)
        return message

    def _findings(self) -> list[PartFinding]:
        """Return the findings on parts of prompts, by turns if there are many."""
        findings = self.crashes.export_findings()
        if len(findings) <= MAXIMUM_FINDINGS:
            return findings
        first = self.findings_sent % len(findings)
        self.findings_sent += MAXIMUM_FINDINGS
        return (findings[first:] + findings[:first])[:MAXIMUM_FINDINGS]

    def _rows(
        self, maximum_bytes: float
    ) -> tuple[list[tuple[str, int, float]], list[tuple], float]:
        """Return the rows of loads and of outcomes and an estimate of their bytes."""
        loads = self._loads()
        outcomes_bytes = max(
            maximum_bytes - len(loads) * LOAD_ROW_BYTES,
            maximum_bytes * MINIMUM_OUTCOMES_SHARE,
        )
        exported = self.outcomes.export(
            self._group_of, maximum_rows=outcomes_bytes // OUTCOME_ROW_BYTES
        )
        size = len(exported.rows) * OUTCOME_ROW_BYTES
        kept = self._fold_loads(loads, int((maximum_bytes - size) // LOAD_ROW_BYTES))
        self._count_rows("load_folded", len(loads) - len(kept))
        self._count_rows("outcome_folded", exported.folded)
        self._count_rows("outcome_dropped", exported.dropped)
        return kept, exported.rows, size + len(kept) * LOAD_ROW_BYTES

    def _loads(self) -> list[tuple[str, int, float]]:
        """Return this daemon's load by endpoint, the highest first."""
        loads = [
            (endpoint.name, endpoint.in_flight, round(backlog, 3))
            for endpoint in self.table.endpoints.values()
            if (backlog := self.loads.backlog.get(endpoint.name, 0.0)) > 0
            or endpoint.in_flight
        ]
        loads.sort(key=lambda load: load[1:], reverse=True)
        return loads

    def _token_rows(self, maximum_bytes: float) -> list[tuple[str, int]]:
        """Return the tokens in flight by endpoint, the most first.

        Only endpoints whose memory may be full before their slots have rows, since
        these take the place of loads.
        """
        held = [
            (name, tokens)
            for name, tokens in self.loads.cache_tokens.items()
            if (endpoint := self.table.endpoints.get(name)) is not None
            and self.room.is_bound_by_memory(endpoint)
        ]
        held.sort(key=lambda row: row[1], reverse=True)
        kept = held[: int(max(maximum_bytes, 0.0) // TOKEN_ROW_BYTES)]
        self._count_rows("tokens_dropped", len(held) - len(kept))
        return kept

    def _fold_loads(
        self, loads: list[tuple[str, int, float]], maximum_rows: int
    ) -> list[tuple[str, int, float]]:
        """Merge the lowest loads into one row for each group, beyond a limit."""
        if len(loads) <= maximum_rows:
            return loads
        groups = {self._group_of(name) for name, _, _ in loads}
        kept = max(maximum_rows - len(groups), 0)
        in_flight_by_group: dict[str, int] = {}
        for name, in_flight, _ in loads[kept:]:
            group = self._group_of(name)
            if group is not None and in_flight:
                in_flight_by_group[group] = in_flight_by_group.get(group, 0) + in_flight
        folded = [(group, total, 0.0) for group, total in in_flight_by_group.items()]
        return loads[:kept] + folded

    def _count_rows(self, label: str, number: int) -> None:
        if number:
            self.metrics.count("report_rows_left_out", number, label=label)

    def _group_of(self, name: str) -> str | None:
        """Return the name of the group of an endpoint, or ``None`` if it is unknown."""
        endpoint = self.table.endpoints.get(name)
        if endpoint is None:
            return None
        return group_name(endpoint.service, version_of(endpoint))

    def build_bill_copy(self, copied: CopiedBills, *, owner: str = "") -> DaemonMessage:
        """Return a message with bills and without a report.

        ``owner`` is the incarnation whose bills they are, by default this daemon's.
        """
        message = self._message(copied_bills=copied)
        message.incarnation = owner or message.incarnation
        return message

    def apply(self, message: DaemonMessage) -> None:
        """Apply a peer's message.

        Bills, the position and the configuration's version are always applied; a report
        is ignored if a newer one of the same incarnation was applied before.
        """
        if message.instance == self.instance:
            return
        is_own = message.incarnation == self.incarnation
        if message.copied_bills is not None and not is_own:
            self.bill_replicas.apply(message.incarnation, message.copied_bills)
            self.bill_owners[message.instance] = self.clock.monotonic()
        self.on_position(message.position, message.configuration_version)
        if message.report is None or not self._accept_if_newer(message):
            return
        self.metrics.count("peer_messages", label="received")
        self.snapshots.record_received(
            message.instance, message.incarnation, message.sequence
        )
        self._apply_report(message.instance, message.report)
        confirmed = self.snapshots.confirm(
            message.report.reading, message.report.echoes
        )
        if confirmed is not None:
            self.on_confirmation(confirmed)

    def _accept_if_newer(self, message: DaemonMessage) -> bool:
        """Record a report and return true, unless a newer one was accepted before.

        If the peer has restarted, its earlier incarnation is marked as ended.
        """
        previous = self.peer_status.get(message.instance)
        same_incarnation = (
            previous is not None and previous.incarnation == message.incarnation
        )
        if same_incarnation and message.sequence <= previous.sequence:
            return False
        if previous is not None and not same_incarnation:
            self.bill_replicas.mark_ended(previous.incarnation)
        self.peer_status[message.instance] = PeerStatus(
            message.incarnation,
            message.sequence,
            self.clock.monotonic(),
            message.report.draining,
        )
        return True

    def _apply_report(self, peer: str, report: DaemonReport) -> None:
        if report.loads is not None:
            loads_by_endpoint = {
                name: (count, backlog) for name, count, backlog in report.loads
            }
            self.loads.learn(peer, loads_by_endpoint, dict(report.tokens))
            self.demand.learn(peer, report.demand, sent_at=report.sent_at)
            self.shares.learn(peer, report.uses)
            self.loads.speeds.learn_report(peer, report.speeds)
            self.brittleness.learn_report(report.brittle)
        if report.outcomes is not None:
            self.outcomes.learn(peer, report.outcomes)
        for suspect, endpoint, age in report.crashes:
            self.crashes.learn(suspect, endpoint, age=age)
        for finding in report.findings:
            self.crashes.learn_finding(finding)
        self.rollouts.add_bad_targets(report.bad_targets)
        self.limits.learn_report(report.limits)
        self.limits.paces.learn_report(report.paces)
        if report.reads is not None:
            self.directory.learn_reads(peer, *report.reads)
        departures = self.table.departures
        for name, incarnation in report.leaving:
            self.table.mark_leaving(name, incarnation)
        if self.table.departures > departures:
            self.on_news()

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
            position=self.position,
            configuration_version=self.configuration_version,
            report=report,
            copied_bills=copied_bills,
        )


def _ignore(value: float) -> None:
    """Do nothing; the default callback."""


def _ignore_position(position: Position, configuration_version: int) -> None:
    """Do nothing; the default callback."""


def _do_nothing() -> None:
    """Do nothing; the default action on news."""
