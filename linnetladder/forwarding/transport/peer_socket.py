"""News between daemons over UDP."""

import asyncio

from linnetladder.forwarding.coordination.peer_news import PeerNews
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.daemon_messages import (
    MAXIMUM_DATAGRAM_BYTES,
    CopiedBills,
    decode_message,
    encode_message,
)
from linnetladder.telemetry import Metrics, log_failure

__all__ = ["NewsSocket"]

# Often enough that two messages fit into the second within which a bad version or a
# crashing request should be known everywhere.
SEND_INTERVAL_SECONDS = 0.4
# A large fleet sends to a fixed number of peers a second, so it sends less often.
MAXIMUM_MESSAGES_PER_SECOND = 80.0


class PeerSocket(asyncio.DatagramProtocol):
    """Send this daemon's news to its peers and take in theirs."""

    def __init__(self, *, news: PeerNews, metrics: Metrics):
        self.news = news
        self.metrics = metrics
        self.secret = b""
        self.transport: asyncio.DatagramTransport | None = None
        self.send_requested = asyncio.Event()

    async def start(self, *, address: str, port: int) -> None:
        """Bind the socket; raise `OSError` if that is not possible."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address, port))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the socket."""
        self.transport = transport

    def error_received(self, exc: Exception) -> None:
        """Count what the network could not deliver."""
        self.metrics.count("peer_messages", label="undeliverable")

    def datagram_received(self, data: bytes, addr) -> None:
        """Take in a peer's news."""
        self.metrics.count("peer_bytes", len(data), label="received")
        news = decode_message(data, secret=self.secret) if self.secret else None
        if news is None:
            self.metrics.count("rejected_peers", label="news")
            return
        try:
            self.news.take(news)
        except Exception as error:
            log_failure("peer news failed", error)

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            receivers = self.news.receivers()
            pause = max(
                SEND_INTERVAL_SECONDS, len(receivers) / MAXIMUM_MESSAGES_PER_SECOND
            )
            await self._wait(pause)
            if self.secret and receivers:
                self._send(receivers)

    def send_soon(self) -> None:
        """Send the next report now instead of after its pause."""
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
        holders = self.news.bill_holders()
        news = self.news.build({*receivers, *holders})
        without_bills = encode_message(news, secret=self.secret)
        news.copied_bills = self.news.bills.copies()
        with_bills = encode_message(news, secret=self.secret)
        for receiver in receivers:
            if receiver not in holders:
                self._send_to(receiver, without_bills)
        for holder in holders:
            self._send_to(holder, with_bills)

    def send_bill(self, copied: CopiedBills) -> None:
        """Send one bill to the peers that hold this daemon's."""
        if self.transport is None or not self.secret:
            return
        news = self.news.build_bill_copy(copied)
        datagram = encode_message(news, secret=self.secret)
        for holder in self.news.bill_holders():
            self._send_to(holder, datagram)

    def _send_to(self, receiver: DaemonAddress, datagram: bytes) -> None:
        if len(datagram) > MAXIMUM_DATAGRAM_BYTES:
            self.metrics.count("peer_messages", label="too_large")
            return
        self.transport.sendto(datagram, (receiver.host, receiver.port))
        self.metrics.count("peer_messages", label="sent")
        self.metrics.count("peer_bytes", len(datagram), label="sent")
