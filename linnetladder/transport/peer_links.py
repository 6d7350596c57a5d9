"""Links to peers over gRPC with mutual TLS, each with one bidirectional stream.

A peer proves its instance name by its certificate: the accepting side compares the
certificate with the hello, the dialing side with the name that it dialed. A link is
closed if the peer sends more than its rate limit allows, or reads so slowly that the
send queue fills up.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator
from pathlib import Path

import grpc

from linnetladder.coordination.admission.limits import TokenBucket
from linnetladder.coordination.peers.links import Link, Peers
from linnetladder.coordination.peers.messages import Hello, Neighbour, PeerMessage
from linnetladder.protocol.generated import peer_pb2 as pb
from linnetladder.protocol.generated import peer_pb2_grpc
from linnetladder.protocol.peers import decode_frame, encode_frame
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_change, log_failure

__all__ = ["Certificates", "PeerTransport"]

MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024
MAXIMUM_QUEUED_FRAMES = 4096
RECEIVE_BYTES_PER_SECOND = 8 * 1024 * 1024
RECEIVE_BURST_BYTES = 64 * 1024 * 1024
BYTES_PER_KIBIBYTE = 1024
STREAM_END_ERRORS = (grpc.RpcError, grpc.aio.UsageError, asyncio.CancelledError)
HELLO_TIMEOUT_SECONDS = 3.0
DIAL_INTERVAL_SECONDS = 1.0
CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAXIMUM_FRAME_BYTES),
    ("grpc.max_send_message_length", MAXIMUM_FRAME_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Certificates:
    """The TLS files of this daemon: certificate, private key and certificate authority.

    The files are reloaded when they change.
    """

    certificate: Path
    key: Path
    authority: Path

    def read(self) -> tuple[bytes, bytes, bytes]:
        """Return the contents of the certificate, the key and the authority file."""
        return (
            self.certificate.read_bytes(),
            self.key.read_bytes(),
            self.authority.read_bytes(),
        )

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Return the client credentials, read from the current files."""
        certificate, key, authority = self.read()
        return grpc.ssl_channel_credentials(
            root_certificates=authority, private_key=key, certificate_chain=certificate
        )

    def server_credentials(self) -> grpc.ServerCredentials:
        """Return server credentials that require a client certificate.

        The files are checked for changes at every new connection. While they can't be
        read, the last configuration stays in use.
        """
        previous = self.read()

        def reload_if_changed() -> grpc.ServerCertificateConfiguration | None:
            nonlocal previous
            try:
                current = self.read()
            except OSError:
                return None
            if current == previous:
                return None
            previous = current
            return _server_configuration(current)

        return grpc.dynamic_ssl_server_credentials(
            _server_configuration(previous),
            reload_if_changed,
            require_client_authentication=True,
        )


def _server_configuration(
    contents: tuple[bytes, bytes, bytes],
) -> grpc.ServerCertificateConfiguration:
    certificate, key, authority = contents
    return grpc.ssl_server_certificate_configuration(
        ((key, certificate),), root_certificates=authority
    )


class GrpcLink(Link):
    """One stream to a peer, with a queue of the frames to send."""

    def __init__(self, *, hello: Hello, dialer: str, clock: Clock, metrics: Metrics):
        now = clock.monotonic()
        super().__init__(hello=hello, dialer=dialer, now=now)
        self.clock = clock
        self.metrics = metrics
        self.queue: asyncio.Queue[pb.Frame | None] = asyncio.Queue()
        self.ended = asyncio.Event()
        self.receive_bucket = TokenBucket(
            RECEIVE_BYTES_PER_SECOND / BYTES_PER_KIBIBYTE,
            RECEIVE_BURST_BYTES / BYTES_PER_KIBIBYTE,
            0.0,
            now,
        )
        self.receive_bucket.tokens = self.receive_bucket.burst

    def send(self, message: PeerMessage) -> None:
        """Queue a message; close the link if the queue is full."""
        if self.ended.is_set():
            return
        if self.queue.qsize() >= MAXIMUM_QUEUED_FRAMES:
            self.metrics.count("rejected_peers", label="does_not_keep_up")
            self.close("send queue is full")
            return
        self.queue.put_nowait(encode_frame(message))

    def close(self, reason: str) -> None:
        """End the stream and log the reason."""
        if not self.ended.is_set():
            log_change("peer link closed", peer=self.hello.instance, reason=reason)
            self.ended.set()
            self.queue.put_nowait(None)

    def record_received(self, size: int) -> bool:
        """Count a received frame; return whether the peer is within its rate limit."""
        self.metrics.count("peer_messages", label="received")
        self.metrics.count("peer_bytes", size, label="received")
        now = self.clock.monotonic()
        elapsed = now - self.receive_bucket.updated
        refilled = self.receive_bucket.tokens + elapsed * self.receive_bucket.rate
        self.receive_bucket.tokens = (
            min(refilled, self.receive_bucket.burst) - size / BYTES_PER_KIBIBYTE
        )
        self.receive_bucket.updated = now
        return self.receive_bucket.tokens >= 0

    async def frames(self, own_hello: Hello) -> AsyncIterator[pb.Frame]:
        """Yield the hello, then the queued frames, until the link ends."""
        yield encode_frame(own_hello)
        while True:
            frame = await self.queue.get()
            if frame is None:
                return
            self.metrics.count("peer_messages", label="sent")
            self.metrics.count("peer_bytes", frame.ByteSize(), label="sent")
            yield frame


class PeerTransport(peer_pb2_grpc.PeerServicer):
    """Accept links from peers and dial the peers chosen by `Peers`."""

    def __init__(
        self,
        *,
        peers: Peers,
        certificates: Certificates,
        clock: Clock,
        metrics: Metrics,
    ):
        self.peers = peers
        self.certificates = certificates
        self.clock = clock
        self.metrics = metrics
        self.server: grpc.aio.Server | None = None
        self.dial_tasks: dict[str, asyncio.Task] = {}

    async def start(self, *, address: str, port: int) -> int:
        """Listen and return the port; raise `OSError` if the port can't be bound."""
        self.server = grpc.aio.server(
            options=(*CHANNEL_OPTIONS, ("grpc.so_reuseport", 0))
        )
        peer_pb2_grpc.add_PeerServicer_to_server(self, self.server)
        credentials = self.certificates.server_credentials()
        try:
            bound_port = self.server.add_secure_port(f"{address}:{port}", credentials)
        except RuntimeError as error:
            raise OSError(f"can't bind peer port {port}: {error}") from error
        await self.server.start()
        return bound_port

    async def stop(self) -> None:
        """Close all links and stop listening."""
        for task in tuple(self.dial_tasks.values()):
            task.cancel()
        for link in tuple(self.peers.links.values()):
            link.close("daemon is shutting down")
        if self.server is not None:
            await self.server.stop(0.1)

    async def run(self) -> None:
        """Dial the chosen peers that have no link yet, until cancelled."""
        while True:
            for neighbour in self.peers.peers_to_dial():
                if neighbour.instance not in self.dial_tasks:
                    task = asyncio.ensure_future(self._dial(neighbour))
                    task.add_done_callback(_log_task_failure)
                    self.dial_tasks[neighbour.instance] = task
            await asyncio.sleep(DIAL_INTERVAL_SECONDS)

    async def Link(self, request_iterator, context):  # noqa: N802
        """Serve one link that a peer has dialed."""
        link = await self._accept(request_iterator, context)
        if link is None:
            return
        read_task = asyncio.ensure_future(self._read(link, request_iterator))
        try:
            async for frame in link.frames(self.peers.own):
                yield frame
        finally:
            link.close("the stream ended")
            read_task.cancel()
            self.peers.closed(link)

    async def _accept(self, request_iterator, context) -> GrpcLink | None:
        """Read the hello and check it against the peer's certificate."""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                hello = decode_frame(await anext(request_iterator))
        except (TimeoutError, StopAsyncIteration, grpc.RpcError):
            return None
        if not isinstance(hello, Hello):
            self.metrics.count("rejected_peers", label="no_hello")
            return None
        common_names = context.auth_context().get("x509_common_name", [])
        if hello.instance.encode() not in common_names:
            self.metrics.count("rejected_peers", label="certificate")
            log_change(
                "peer certificate does not match the instance", peer=hello.instance
            )
            return None
        link = self._build_link(hello, dialer=hello.instance)
        return link if self.peers.opened(link) else None

    async def _dial(self, neighbour: Neighbour) -> None:
        """Dial a peer and serve the link until it ends."""
        try:
            credentials = self.certificates.channel_credentials()
        except OSError as error:
            log_change("certificates can't be read", error=str(error))
            self.dial_tasks.pop(neighbour.instance, None)
            return
        options = (
            *CHANNEL_OPTIONS,
            ("grpc.ssl_target_name_override", neighbour.instance),
        )
        try:
            async with grpc.aio.secure_channel(
                neighbour.peer_address, credentials, options
            ) as channel:
                await self._run_dialed_link(channel)
        except (TimeoutError, grpc.RpcError, OSError):
            return
        finally:
            self.dial_tasks.pop(neighbour.instance, None)

    async def _run_dialed_link(self, channel: grpc.aio.Channel) -> None:
        link: GrpcLink | None = None
        opened_link = asyncio.get_running_loop().create_future()

        async def outgoing() -> AsyncIterator[pb.Frame]:
            yield encode_frame(self.peers.own)
            opened: GrpcLink = await opened_link
            frames = opened.frames(self.peers.own)
            await anext(frames)
            async for frame in frames:
                yield frame

        call = peer_pb2_grpc.PeerStub(channel).Link(outgoing())
        incoming = aiter(call)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                hello = decode_frame(await anext(incoming))
            if not isinstance(hello, Hello):
                return
            link = self._build_link(hello, dialer=self.peers.own.instance)
            if not self.peers.opened(link):
                return
            opened_link.set_result(link)
            await self._read(link, incoming)
        finally:
            if link is not None:
                link.close("the stream ended")
                self.peers.closed(link)
            if not opened_link.done():
                opened_link.cancel()
            call.cancel()

    async def _read(self, link: GrpcLink, frames) -> None:
        """Process a link's frames until the link ends."""
        ended = asyncio.ensure_future(link.ended.wait())
        read_task = asyncio.ensure_future(self._process_frames(link, frames))
        try:
            await asyncio.wait((ended, read_task), return_when="FIRST_COMPLETED")
        finally:
            ended.cancel()
            read_task.cancel()
            with contextlib.suppress(*STREAM_END_ERRORS):
                await read_task

    async def _process_frames(self, link: GrpcLink, frames) -> None:
        async for frame in frames:
            if not link.record_received(frame.ByteSize()):
                self.metrics.count("rejected_peers", label="sends_too_much")
                link.close("receive rate limit exceeded")
                return
            message = decode_frame(frame)
            if message is not None:
                await self.peers.received(link, message)
        link.close("the peer ended the stream")

    def _build_link(self, hello: Hello, *, dialer: str) -> GrpcLink:
        return GrpcLink(
            hello=hello, dialer=dialer, clock=self.clock, metrics=self.metrics
        )


def _log_task_failure(task: asyncio.Task) -> None:
    """Log an unhandled exception of a dial task, which nothing awaits."""
    if not task.cancelled() and task.exception() is not None:
        log_failure("peer link failed", task.exception())
