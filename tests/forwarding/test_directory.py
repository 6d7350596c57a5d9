"""Endpoints that leave, lapse during an outage of the registry, or come back."""

import pytest

from tests.support.forwarding import ManualClock, ready_daemon, report


def usable_names(daemon, service="engines"):
    pool = daemon.directory.pool(service)
    members = pool.endpoints if pool is not None else ()
    return sorted(e.name for e in members if e.listed and not e.leaving)


def test_an_endpoint_with_a_removed_entry_is_unused_after_the_next_read():
    daemon = ready_daemon()
    daemon.clock.now += 1.35
    del daemon.source.endpoints["engine-1"]
    assert daemon.read()
    assert usable_names(daemon) == ["engine-2", "engine-3"]


def test_endpoints_whose_entries_lapsed_in_an_outage_stay_in_use_for_the_grace_period():
    daemon = ready_daemon()
    daemon.source.down = True
    daemon.clock.now += 6.0
    assert not daemon.read()
    daemon.source.down = False
    lapsed = daemon.source.endpoints.pop("engine-1")
    assert daemon.read()
    assert "engine-1" in usable_names(daemon)
    daemon.clock.now += 1.3
    daemon.source.endpoints["engine-1"] = lapsed
    assert daemon.read()
    daemon.clock.now += 2.1
    assert daemon.read()
    assert usable_names(daemon) == ["engine-1", "engine-2", "engine-3"]


def test_an_endpoint_still_missing_after_the_grace_period_is_dropped():
    daemon = ready_daemon()
    daemon.clock.now += 6.0
    del daemon.source.endpoints["engine-1"]
    for _ in range(4):
        assert daemon.read()
        daemon.clock.now += 1.3
    assert usable_names(daemon) == ["engine-2", "engine-3"]


def test_an_entry_removed_after_the_outage_is_dropped_at_once():
    daemon = ready_daemon()
    daemon.clock.now += 6.0
    assert daemon.read()
    daemon.clock.now += 0.5
    del daemon.source.endpoints["engine-1"]
    assert daemon.read()
    assert usable_names(daemon) == ["engine-2", "engine-3"]


def test_the_directory_is_unsettled_until_the_grace_of_lapsed_entries_ends():
    daemon = ready_daemon()
    daemon.clock.now += 6.0
    del daemon.source.endpoints["engine-1"]
    assert daemon.read()
    assert not daemon.directory.is_settled
    for _ in range(6):
        daemon.clock.now += 0.4
        assert daemon.read()
    assert daemon.directory.is_settled


def test_a_leaving_mark_is_never_undone_for_the_same_incarnation():
    daemon = ready_daemon()
    daemon.source.endpoints["engine-1"] = report("engine-1", leaving=True)
    assert daemon.read()
    daemon.source.endpoints["engine-1"] = report("engine-1")
    assert daemon.read()
    assert "engine-1" not in usable_names(daemon)


def test_an_endpoint_restarted_under_its_name_replaces_the_old_one():
    daemon = ready_daemon()
    daemon.source.endpoints["engine-1"] = report("engine-1", leaving=True)
    assert daemon.read()
    daemon.source.endpoints["engine-1"] = report(
        "engine-1", incarnation="2", address="10.0.0.9:81"
    )
    assert daemon.read()
    found = daemon.table.endpoints["engine-1"]
    assert (found.incarnation, found.address) == ("2", "10.0.0.9:81")
    assert "engine-1" in usable_names(daemon)


@pytest.mark.parametrize("gap", [1.25, 1.35, 2.0])
def test_a_normal_interval_between_reads_is_not_an_outage(gap):
    daemon = ready_daemon()
    daemon.clock.now += gap
    daemon.source.endpoints.clear()
    assert daemon.read()
    assert usable_names(daemon) == []


def cut_off_for(daemon, peer, *, seconds, peer_reads):
    """Let time pass in which one daemon can't read, and its peer can or can't."""
    daemon.source.down = True
    peer.source.down = not peer_reads
    for _ in range(round(seconds / 0.5)):
        daemon.clock.now += 0.5
        assert not daemon.read()
        assert peer.read() is peer_reads
    daemon.source.down = peer.source.down = False


@pytest.fixture(name="pair")
def make_pair():
    """Return two daemons that have read their stores, which are separate."""
    clock = ManualClock()
    daemon = ready_daemon(name="daemon-1", clock=clock)
    peer = ready_daemon(name="daemon-2", clock=clock)
    clock.now += 0.5
    assert daemon.read() and peer.read()
    return daemon, peer


@pytest.mark.parametrize("report_first", [False, True])
def test_an_entry_missing_after_only_this_daemon_was_cut_off_is_gone(
    pair, report_first
):
    """Guards against requests to endpoints that left while this daemon was cut off."""
    daemon, peer = pair
    cut_off_for(daemon, peer, seconds=6.0, peer_reads=True)
    del daemon.source.endpoints["engine-1"]
    if report_first:
        daemon.peers.apply(peer.peers.build())
    assert daemon.read()
    if not report_first:
        assert not daemon.directory.is_settled
        daemon.peers.apply(peer.peers.build())
    assert daemon.directory.is_settled
    assert usable_names(daemon) == ["engine-2", "engine-3"]


@pytest.mark.parametrize("peer_reads_again", [False, True])
def test_a_peer_that_was_cut_off_as_well_is_no_word_that_the_registry_was_up(
    pair, peer_reads_again
):
    """Guards against dropping endpoints whose entries lapsed with the store away."""
    daemon, peer = pair
    cut_off_for(daemon, peer, seconds=6.0, peer_reads=False)
    del daemon.source.endpoints["engine-1"]
    if peer_reads_again:
        assert peer.read()
    daemon.peers.apply(peer.peers.build())
    assert daemon.read()
    daemon.peers.apply(peer.peers.build())
    assert "engine-1" in usable_names(daemon)


def test_an_old_word_of_a_peer_does_not_show_that_the_registry_was_up(pair):
    """Guards against believing reads from before the end of the outage."""
    daemon, peer = pair
    cut_off_for(daemon, peer, seconds=3.0, peer_reads=True)
    daemon.peers.apply(peer.peers.build())
    cut_off_for(daemon, peer, seconds=3.0, peer_reads=False)
    del daemon.source.endpoints["engine-1"]
    assert daemon.read()
    assert "engine-1" in usable_names(daemon)


def test_a_peer_does_not_shorten_the_grace_after_a_change_of_era(pair):
    """Guards against dropping endpoints that the older copy of the store lacks."""
    daemon, peer = pair
    cut_off_for(daemon, peer, seconds=6.0, peer_reads=True)
    del daemon.source.endpoints["engine-1"]
    daemon.source.era = 2
    daemon.peers.apply(peer.peers.build())
    assert daemon.read()
    daemon.peers.apply(peer.peers.build())
    assert "engine-1" in usable_names(daemon)
