"""Messages between daemons: authentication, ordering, receivers and their effects."""

import dataclasses

from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.daemon_messages import (
    decode_message,
    encode_message,
)
from linnetladder.forwarding.transport import PeerSocket
from tests.support.forwarding import LocalDaemon, ManualClock, head, ready_daemon

SECRET = b"secret"


def test_a_signed_message_round_trips_and_a_forged_or_cut_one_is_rejected():
    daemon = ready_daemon()
    daemon.crashes.learn("f", "engine-1:1")
    daemon.answer(head("/fetch/1"))
    message = daemon.peers.build()
    message.copied_bills = daemon.bills.copies()
    assert message.copied_bills.blocks
    datagram = encode_message(message, secret=SECRET)
    assert decode_message(datagram, secret=SECRET) == message
    assert decode_message(datagram, secret=b"other") is None
    assert decode_message(datagram[:-1], secret=SECRET) is None
    assert decode_message(b"", secret=SECRET) is None


def test_older_messages_of_the_same_incarnation_are_ignored():
    clock = ManualClock()
    sender = ready_daemon(name="daemon-1", clock=clock)
    receiver = ready_daemon(name="daemon-2", clock=clock)
    engine = sender.table.endpoints["engine-1"]
    engine.in_flight = 5
    old = sender.peers.build()
    engine.in_flight = 1
    receiver.peers.apply(sender.peers.build())
    receiver.peers.apply(old)
    assert receiver.loads.in_flight_of(receiver.table.endpoints["engine-1"]) == 1


def test_the_first_message_of_a_restarted_peer_is_accepted():
    clock = ManualClock()
    receiver = ready_daemon(name="daemon-2", clock=clock)
    first = ready_daemon(name="daemon-1", clock=clock)
    for _ in range(5):
        receiver.peers.apply(first.peers.build())
    restarted = ready_daemon(name="daemon-1", clock=clock)
    restarted.peers.incarnation = "another"
    restarted.crashes.learn("f", "engine-1:1")
    receiver.peers.apply(restarted.peers.build())
    assert receiver.crashes.crashes("f") == 1


def test_a_leaving_endpoint_reported_by_a_peer_is_marked_as_leaving():
    clock = ManualClock()
    sender = ready_daemon(name="daemon-1", clock=clock)
    receiver = ready_daemon(name="daemon-2", clock=clock)
    endpoint = sender.table.endpoints["engine-1"]
    sender.directory.mark_leaving(endpoint, reason="test")
    receiver.peers.apply(sender.peers.build())
    assert receiver.table.endpoints["engine-1"].leaving


def test_a_newer_position_at_a_peer_triggers_a_read():
    daemon = ready_daemon()
    position = daemon.poller.position
    daemon.peers.on_position(position, 1)
    assert not daemon.poller.read_requested.is_set()
    newer = dataclasses.replace(position, revision=position.revision + 1)
    daemon.peers.on_position(newer, 1)
    assert daemon.poller.read_requested.is_set()


def test_the_load_reported_by_a_peer_expires_when_it_falls_silent():
    clock = ManualClock()
    sender = ready_daemon(name="daemon-1", clock=clock)
    receiver = ready_daemon(name="daemon-2", clock=clock)
    sender.table.endpoints["engine-1"].in_flight = 5
    receiver.peers.apply(sender.peers.build())
    engine = receiver.table.endpoints["engine-1"]
    assert receiver.loads.in_flight_of(engine) == 5
    clock.now += 3
    assert receiver.loads.in_flight_of(engine) == 0


def test_the_load_of_a_peer_lasts_until_its_next_report_in_a_large_fleet():
    """Guards against an old version stopped while unheard peers still use it.

    With 66 daemons the rows of one peer come up to 4.4 s apart.
    """
    clock = ManualClock()
    sender = ready_daemon(name="daemon-1", clock=clock)
    receiver = ready_daemon(name="daemon-2", clock=clock)
    sender.table.endpoints["engine-1"].in_flight = 5
    receiver.peers.apply(sender.peers.build())
    receiver.loads.daemons = 66
    engine = receiver.table.endpoints["engine-1"]
    clock.now += 4.4
    assert receiver.loads.in_flight_of(engine) >= 5
    clock.now += 4.4
    assert receiver.loads.in_flight_of(engine) == 0


def test_a_daemon_without_known_peers_has_no_receivers():
    assert LocalDaemon().peers.receivers() == []


def test_the_receivers_in_other_failure_domains_are_limited():
    daemon = ready_daemon()
    daemon.peers.update_daemons(
        tuple(
            DaemonAddress(
                instance=f"d{number}",
                incarnation="i",
                failure_domain="east" if number < 14 else "west",
                host="10.0.0.1",
                port=1,
            )
            for number in range(90)
        )
    )
    receivers = daemon.peers.receivers()
    assert sum(peer.failure_domain == "east" for peer in receivers) == 8
    assert sum(peer.failure_domain == "west" for peer in receivers) == 6


def test_peer_loads_are_scaled_up_to_the_size_of_the_fleet():
    clock = ManualClock()
    sender = ready_daemon(name="daemon-1", clock=clock)
    receiver = ready_daemon(name="daemon-2", clock=clock)
    sender.table.endpoints["engine-1"].in_flight = 2
    receiver.peers.apply(sender.peers.build())
    receiver.loads.daemons = 11
    assert receiver.loads.in_flight_of(receiver.table.endpoints["engine-1"]) == 20


# Guards against crashes that two daemons report to each other for ever.
def test_a_crash_repeated_by_peers_expires_thirty_seconds_after_it_happened():
    clock = ManualClock()
    first = ready_daemon(name="daemon-1", clock=clock)
    second = ready_daemon(name="daemon-2", clock=clock)
    first.crashes.learn("f", "engine-1:1")
    clock.now += 5
    for _ in range(26):
        second.peers.apply(first.peers.build())
        first.peers.apply(second.peers.build())
        clock.now += 1
    assert first.crashes.export() == []
    assert second.crashes.export() == []


class Wire:
    """Delivers datagrams to the sockets of their receivers at once."""

    def __init__(self, sockets):
        self.sockets = sockets

    def sendto(self, data, addr):
        self.sockets[addr[0]].datagram_received(data, addr)


def connected_pair():
    """Return two daemons on one clock, and their sockets."""
    clock, sockets, daemons = ManualClock(), {}, []
    for name in ("daemon-1", "daemon-2"):
        daemon = ready_daemon(name=name, clock=clock)
        daemon.peers.update_daemons(
            tuple(
                DaemonAddress(
                    instance=other,
                    incarnation=f"{other}-1",
                    failure_domain="east",
                    host=other,
                    port=1,
                )
                for other in ("daemon-1", "daemon-2")
            )
        )
        peer_socket = PeerSocket(gossip=daemon.peers, metrics=daemon.metrics)
        peer_socket.transport = Wire(sockets)
        peer_socket.use_secret(SECRET)
        sockets[name] = peer_socket
        daemons.append(daemon)
    return clock, daemons, list(sockets.values())


def test_a_daemon_that_lacks_the_new_secret_still_holds_bills():
    """Guards against bills without a holder while a peer can't read the new secret.

    The store returned without the secret, a daemon that started wrote another one, and
    the store went away before all had read it.
    """
    clock, (first, second), (first_socket, second_socket) = connected_pair()
    first.bills.on_bill = first_socket.send_bill
    first_socket.use_secret(b"another")
    second_socket.send_round(now=clock.now)
    first.answer(head("/fetch/1", attempt_id="a1"))
    (held,) = second.bill_replicas.held.values()
    assert "a1" in held.blocks[1].bills
    assert first.peers.alive_holder_incarnations() == ["daemon-2-1"]


def test_a_replaced_secret_is_not_understood_for_ever():
    """Guards against messages that are signed with a secret of long ago."""
    clock, (first, second), (first_socket, second_socket) = connected_pair()
    first_socket.use_secret(b"another")
    clock.now += 31.0
    second_socket.send_round(now=clock.now)
    assert first.metrics.value("rejected_peers", label="news") == 1
    assert first.peers.alive_holder_incarnations() == []
