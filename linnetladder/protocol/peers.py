"""Conversion between peer-protocol frames and the data classes of coordination."""

from linnetladder.coordination.attempts.poison import Crash
from linnetladder.coordination.billing.writer import BillBlock
from linnetladder.coordination.peers.messages import (
    BillCopy,
    BillHeld,
    BillRecorded,
    Departure,
    Facts,
    Heartbeat,
    Hello,
    ManifestReply,
    ManifestRequest,
    Neighbour,
    PartsReply,
    PartsRequest,
    PeerMessage,
)
from linnetladder.coordination.platform import Put
from linnetladder.protocol.generated import peer_pb2 as pb
from linnetladder.state import EndpointReport, VersionRef

__all__ = ["decode_frame", "encode_frame"]


def encode_frame(message: PeerMessage) -> pb.Frame:
    """Encode a message as a frame."""
    match message:
        case Hello():
            return pb.Frame(
                hello=pb.Hello(
                    protocol=message.protocol,
                    instance=message.instance,
                    incarnation=message.incarnation,
                    failure_domain=message.failure_domain,
                    peer_address=message.peer_address,
                )
            )
        case Heartbeat():
            return pb.Frame(heartbeat=_encode_heartbeat(message))
        case BillCopy(block):
            return pb.Frame(bill_copy=_encode_block(block))
        case BillHeld(incarnation, sequence):
            name = pb.BlockName(incarnation=incarnation, sequence=sequence)
            return pb.Frame(bill_held=name)
        case BillRecorded(incarnation, sequence):
            name = pb.BlockName(incarnation=incarnation, sequence=sequence)
            return pb.Frame(bill_stands=name)
        case Facts():
            return pb.Frame(facts=_encode_facts(message))
        case ManifestRequest():
            return pb.Frame(manifest_request=pb.ManifestRequest())
        case ManifestReply(manifest, keys, endpoints):
            reply = pb.ManifestReply(
                manifest=manifest,
                keys=keys,
                endpoints=[_encode_endpoint(entry) for entry in endpoints],
            )
            return pb.Frame(manifest_reply=reply)
        case PartsRequest(digests):
            return pb.Frame(parts_request=pb.PartsRequest(digests=digests))
        case PartsReply(contents):
            return pb.Frame(parts_reply=pb.PartsReply(contents=contents))


def decode_frame(frame: pb.Frame) -> PeerMessage | None:
    """Decode the message of a frame; ``None`` if its type is unknown."""
    match frame.WhichOneof("message"):
        case "hello":
            hello = frame.hello
            return Hello(
                protocol=hello.protocol,
                instance=hello.instance,
                incarnation=hello.incarnation,
                failure_domain=hello.failure_domain,
                peer_address=hello.peer_address,
            )
        case "heartbeat":
            return _decode_heartbeat(frame.heartbeat)
        case "bill_copy":
            return BillCopy(_decode_block(frame.bill_copy))
        case "bill_held":
            return BillHeld(frame.bill_held.incarnation, frame.bill_held.sequence)
        case "bill_stands":
            return BillRecorded(
                frame.bill_stands.incarnation, frame.bill_stands.sequence
            )
        case "facts":
            return _decode_facts(frame.facts)
        case "manifest_request":
            return ManifestRequest()
        case "manifest_reply":
            reply = frame.manifest_reply
            endpoints = tuple(_decode_endpoint(entry) for entry in reply.endpoints)
            return ManifestReply(reply.manifest, tuple(reply.keys), endpoints)
        case "parts_request":
            return PartsRequest(tuple(frame.parts_request.digests))
        case "parts_reply":
            return PartsReply(tuple(frame.parts_reply.contents))
    return None


def _encode_heartbeat(message: Heartbeat) -> pb.Heartbeat:
    return pb.Heartbeat(
        revision=message.revision,
        checkpoint_id=message.checkpoint_id,
        confirmed_age_seconds=message.confirmed_age_seconds,
        sent_at=message.sent_at,
        echo=message.echo,
        draining=message.draining,
        neighbours=[
            pb.Neighbour(
                instance=entry.instance,
                failure_domain=entry.failure_domain,
                peer_address=entry.peer_address,
            )
            for entry in message.neighbours
        ],
    )


def _decode_heartbeat(frame: pb.Heartbeat) -> Heartbeat:
    return Heartbeat(
        revision=frame.revision,
        checkpoint_id=frame.checkpoint_id,
        confirmed_age_seconds=frame.confirmed_age_seconds,
        sent_at=frame.sent_at,
        echo=frame.echo,
        draining=frame.draining,
        neighbours=tuple(
            Neighbour(entry.instance, entry.failure_domain, entry.peer_address)
            for entry in frame.neighbours
        ),
    )


def _encode_block(block: BillBlock) -> pb.BillCopy:
    return pb.BillCopy(
        incarnation=block.incarnation,
        sequence=block.sequence,
        content=block.content,
        writes=[
            pb.Write(key=put.key, value=put.value, lease_id=put.lease_id)
            for put in block.puts
        ],
    )


def _decode_block(frame: pb.BillCopy) -> BillBlock:
    return BillBlock(
        incarnation=frame.incarnation,
        sequence=frame.sequence,
        content=frame.content,
        puts=tuple(Put(w.key, w.value, w.lease_id) for w in frame.writes),
    )


def _encode_facts(message: Facts) -> pb.Facts:
    return pb.Facts(
        crashes=[
            pb.Crash(fingerprint=crash.fingerprint, endpoint=crash.endpoint)
            for crash in message.crashes
        ],
        departures=[
            pb.Departure(endpoint=entry.endpoint, incarnation=entry.incarnation)
            for entry in message.departures
        ],
    )


def _decode_facts(frame: pb.Facts) -> Facts:
    return Facts(
        tuple(Crash(crash.fingerprint, crash.endpoint) for crash in frame.crashes),
        tuple(
            Departure(entry.endpoint, entry.incarnation) for entry in frame.departures
        ),
    )


def _encode_endpoint(report: EndpointReport) -> pb.Endpoint:
    return pb.Endpoint(
        name=report.name,
        incarnation=report.incarnation,
        address=report.address,
        failure_domain=report.failure_domain,
        service=report.service,
        versions=[str(ref) for ref in report.versions or ()],
        capacity=report.capacity or 1,
        leaving=report.leaving,
    )


def _decode_endpoint(frame: pb.Endpoint) -> EndpointReport:
    return EndpointReport(
        name=frame.name,
        incarnation=frame.incarnation,
        address=frame.address,
        failure_domain=frame.failure_domain,
        service=frame.service,
        versions=frozenset(VersionRef.parse(text) for text in frame.versions),
        capacity=frame.capacity,
        leaving=frame.leaving,
    )
