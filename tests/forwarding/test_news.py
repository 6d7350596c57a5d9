"""News between daemons: authentic, in order, and complete in every message."""

from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.daemon_messages import (
    decode_message,
    encode_message,
)
from tests.support.forwarding import LocalDaemon, ManualClock, head, ready_daemon

SECRET = b"secret"


def test_news_survive_the_way_and_nothing_else_is_taken():
    daemon = ready_daemon()
    daemon.crashes.learn("f", "engine-1:1")
    daemon.answer(head("/fetch/1"))
    news = daemon.peers.build()
    news.copied_bills = daemon.bills.copies()
    assert news.copied_bills.blocks
    datagram = encode_message(news, secret=SECRET)
    assert decode_message(datagram, secret=SECRET) == news
    assert decode_message(datagram, secret=b"other") is None
    assert decode_message(datagram[:-1], secret=SECRET) is None
    assert decode_message(b"", secret=SECRET) is None


def test_older_news_of_the_same_start_are_not_taken():
    clock = ManualClock()
    sender = ready_daemon(name="daemon-1", clock=clock)
    receiver = ready_daemon(name="daemon-2", clock=clock)
    engine = sender.table.endpoints["engine-1"]
    engine.in_flight = 5
    old = sender.peers.build()
    engine.in_flight = 1
    receiver.peers.take(sender.peers.build())
    receiver.peers.take(old)
    assert receiver.loads.in_flight_of(receiver.table.endpoints["engine-1"]) == 1


def test_a_daemon_that_started_again_is_heard_from_its_first_message():
    clock = ManualClock()
    receiver = ready_daemon(name="daemon-2", clock=clock)
    first = ready_daemon(name="daemon-1", clock=clock)
    for _ in range(5):
        receiver.peers.take(first.peers.build())
    again = ready_daemon(name="daemon-1", clock=clock)
    again.peers.incarnation = "another"
    again.crashes.learn("f", "engine-1:1")
    receiver.peers.take(again.peers.build())
    assert receiver.crashes.crashes("f") == 1


def test_a_leaving_endpoint_is_believed_from_a_peer():
    clock = ManualClock()
    sender = ready_daemon(name="daemon-1", clock=clock)
    receiver = ready_daemon(name="daemon-2", clock=clock)
    endpoint = sender.table.endpoints["engine-1"]
    sender.directory.mark_leaving(endpoint, reason="test")
    receiver.peers.take(sender.peers.build())
    assert receiver.table.endpoints["engine-1"].leaving


def test_a_newer_revision_at_a_peer_makes_the_next_read_come_at_once():
    daemon = ready_daemon()
    daemon.peers.on_revision(daemon.follower.newest_revision())
    assert not daemon.follower.wanted.is_set()
    daemon.peers.on_revision(daemon.follower.newest_revision() + 1)
    assert daemon.follower.wanted.is_set()


def test_what_peers_have_at_an_endpoint_fades_when_they_fall_silent():
    clock = ManualClock()
    sender = ready_daemon(name="daemon-1", clock=clock)
    receiver = ready_daemon(name="daemon-2", clock=clock)
    sender.table.endpoints["engine-1"].in_flight = 5
    receiver.peers.take(sender.peers.build())
    engine = receiver.table.endpoints["engine-1"]
    assert receiver.loads.in_flight_of(engine) == 5
    clock.now += 3
    assert receiver.loads.in_flight_of(engine) == 0


def test_an_unknown_fleet_gets_no_news():
    assert LocalDaemon().peers.receivers() == []


def test_in_a_large_fleet_few_messages_leave_the_failure_domain():
    daemon = ready_daemon()
    daemon.peers.know(
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


def test_peers_that_were_heard_stand_for_those_that_were_not():
    clock = ManualClock()
    sender = ready_daemon(name="daemon-1", clock=clock)
    receiver = ready_daemon(name="daemon-2", clock=clock)
    sender.table.endpoints["engine-1"].in_flight = 2
    receiver.peers.take(sender.peers.build())
    receiver.loads.daemons = 11
    assert receiver.loads.in_flight_of(receiver.table.endpoints["engine-1"]) == 20
