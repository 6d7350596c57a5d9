"""One daemon's read confirms its peers' content, and never as of too late a time."""

import asyncio
import itertools

import looptime
import pytest

from linnetladder.forwarding.coordination.sources import DaemonAddress
from tests.support.forwarding import (
    LocalDaemon,
    ManualClock,
    MemorySource,
    report,
    table,
)
from tests.support.memory import LoopClock

DAEMON_COUNT = 6
NETWORK_DELAY_SECONDS = 0.002
REPORT_INTERVAL_SECONDS = 0.4


def address(name, incarnation=None):
    return DaemonAddress(
        instance=name,
        incarnation=incarnation or f"{name}-1",
        failure_domain="east",
        host="10.1.0.1",
        port=90,
    )


@pytest.fixture(name="pair")
def make_pair():
    """Return a clock, a store and two daemons that have read it and know each other."""
    clock, source = ManualClock(), MemorySource(table=table())
    source.endpoints["engine-1"] = report("engine-1")
    for name in ("daemon-1", "daemon-2"):
        source.daemons[name] = address(name)
    one, two = (
        LocalDaemon(name=name, source=source, clock=clock)
        for name in ("daemon-1", "daemon-2")
    )
    assert one.read() and two.read()
    return clock, source, one, two


def send_report(sender, receiver):
    receiver.peers.apply(sender.peers.build(sender.peers.receivers()))


def test_a_read_confirms_as_of_the_last_report_its_reader_had_from_the_receiver(pair):
    clock, source, one, two = pair
    clock.now += 0.3
    sent = clock.now
    send_report(two, one)
    clock.now += 0.5
    assert one.read()
    clock.now += 0.2
    send_report(one, two)
    assert two.in_force.confirmed_at == sent
    assert one.in_force.confirmed_at == sent + 0.5


def test_a_report_received_after_the_read_began_confirms_nothing(pair):
    clock, source, one, two = pair
    before = two.in_force.confirmed_at
    clock.now += 0.3
    assert one.read()
    clock.now += 0.1
    send_report(two, one)
    clock.now += 0.1
    send_report(one, two)
    assert two.in_force.confirmed_at == before


@pytest.mark.parametrize("changed", ["table", "endpoint", "order"])
def test_a_peer_that_read_other_content_confirms_nothing(pair, changed):
    clock, source, one, two = pair
    before = two.in_force.confirmed_at
    clock.now += 0.3
    send_report(two, one)
    if changed == "table":
        source.table = table(version=2)
    elif changed == "endpoint":
        source.endpoints["engine-1"] = report("engine-1", leaving=True)
    else:
        source.daemons["daemon-3"] = address("daemon-3")
    clock.now += 0.3
    assert one.read()
    send_report(one, two)
    assert two.in_force.confirmed_at == before


def test_an_echo_for_an_earlier_incarnation_is_ignored(pair):
    clock, source, one, two = pair
    for _ in range(5):
        send_report(two, one)
    clock.now += 0.1
    assert one.read()
    restarted = LocalDaemon(
        name="daemon-2", incarnation="another", source=source, clock=clock
    )
    assert restarted.read()
    before = restarted.in_force.confirmed_at
    clock.now += 5.0
    for _ in range(9):
        restarted.peers.build()
    send_report(one, restarted)
    assert restarted.in_force.confirmed_at == before


def test_a_confirmation_passed_on_keeps_its_age(pair):
    clock, source, one, two = pair
    three = LocalDaemon(name="daemon-3", source=source, clock=clock)
    assert three.read()
    moments = []
    for sender, receiver in ((three, two), (two, one)):
        clock.now += 0.3
        moments.append(clock.now)
        send_report(sender, receiver)
    clock.now += 0.3
    assert one.read()
    send_report(one, two)
    assert two.in_force.confirmed_at == moments[1]
    two.peers.update_daemons((address("daemon-1"), address("daemon-3")))
    send_report(two, three)
    assert three.in_force.confirmed_at == moments[0]


def test_an_unsettled_directory_is_not_confirmed_by_peers(pair):
    clock, source, one, two = pair
    two.directory.lapsed_until["engine-1"] = clock.now + 60
    before = two.in_force.confirmed_at
    clock.now += 0.3
    send_report(two, one)
    assert one.read()
    send_report(one, two)
    assert two.in_force.confirmed_at == before


class CountingSource(MemorySource):
    """A store that takes some time to answer and counts the reads."""

    def __init__(self):
        super().__init__(table=table())
        self.read_count = itertools.count()

    async def read(self):
        next(self.read_count)
        await asyncio.sleep(0.004)
        return await super().read()


class Fleet:
    """Daemons that poll one store and exchange reports, on virtual time."""

    def __init__(self, *, connected):
        self.source = CountingSource()
        self.connected = connected
        names = [f"daemon-{number}" for number in range(DAEMON_COUNT)]
        for name in names:
            self.source.daemons[name] = address(name)
        clock = LoopClock()
        self.daemons = {
            name: LocalDaemon(name=name, source=self.source, clock=clock)
            for name in names
        }
        for seed, daemon in enumerate(self.daemons.values()):
            daemon.poller.random.seed(seed)
            daemon.poller.on_read = lambda daemon=daemon: self.send(daemon)

    def send(self, daemon):
        if not self.connected:
            return
        receivers = daemon.peers.receivers()
        message = daemon.peers.build(receivers)
        loop = asyncio.get_running_loop()
        for receiver in receivers:
            peers = self.daemons[receiver.instance].peers
            loop.call_later(NETWORK_DELAY_SECONDS, peers.apply, message)

    async def report_regularly(self, daemon, offset):
        await asyncio.sleep(offset)
        while True:
            self.send(daemon)
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    async def run_fleet(self, seconds, watch):
        coroutines = [daemon.poller.run() for daemon in self.daemons.values()]
        coroutines += [
            self.report_regularly(daemon, offset * 0.06)
            for offset, daemon in enumerate(self.daemons.values())
        ]
        tasks = [asyncio.ensure_future(work) for work in coroutines]
        await asyncio.sleep(1.0)
        for _ in range(round(seconds / 0.05)):
            await asyncio.sleep(0.05)
            watch(self)
        for task in tasks:
            task.cancel()
        return next(self.source.read_count)


def run_fleet(*, connected, watch, seconds=30.0):
    loop = looptime.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(
            Fleet(connected=connected).run_fleet(seconds, watch)
        )
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def check_age(fleet):
    for daemon in fleet.daemons.values():
        assert daemon.in_force.age() <= daemon.poller.read_interval() + 0.05


def test_connected_daemons_read_less_often_and_keep_the_maximum_age():
    reads_without_peers = run_fleet(connected=False, watch=check_age)
    reads_with_peers = run_fleet(connected=True, watch=check_age)
    assert reads_with_peers < 0.5 * reads_without_peers


def test_a_change_is_in_force_everywhere_within_the_interval():
    changed = {}

    def change_periodically(fleet):
        now = asyncio.get_event_loop().time()
        version = fleet.source.table.version
        if now > 3.0 * version:
            changed[version + 1] = now
            fleet.source.table = table(version=version + 1)
        for daemon in fleet.daemons.values():
            installed = daemon.in_force.table.version
            overdue = [
                v for v, at in changed.items() if v > installed and now - at > 1.3
            ]
            assert not overdue, (daemon.holder.current.instance, installed, now)

    run_fleet(connected=True, watch=change_periodically)
    assert len(changed) >= 9


def test_a_daemon_without_access_to_the_store_is_confirmed_by_its_peers():
    def disconnect_one(fleet):
        disconnected = fleet.daemons["daemon-0"]
        if asyncio.get_event_loop().time() > 5.0:
            disconnected.shared_reads.source = DownSource()
        assert disconnected.in_force.age() <= disconnected.poller.read_interval() + 0.6

    run_fleet(connected=True, watch=disconnect_one)


class DownSource(MemorySource):
    """A store that fails every read and counts the attempts."""

    def __init__(self):
        super().__init__()
        self.down = True
        self.read_attempts = 0

    async def read(self):
        self.read_attempts += 1
        return await super().read()


def test_a_daemon_without_access_backs_off_despite_new_revisions_at_peers():
    """In a large site with faults, each of 23 daemons made 15 calls per second."""
    source = DownSource()

    def disconnect_one_and_change(fleet):
        now = asyncio.get_event_loop().time()
        if now > 5.0:
            fleet.daemons["daemon-0"].shared_reads.source = source
            fleet.source.table = table(version=2 + int(now))

    run_fleet(connected=True, watch=disconnect_one_and_change, seconds=24.0)
    assert 20 <= source.read_attempts <= 40
