"""Messages between daemons over UDP."""

import asyncio
import math

from linnetladder.forwarding.coordination.byte_budget import ByteBudget
from linnetladder.forwarding.coordination.crash_trials import CrashTrials
from linnetladder.forwarding.coordination.peer_gossip import (
    MAXIMUM_REPORT_BYTES,
    PEERS_PER_ROUND,
    PeerGossip,
)
from linnetladder.forwarding.coordination.shared_reads import SharedReads
from linnetladder.forwarding.coordination.slot_reservations import SlotReservations
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.daemon_variables import PeerSettings
from linnetladder.forwarding.protocol.daemon_messages import (
    MAXIMUM_DATAGRAM_BYTES,
    CopiedBills,
    DaemonMessage,
    decode_message,
    encode_message,
    sign_again,
)
from linnetladder.forwarding.protocol.read_messages import (
    ReadAnswer,
    ReadRequest,
    decode_read_message,
    encode_read_message,
)
from linnetladder.forwarding.protocol.slot_messages import (
    SlotAnswer,
    SlotReport,
    decode_slot_message,
    encode_slot_message,
)
from linnetladder.forwarding.protocol.trial_messages import (
    TrialAnswer,
    TrialRequest,
    decode_trial_message,
    encode_trial_message,
)
from linnetladder.telemetry import Metrics, log_failure

__all__ = ["PeerSocket"]

# Short enough for two messages within the second in which all daemons should learn of a
# bad version or a crashing request.
SEND_INTERVAL_SECONDS = 0.4
# Interval between a triggered report and the next one.
MINIMUM_INTERVAL_SECONDS = 0.1
# With many receivers a report becomes smaller, but not below this.
MINIMUM_REPORT_BYTES = 640
# Share of the budget that regular rounds take in fleets in which they do not reach all
# peers, where news depends on triggered rounds.
REGULAR_SHARE = 0.85
# Share of the budget that reports of paces may take, and the size of one. Small ones
# reach more peers, who pass them on.
PACES_SHARE = 0.12
PACES_REPORT_BYTES = 480
# Room for rows that turn out larger than estimated when a report is built again.
REBUILD_MARGIN = 0.9
# Growth of the ratio of estimated to encoded bytes for each report with room left.
RATIO_GROWTH = 1.02
MAXIMUM_RATIO = 1.5
# A secret that was replaced is understood for this long, since a peer may not be able
# to read the new one from the store yet.
PREVIOUS_SECRET_SECONDS = 30.0
# Reports that came out too large are built again, at most this often.
MAXIMUM_REBUILDS = 2


class PeerSocket(asyncio.DatagramProtocol):
    """Sends this daemon's messages to its peers and receives theirs.

    ``secret`` signs the messages. Until it is set, none is sent or accepted.
    ``lagging`` holds the peers that still sign with the secret before; messages to them
    are signed with that, too. Reports keep to a budget of bytes; each regular round
    takes what has been refilled since the last one. News triggers a round that carries
    only news and takes some of the rest. A long prompt brings the next regular round
    forward.
    """

    def __init__(
        self,
        *,
        gossip: PeerGossip,
        metrics: Metrics,
        settings: PeerSettings | None = None,
        shared_reads: SharedReads | None = None,
        reservations: SlotReservations | None = None,
        trials: CrashTrials | None = None,
    ):
        self.gossip = gossip
        self.shared_reads = shared_reads
        if shared_reads is not None:
            shared_reads.send = self.send_read_message
        self.reservations = reservations
        if reservations is not None:
            reservations.send = self.send_slot_message
        self.trials = trials
        if trials is not None:
            trials.send = self.send_trial_message
        settings = settings or PeerSettings()
        self.budget = ByteBudget(bytes_per_second=settings.report_bytes_per_second)
        self.paces_budget = ByteBudget(
            bytes_per_second=settings.report_bytes_per_second * PACES_SHARE
        )
        self.round_bytes = settings.report_bytes_per_second * SEND_INTERVAL_SECONDS
        self.estimate_ratio = 1.0
        self.metrics = metrics
        self.secret = b""
        self.previous_secret = b""
        self.previous_until = -math.inf
        self.lagging: set[str] = set()
        self.transport: asyncio.DatagramTransport | None = None
        self.send_requested = asyncio.Event()
        self.loads_requested = False

    def use_secret(self, secret: bytes) -> None:
        """Sign messages with a secret; the one before is understood for a while."""
        if self.secret and secret != self.secret:
            self.previous_secret = self.secret
            now = self.gossip.clock.monotonic()
            self.previous_until = now + PREVIOUS_SECRET_SECONDS
        self.secret = secret

    async def start(self, *, address: str, port: int) -> None:
        """Bind the socket; raise `OSError` if that fails."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address, port))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport for sending."""
        self.transport = transport

    def error_received(self, exc: Exception) -> None:
        """Count a message that could not be delivered."""
        self.metrics.count("peer_messages", label="undeliverable")

    def datagram_received(self, data: bytes, addr) -> None:
        """Verify and process a peer's message."""
        self.metrics.count("peer_bytes", len(data), label="received")
        read_message = decode_read_message(data, secrets=self.accepted_secrets())
        if read_message is not None and self.shared_reads is not None:
            self.shared_reads.receive(read_message)
            return
        slot_message = decode_slot_message(data, secrets=self.accepted_secrets())
        if slot_message is not None and self.reservations is not None:
            self.reservations.receive(slot_message)
            return
        trial_message = decode_trial_message(data, secrets=self.accepted_secrets())
        if trial_message is not None and self.trials is not None:
            self.trials.receive(trial_message)
            return
        gossip = self._decode(data)
        if gossip is None:
            self.metrics.count("rejected_peers", label="news")
            return
        try:
            self.gossip.apply(gossip)
        except Exception as error:
            log_failure("processing a peer message failed", error)

    def _decode(self, data: bytes) -> DaemonMessage | None:
        """Return a message signed with the secret or, for a while, the one before."""
        if not self.secret:
            return None
        message = decode_message(data, secret=self.secret)
        if message is not None:
            self.lagging.discard(message.instance)
        elif self._previous_is_valid():
            message = decode_message(data, secret=self.previous_secret)
            if message is not None:
                self.lagging.add(message.instance)
        return message

    def accepted_secrets(self) -> tuple[bytes, ...]:
        """Return the secret and, for a while, the one before."""
        if not self.secret:
            return ()
        previous = (self.previous_secret,) if self._previous_is_valid() else ()
        return (self.secret, *previous)

    def _previous_is_valid(self) -> bool:
        return self.gossip.clock.monotonic() < self.previous_until

    async def run(self) -> None:
        """Send messages until cancelled."""
        loop = asyncio.get_running_loop()
        next_round = loop.time() + SEND_INTERVAL_SECONDS
        while True:
            requested = await self._wait(next_round - loop.time())
            now = loop.time()
            urgent = requested and now < next_round and not self.loads_requested
            if not urgent:
                next_round = now + SEND_INTERVAL_SECONDS
                self.loads_requested = False
            try:
                self.send_round(now=now, urgent=urgent)
            except Exception as error:
                log_failure("sending reports to peers failed", error)
            if requested:
                pause = min(MINIMUM_INTERVAL_SECONDS, next_round - now)
                await asyncio.sleep(pause)

    def send_soon(self) -> None:
        """Send news without waiting for the interval to end."""
        self.send_requested.set()

    def send_loads_soon(self) -> None:
        """Bring the next regular round forward, if it reaches all peers."""
        if len(self.gossip.peers) <= PEERS_PER_ROUND:
            self.loads_requested = True
            self.send_requested.set()

    async def _wait(self, seconds: float) -> bool:
        """Wait; return true, without waiting further, when a report is requested."""
        try:
            async with asyncio.timeout(seconds):
                await self.send_requested.wait()
        except TimeoutError:
            return False
        finally:
            self.send_requested.clear()
        return True

    def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def send_round(self, *, now: float, urgent: bool = False) -> None:
        """Send a report to the receivers of a round, as far as the budget allows.

        ``now`` is in seconds of a clock that does not go back. An urgent round only
        carries news, and leaves enough of the budget for the regular ones.
        """
        self.budget.refill(now)
        if self.reservations is not None and not urgent:
            self.reservations.refresh()
        bill_peers = self.gossip.bill_peers()
        receivers = list(dict.fromkeys((*bill_peers, *self.gossip.receivers())))
        if not self.secret or not receivers:
            return
        self._send_paces(receivers, now=now, urgent=urgent)
        holders = self.gossip.bill_holders()
        size_limit = self._size_limit(len(receivers))
        gossip, datagram = self._build(
            receivers,
            MAXIMUM_REPORT_BYTES if urgent else size_limit,
            with_rows=not urgent,
        )
        gossip.copied_bills = self.gossip.bills.copies()
        with_bills = encode_message(gossip, secret=self.secret)
        reserve = 0.0
        if urgent:
            reserve = min(len(bill_peers) * size_limit, self.budget.capacity)
        elif len(receivers) < len(self.gossip.peers):
            reserve = self.budget.available - self.round_bytes * REGULAR_SHARE
        for receiver in receivers:
            kept = 0.0 if receiver in bill_peers and not urgent else reserve
            if not self.budget.spend(len(datagram), reserve=kept):
                self.metrics.count("peer_messages", label="over_budget")
                continue
            self._send_to(receiver, with_bills if receiver in holders else datagram)
            self.gossip.record_sent(receiver)

    def _send_paces(
        self, receivers: list[DaemonAddress], *, now: float, urgent: bool
    ) -> None:
        """Send a report of paces to as many receivers as their share allows."""
        self.paces_budget.refill(now)
        if self.paces_budget.available < PACES_REPORT_BYTES:
            return
        paces = self.gossip.build_paces(
            maximum_bytes=PACES_REPORT_BYTES, news_only=urgent
        )
        if paces is None:
            return
        datagram = encode_message(paces, secret=self.secret)
        for receiver in receivers:
            if not self.paces_budget.spend(len(datagram)):
                break
            if self.budget.spend(len(datagram)):
                self._send_to(receiver, datagram)

    def _size_limit(self, receivers: int) -> float:
        """Return the bytes of a report with which a round keeps within its budget."""
        return min(
            max(self.round_bytes / receivers, MINIMUM_REPORT_BYTES),
            MAXIMUM_REPORT_BYTES,
        )

    def _build(
        self, receivers: list[DaemonAddress], size_limit: float, *, with_rows: bool
    ) -> tuple[DaemonMessage, bytes]:
        """Return a message and its encoding of at most about ``size_limit`` bytes.

        The ratio between the estimate of a report and its encoding is kept from one
        report to the next, so that few have to be built again.
        """
        ratio = self.estimate_ratio if with_rows else 1.0
        for _ in range(1 + MAXIMUM_REBUILDS):
            gossip = self.gossip.build(
                receivers, maximum_bytes=size_limit * ratio, with_rows=with_rows
            )
            datagram = encode_message(gossip, secret=self.secret)
            if len(datagram) <= size_limit:
                break
            ratio *= REBUILD_MARGIN * size_limit / len(datagram)
        if with_rows:
            unused = len(datagram) < REBUILD_MARGIN * size_limit
            growth = RATIO_GROWTH if unused else 1.0
            self.estimate_ratio = min(ratio * growth, MAXIMUM_RATIO)
        return gossip, datagram

    def send_bill(self, copied: CopiedBills) -> None:
        """Send copies of bills to the peers that keep this daemon's bills."""
        self.send_copies_of("", copied)

    def send_copies_of(self, owner: str, copied: CopiedBills) -> None:
        """Send copies of the bills of another incarnation to the same peers."""
        if self.transport is None or not self.secret:
            return
        gossip = self.gossip.build_bill_copy(copied, owner=owner)
        datagram = encode_message(gossip, secret=self.secret)
        for holder in self.gossip.bill_holders():
            self._send_to(holder, datagram)

    def send_read_message(
        self, message: ReadRequest | ReadAnswer, host: str, port: int
    ) -> bool:
        """Send a message on a shared read; return false if that is not possible."""
        if self.transport is None or not self.secret:
            return False
        datagram = encode_read_message(message, secret=self.secret)
        if datagram is None:
            return False
        self.transport.sendto(datagram, (host, port))
        self.metrics.count("peer_bytes", len(datagram), label="sent")
        return True

    def send_slot_message(
        self, message: SlotReport | SlotAnswer, receiver: DaemonAddress
    ) -> bool:
        """Send a message on reservations; return false if that is not possible."""
        if self.transport is None or not self.secret:
            return False
        self._send_to(receiver, encode_slot_message(message, secret=self.secret))
        return True

    def send_trial_message(
        self, message: TrialRequest | TrialAnswer, receiver: DaemonAddress
    ) -> bool:
        """Send a message on trials; return false if that is not possible."""
        if self.transport is None or not self.secret:
            return False
        self._send_to(receiver, encode_trial_message(message, secret=self.secret))
        return True

    def _send_to(self, receiver: DaemonAddress, datagram: bytes) -> None:
        if len(datagram) > MAXIMUM_DATAGRAM_BYTES:
            self.metrics.count("peer_messages", label="too_large")
            return
        if receiver.instance in self.lagging and self._previous_is_valid():
            datagram = sign_again(datagram, secret=self.previous_secret)
        self.transport.sendto(datagram, (receiver.host, receiver.port))
        self.metrics.count("peer_messages", label="sent")
        self.metrics.count("peer_bytes", len(datagram), label="sent")
