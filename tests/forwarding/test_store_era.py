"""A daemon whose store returns from an older copy, without network."""

from tests.support.forwarding import ManualClock, ready_daemon, table


def test_a_daemon_that_hears_of_a_new_era_reads_though_its_revision_is_higher():
    """Guards against a store that returned unnoticed by a daemon that it turns away."""
    clock = ManualClock()
    sender = ready_daemon(name="daemon-1", clock=clock)
    receiver = ready_daemon(name="daemon-2", clock=clock)
    receiver.source.table = table(version=9)
    assert receiver.read()
    sender.source.era = 2
    assert sender.read()
    receiver.poller.read_requested.clear()
    receiver.peers.apply(sender.peers.build())
    assert receiver.era.current == 2
    assert receiver.poller.read_requested.is_set()


def test_a_peer_of_the_ended_era_triggers_no_read_and_no_change_of_era():
    """Guards against reads without end between daemons of two eras."""
    clock = ManualClock()
    sender = ready_daemon(name="daemon-1", clock=clock)
    sender.source.table = table(version=9)
    assert sender.read()
    receiver = ready_daemon(name="daemon-2", clock=clock)
    receiver.source.era = 2
    assert receiver.read()
    receiver.peers.apply(sender.peers.build())
    assert receiver.era.current == 2
    assert not receiver.poller.read_requested.is_set()
