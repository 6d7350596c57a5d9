"""One daemon's reading serves its peers, and never says more than is true."""

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

DAEMONS = 6
WIRE_SECONDS = 0.002
REPORT_SECONDS = 0.4


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
    """Two daemons over one store that have read it and know each other."""
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


def tell(sender, receiver):
    receiver.peers.take(sender.peers.build(sender.peers.receivers()))


def test_a_reading_counts_from_when_its_reader_had_last_heard_the_receiver(pair):
    clock, source, one, two = pair
    clock.now += 0.3
    sent = clock.now
    tell(two, one)
    clock.now += 0.5
    assert one.read()
    clock.now += 0.2
    tell(one, two)
    assert two.in_force.confirmed_at == sent
    assert one.in_force.confirmed_at == sent + 0.5


def test_a_report_that_came_after_the_reading_began_is_no_proof(pair):
    clock, source, one, two = pair
    before = two.in_force.confirmed_at
    clock.now += 0.3
    assert one.read()
    clock.now += 0.1
    tell(two, one)
    clock.now += 0.1
    tell(one, two)
    assert two.in_force.confirmed_at == before


@pytest.mark.parametrize("changed", ["table", "endpoint", "order"])
def test_a_peer_that_read_other_content_confirms_nothing(pair, changed):
    clock, source, one, two = pair
    before = two.in_force.confirmed_at
    clock.now += 0.3
    tell(two, one)
    if changed == "table":
        source.table = table(version=2)
    elif changed == "endpoint":
        source.endpoints["engine-1"] = report("engine-1", leaving=True)
    else:
        source.daemons["daemon-3"] = address("daemon-3")
    clock.now += 0.3
    assert one.read()
    tell(one, two)
    assert two.in_force.confirmed_at == before


def test_what_was_said_to_an_earlier_start_is_not_believed(pair):
    clock, source, one, two = pair
    for _ in range(5):
        tell(two, one)
    clock.now += 0.1
    assert one.read()
    again = LocalDaemon(
        name="daemon-2", incarnation="another", source=source, clock=clock
    )
    assert again.read()
    before = again.in_force.confirmed_at
    clock.now += 5.0
    for _ in range(9):
        again.peers.build()
    tell(one, again)
    assert again.in_force.confirmed_at == before


def test_a_confirmation_is_passed_on_without_growing_younger(pair):
    clock, source, one, two = pair
    three = LocalDaemon(name="daemon-3", source=source, clock=clock)
    assert three.read()
    moments = []
    for sender, receiver in ((three, two), (two, one)):
        clock.now += 0.3
        moments.append(clock.now)
        tell(sender, receiver)
    clock.now += 0.3
    assert one.read()
    tell(one, two)
    assert two.in_force.confirmed_at == moments[1]
    two.peers.know((address("daemon-1"), address("daemon-3")))
    tell(two, three)
    assert three.in_force.confirmed_at == moments[0]


def test_an_unsettled_directory_asks_the_store_itself(pair):
    clock, source, one, two = pair
    two.directory.lapsed["engine-1"] = clock.now + 60
    before = two.in_force.confirmed_at
    clock.now += 0.3
    tell(two, one)
    assert one.read()
    tell(one, two)
    assert two.in_force.confirmed_at == before


class CountingSource(MemorySource):
    """A store that takes a while to answer, and counts the readings."""

    def __init__(self):
        super().__init__(table=table())
        self.readings = itertools.count()

    async def read(self):
        next(self.readings)
        await asyncio.sleep(0.004)
        return await super().read()


class Fleet:
    """Daemons that follow one store and hear each other, on virtual time."""

    def __init__(self, *, linked):
        self.source = CountingSource()
        self.linked = linked
        names = [f"daemon-{number}" for number in range(DAEMONS)]
        for name in names:
            self.source.daemons[name] = address(name)
        clock = LoopClock()
        self.daemons = {
            name: LocalDaemon(name=name, source=self.source, clock=clock)
            for name in names
        }
        for seed, daemon in enumerate(self.daemons.values()):
            daemon.follower.random.seed(seed)
            daemon.follower.on_read = lambda daemon=daemon: self.send(daemon)

    def send(self, daemon):
        if not self.linked:
            return
        receivers = daemon.peers.receivers()
        news = daemon.peers.build(receivers)
        loop = asyncio.get_running_loop()
        for receiver in receivers:
            peers = self.daemons[receiver.instance].peers
            loop.call_later(WIRE_SECONDS, peers.take, news)

    async def report_regularly(self, daemon, offset):
        await asyncio.sleep(offset)
        while True:
            self.send(daemon)
            await asyncio.sleep(REPORT_SECONDS)

    async def play(self, seconds, watch):
        works = [daemon.follower.run() for daemon in self.daemons.values()]
        works += [
            self.report_regularly(daemon, offset * 0.06)
            for offset, daemon in enumerate(self.daemons.values())
        ]
        tasks = [asyncio.ensure_future(work) for work in works]
        await asyncio.sleep(1.0)
        for _ in range(round(seconds / 0.05)):
            await asyncio.sleep(0.05)
            watch(self)
        for task in tasks:
            task.cancel()
        return next(self.source.readings)


def play(*, linked, watch, seconds=30.0):
    loop = looptime.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(Fleet(linked=linked).play(seconds, watch))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def within_the_interval(fleet):
    for daemon in fleet.daemons.values():
        assert daemon.in_force.age() <= daemon.follower.read_seconds() + 0.05


def test_linked_daemons_read_seldom_and_are_never_older_than_alone():
    alone = play(linked=False, watch=within_the_interval)
    together = play(linked=True, watch=within_the_interval)
    assert together < 0.5 * alone


def test_a_change_is_in_force_everywhere_within_the_interval():
    changed = {}

    def change_now_and_then(fleet):
        now = asyncio.get_event_loop().time()
        version = fleet.source.table.version
        if now > 3.0 * version:
            changed[version + 1] = now
            fleet.source.table = table(version=version + 1)
        for daemon in fleet.daemons.values():
            known = daemon.in_force.table.version
            overdue = [v for v, at in changed.items() if v > known and now - at > 1.3]
            assert not overdue, (daemon.holder.current.instance, known, now)

    play(linked=True, watch=change_now_and_then)
    assert len(changed) >= 9


def test_a_daemon_that_the_store_turns_away_stays_fresh_through_its_peers():
    def cut_one(fleet):
        cut = fleet.daemons["daemon-0"]
        if asyncio.get_event_loop().time() > 5.0:
            cut.follower.source = DownSource()
        assert cut.in_force.age() <= cut.follower.read_seconds() + 0.6

    play(linked=True, watch=cut_one)


class DownSource(MemorySource):
    """A store that answers nobody, and counts who asks."""

    def __init__(self):
        super().__init__()
        self.down = True
        self.asked = 0

    async def read(self):
        self.asked += 1
        return await super().read()


def test_a_daemon_that_is_turned_away_does_not_ask_at_each_word_of_its_peers():
    """A grown site in trouble: 15 calls a second by each of 23 daemons."""
    source = DownSource()

    def cut_one_and_change(fleet):
        now = asyncio.get_event_loop().time()
        if now > 5.0:
            fleet.daemons["daemon-0"].follower.source = source
            fleet.source.table = table(version=2 + int(now))

    play(linked=True, watch=cut_one_and_change, seconds=24.0)
    assert 20 <= source.asked <= 40
