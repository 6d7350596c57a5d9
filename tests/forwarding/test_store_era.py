"""A daemon whose store returns from an older copy, without network."""

import asyncio

import looptime
import pytest

from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.state import Position
from tests.support.forwarding import (
    LocalDaemon,
    ManualClock,
    MemorySource,
    ready_daemon,
    report,
    table,
)
from tests.support.memory import LoopClock


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


def table_at(revision, *, version):
    """Return a routing table that was written at a revision."""
    changed = table(version=version)
    changed.revision = revision
    return changed


def read_repeatedly(daemon, *, seconds):
    for _ in range(round(seconds / 0.5)):
        daemon.clock.now += 0.5
        assert daemon.read()


def test_an_older_copy_of_the_configuration_is_not_taken_or_confirmed():
    """Guards against a withdrawn credential being accepted after a change of era."""
    daemon = ready_daemon()
    older = daemon.source.table
    daemon.source.table = table(version=6, accounts=())
    assert daemon.read()
    confirmed_at = daemon.in_force.confirmed_at
    daemon.source.era, daemon.source.table = 2, older
    read_repeatedly(daemon, seconds=5.0)
    assert daemon.in_force.table.version == 6
    assert daemon.in_force.confirmed_at == confirmed_at
    assert daemon.in_force.refuse_stale() is not None
    daemon.source.table = table_at(2, version=6)
    assert daemon.read()
    assert daemon.in_force.refuse_stale() is None


def test_a_higher_version_at_a_lower_revision_comes_into_force():
    """Guards against a new configuration being passed over after a change of era."""
    daemon = ready_daemon()
    daemon.source.table = table_at(90, version=6)
    assert daemon.read()
    daemon.source.era = 2
    daemon.source.table = table_at(40, version=7)
    assert daemon.read()
    assert daemon.in_force.table.version == 7


@pytest.mark.parametrize("reads_first", [False, True])
def test_a_daemon_that_starts_on_an_older_copy_learns_the_version_from_a_peer(
    reads_first,
):
    """Guards against a daemon that knows only the older copy believing it."""
    clock = ManualClock()
    peer = ready_daemon(name="daemon-1", clock=clock)
    peer.source.table = table(version=6)
    assert peer.read()
    started = LocalDaemon(
        name="daemon-2", clock=clock, source=MemorySource(table=table(version=5))
    )
    started.source.era = 2
    if reads_first:
        assert started.read()
    started.peers.apply(peer.peers.build())
    assert started.read()
    assert started.in_force.table.version == 5
    assert started.in_force.refuse_stale() is not None
    passed_on = started.peers.build()
    assert passed_on.configuration_version == 6


def test_a_peer_does_not_confirm_an_older_copy():
    """Guards against the digest of an older copy confirming a newer table."""
    daemon = ready_daemon()
    older = daemon.source.table
    daemon.source.table = table(version=6)
    assert daemon.read()
    confirmed_at = daemon.in_force.confirmed_at
    daemon.source.era, daemon.source.table = 2, older
    daemon.clock.now += 0.5
    assert daemon.read()
    daemon.clock.now += 0.5
    daemon.poller.on_peer_confirmation(daemon.clock.now)
    assert daemon.in_force.confirmed_at == confirmed_at


def test_a_newer_version_does_not_unconfirm_the_reads_of_a_long_era():
    """Guards against refusals at each change of the configuration."""
    daemon = ready_daemon()
    read_repeatedly(daemon, seconds=5.0)
    daemon.poller.on_peer_position(daemon.poller.position, 2)
    assert daemon.in_force.refuse_stale() is None


def test_an_unconfirmed_configuration_does_not_make_reads_follow_at_once():
    """Guards against a daemon that reads without a pause until it is confirmed."""
    daemon = ready_daemon()
    daemon.poller.on_peer_position(daemon.poller.position, 9)
    daemon.clock.now += 5.0
    assert daemon.read()
    assert daemon.poller._content_age() == 0.0
    assert daemon.in_force.age() > 4.0


def usable_names(daemon):
    pool = daemon.directory.pool("engines")
    return sorted(e.name for e in pool.endpoints if e.listed and not e.leaving)


def test_an_endpoint_seen_to_be_gone_stays_so_when_the_older_copy_lists_it():
    """Guards against requests to an endpoint that left before the change of era."""
    daemon = ready_daemon()
    entries = daemon.source.endpoints
    entries["engine-1"] = report("engine-1", revision=30)
    assert daemon.read()
    entries["engine-1"] = report("engine-1", revision=40)
    assert daemon.read()
    del entries["engine-1"]
    assert daemon.read()
    daemon.source.era = 2
    entries["engine-1"] = report("engine-1", revision=30)
    for _ in range(2):
        daemon.clock.now += 0.4
        assert daemon.read()
        assert usable_names(daemon) == ["engine-2", "engine-3"]
    assert not daemon.directory.is_settled
    daemon.clock.now += 3.0
    assert daemon.read()
    assert daemon.directory.is_settled


@pytest.mark.parametrize("changes", [{"revision": 35}, {"incarnation": "2"}])
def test_an_endpoint_whose_entry_was_written_again_comes_back(changes):
    """Guards against an endpoint that restarted being left out after a new era."""
    daemon = ready_daemon()
    entries = daemon.source.endpoints
    entries["engine-1"] = report("engine-1", revision=30)
    assert daemon.read()
    del entries["engine-1"]
    assert daemon.read()
    daemon.source.era = 2
    entries["engine-1"] = report("engine-1", revision=30)
    assert daemon.read()
    entries["engine-1"] = report("engine-1", **{"revision": 30, **changes})
    daemon.clock.now += 0.4
    assert daemon.read()
    assert "engine-1" in usable_names(daemon)


def test_a_draining_endpoint_stays_so_when_the_older_copy_lists_it_as_ready():
    """Guards against requests to an endpoint whose leaving was acknowledged."""
    daemon = ready_daemon()
    daemon.source.endpoints["engine-1"] = report("engine-1", leaving=True, revision=40)
    assert daemon.read()
    daemon.source.era = 2
    daemon.source.endpoints["engine-1"] = report("engine-1", revision=30)
    assert daemon.read()
    assert "engine-1" not in usable_names(daemon)


def test_entries_missing_after_a_change_of_era_stay_for_the_grace_period():
    """Guards against refusals until the endpoints have registered again."""
    daemon = ready_daemon()
    missing = daemon.source.endpoints.pop("engine-1")
    daemon.source.era = 2
    daemon.clock.now += 0.5
    assert daemon.read()
    assert "engine-1" in usable_names(daemon)
    daemon.clock.now += 1.9
    daemon.source.endpoints["engine-1"] = missing
    assert daemon.read()
    daemon.clock.now += 1.0
    assert daemon.read()
    assert "engine-1" in usable_names(daemon)
    del daemon.source.endpoints["engine-1"]
    assert daemon.read()
    assert "engine-1" not in usable_names(daemon)


def address(name):
    return DaemonAddress(
        instance=name, incarnation="i", failure_domain="east", host="10.1.0.1", port=90
    )


def test_peers_that_the_older_copy_lacks_are_kept_if_they_are_heard_from():
    """Guards against daemons that forget each other until they register again."""
    clock = ManualClock()
    daemon = ready_daemon(name="daemon-1", clock=clock)
    daemon.source.daemons = {f"daemon-{n}": address(f"daemon-{n}") for n in range(5)}
    assert daemon.read()
    draining = ready_daemon(name="daemon-3", clock=clock)
    draining.peers.draining = True
    for peer in (ready_daemon(name="daemon-2", clock=clock), draining):
        daemon.peers.apply(peer.peers.build())
    daemon.source.era = 2
    daemon.source.daemons = {"daemon-4": address("daemon-4")}
    assert daemon.read()
    kept = {peer.instance for peer in daemon.peers.peers}
    assert kept == {"daemon-2", "daemon-4"}
    clock.now += 4.1
    daemon.peers.apply(ready_daemon(name="daemon-2", clock=clock).peers.build())
    assert daemon.read()
    assert {peer.instance for peer in daemon.peers.peers} == {"daemon-4"}


class RegistrationSource(MemorySource):
    """A store that records the times of registrations."""

    def __init__(self):
        super().__init__(table=table())
        self.registered_at = []

    async def register_daemon(self, address, *, seconds):
        self.registered_at.append(asyncio.get_running_loop().time())
        return await super().register_daemon(address, seconds=seconds)


def run_on_virtual_time(work):
    loop = looptime.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work())
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def test_daemons_register_again_soon_but_not_at_once_after_a_change_of_era():
    """Guards against unregistered daemons, and against 66 registrations at a time."""
    source = RegistrationSource()

    async def work():
        daemons = [
            LocalDaemon(name=f"daemon-{n}", source=source, clock=LoopClock())
            for n in range(66)
        ]
        for seed, daemon in enumerate(daemons):
            daemon.poller.random.seed(seed)
            daemon.era.observe(1)
        tasks = [asyncio.ensure_future(d.poller.run_registration()) for d in daemons]
        await asyncio.sleep(1.0)
        source.registered_at.clear()
        for daemon in daemons:
            daemon.era.observe(2)
        await asyncio.sleep(1.1)
        for task in tasks:
            task.cancel()

    run_on_virtual_time(work)
    assert len(source.registered_at) == 66
    first = min(source.registered_at)
    assert sum(at < first + 0.1 for at in source.registered_at) < 20


def test_a_registration_that_failed_is_repeated_when_the_store_is_regained():
    """Guards against daemons that a newly started one can't find to hold its bills.

    The registrations were lost with the store, which was back for less than a second.
    """
    source = MemorySource(table=table())

    async def work():
        daemon = LocalDaemon(name="daemon-1", source=source, clock=LoopClock())
        await daemon.poller.read_once()
        source.down = True
        await daemon.poller.read_once()
        task = asyncio.ensure_future(daemon.poller.run_registration())
        await asyncio.sleep(0.1)
        source.down = False
        await daemon.poller.read_once()
        await asyncio.sleep(0.4)
        task.cancel()

    run_on_virtual_time(work)
    assert "daemon-1" in source.daemons


def test_reads_after_a_change_of_era_are_soon_and_spread():
    """Guards against 66 reads at the moment at which the store returns."""
    source = MemorySource(table=table())
    read_at = []

    async def work():
        loop = asyncio.get_running_loop()
        daemons = [
            LocalDaemon(name=f"daemon-{n}", source=source, clock=LoopClock())
            for n in range(66)
        ]
        source.daemons = {f"daemon-{n}": address(f"daemon-{n}") for n in range(66)}
        for seed, daemon in enumerate(daemons):
            daemon.poller.random.seed(seed)
            daemon.poller.on_read = lambda: read_at.append(loop.time())
        tasks = [asyncio.ensure_future(d.poller.run()) for d in daemons]
        await asyncio.sleep(0.1)
        source.era = 2
        read_at.clear()
        for daemon in daemons:
            daemon.poller.on_peer_position(Position(era=2, revision=1), 1)
        await asyncio.sleep(0.5)
        for task in tasks:
            task.cancel()
        assert all(daemon.poller.position.era == 2 for daemon in daemons)

    run_on_virtual_time(work)
    assert len(read_at) == 66
    assert sum(at < min(read_at) + 0.05 for at in read_at) < 20


def test_a_change_of_era_that_another_call_meets_requests_a_read():
    """Guards against content of an ended era until the next read is due."""
    daemon = ready_daemon()
    daemon.era.observe(2)
    assert daemon.poller.read_requested.is_set()
    daemon.poller.read_requested.clear()
    daemon.source.era = 3
    assert daemon.read()
    assert not daemon.poller.read_requested.is_set()


def test_a_daemon_whose_first_read_comes_late_doubts_an_older_copy():
    """Guards against an older copy being believed after a start without store."""
    clock = ManualClock()
    peer = ready_daemon(name="daemon-1", clock=clock)
    peer.source.table = table(version=6)
    assert peer.read()
    started = LocalDaemon(name="daemon-2", clock=clock)
    started.source.era = 2
    clock.now += 5.0
    assert started.read()
    started.peers.apply(peer.peers.build())
    assert started.in_force.refuse_stale() is not None


def test_an_older_copy_confirms_no_credential_before_the_operator_has_written_again():
    """Guards against a revocation that no daemon had read before the store lost it."""
    daemon = ready_daemon()
    confirmed_at = daemon.in_force.confirmed_at
    daemon.clock.now += 1.0
    daemon.source.era = 2
    for _ in range(3):
        assert daemon.read()
        assert daemon.in_force.confirmed_at == confirmed_at
        daemon.clock.now += 0.6
    daemon.clock.now += 0.4
    assert daemon.read()
    assert daemon.in_force.confirmed_at == daemon.clock.now


def test_a_newer_version_of_a_new_era_is_confirmed_at_once():
    """Guards against refusals after the operator has written again."""
    daemon = ready_daemon()
    daemon.clock.now += 1.0
    daemon.source.era = 2
    daemon.source.table = table(version=6)
    assert daemon.read()
    assert daemon.in_force.confirmed_at == daemon.clock.now
