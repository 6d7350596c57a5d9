"""Messages between daemons over UDP."""

import asyncio

from linnetladder.forwarding.coordination.peer_gossip import PeerGossip
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.daemon_messages import (
    MAXIMUM_DATAGRAM_BYTES,
    CopiedBills,
    decode_message,
    encode_message,
)
from linnetladder.telemetry import Metrics, log_failure

__all__ = ["PeerSocket"]

# Short enough for two messages within the second in which all daemons should learn of a
# bad version or a crashing request.
SEND_INTERVAL_SECONDS = 0.4
# With many receivers the interval grows, so that the rate stays below this.
MAXIMUM_MESSAGES_PER_SECOND = 80.0


class PeerSocket(asyncio.DatagramProtocol):
    """Sends this daemon's messages to its peers and receives theirs.

    ``secret`` signs the messages. Until it is set, none is sent or accepted.
    """

    def __init__(self, *, gossip: PeerGossip, metrics: Metrics):
        self.gossip = gossip
        self.metrics = metrics
        self.secret = b""
        self.transport: asyncio.DatagramTransport | None = None
        self.send_requested = asyncio.Event()

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
        gossip = decode_message(data, secret=self.secret) if self.secret else None
        if gossip is None:
            self.metrics.count("rejected_peers", label="news")
            return
        try:
            self.gossip.apply(gossip)
        except Exception as error:
            log_failure("processing a peer message failed", error)

    async def run(self) -> None:
        """Send messages until cancelled."""
        while True:
            receivers = self.gossip.receivers()
            pause = max(
                SEND_INTERVAL_SECONDS, len(receivers) / MAXIMUM_MESSAGES_PER_SECOND
            )
            await self._wait(pause)
            if self.secret and receivers:
                self._send(receivers)

    def send_soon(self) -> None:
        """Send the next message without waiting for the interval to end."""
        self.send_requested.set()

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self.send_requested.wait()
        except TimeoutError:
            return
        finally:
            self.send_requested.clear()

    def stop(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def _send(self, receivers: list[DaemonAddress]) -> None:
        holders = self.gossip.bill_holders()
        gossip = self.gossip.build({*receivers, *holders})
        without_bills = encode_message(gossip, secret=self.secret)
        gossip.copied_bills = self.gossip.bills.copies()
        with_bills = encode_message(gossip, secret=self.secret)
        for receiver in receivers:
            if receiver not in holders:
                self._send_to(receiver, without_bills)
        for holder in holders:
            self._send_to(holder, with_bills)

    def send_bill(self, copied: CopiedBills) -> None:
        """Send copies of bills to the peers that keep this daemon's bills."""
        if self.transport is None or not self.secret:
            return
        gossip = self.gossip.build_bill_copy(copied)
        datagram = encode_message(gossip, secret=self.secret)
        for holder in self.gossip.bill_holders():
            self._send_to(holder, datagram)

    def _send_to(self, receiver: DaemonAddress, datagram: bytes) -> None:
        if len(datagram) > MAXIMUM_DATAGRAM_BYTES:
            self.metrics.count("peer_messages", label="too_large")
            return
        self.transport.sendto(datagram, (receiver.host, receiver.port))
        self.metrics.count("peer_messages", label="sent")
        self.metrics.count("peer_bytes", len(datagram), label="sent")
