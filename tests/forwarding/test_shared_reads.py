"""One daemon of a group reads the store for all, and no content gets older by that."""

import asyncio
import itertools

import looptime
import pytest

from linnetladder.forwarding.coordination.read_groups import GROUP_SIZE
from linnetladder.forwarding.coordination.sources import DaemonAddress, StoreContent
from linnetladder.forwarding.protocol.read_messages import (
    ReadAnswer,
    ReadRequest,
    decode_read_message,
    encode_read_message,
)
from tests.support.forwarding import (
    LocalDaemon,
    ManualClock,
    MemorySource,
    report,
    table,
)
from tests.support.memory import LoopClock

NETWORK_SECONDS = 0.002
READ_SECONDS = 0.004
SECRET = b"secret"


class SlowSource(MemorySource):
    """A store that takes some time to answer and counts the reads."""

    def __init__(self):
        super().__init__(table=table())
        self.read_count = itertools.count()

    async def read(self):
        next(self.read_count)
        await asyncio.sleep(READ_SECONDS)
        return await super().read()


class Fleet:
    """Daemons of one failure domain that poll one store, on virtual time."""

    def __init__(self, *, daemons, grouped=True, clock=None):
        self.source = SlowSource()
        self.grouped = grouped
        self.silent = set()
        self.unanswered = 0
        names = [f"daemon-{number}" for number in range(daemons)]
        for name in names:
            self.source.daemons[name] = DaemonAddress(
                instance=name,
                incarnation=f"{name}-1",
                failure_domain="east",
                host=name,
                port=90,
            )
        self.readers = set()
        clock = clock or LoopClock()
        self.daemons = {}
        for seed, name in enumerate(names):
            daemon = LocalDaemon(name=name, source=self.source, clock=clock)
            daemon.poller.random.seed(seed)
            daemon.shared_reads.own_address = (name, 90)
            daemon.shared_reads.send = self.link(name)
            self.daemons[name] = daemon

    def link(self, sender):
        def send(message, host, port):
            if not self.grouped:
                return False
            self.unanswered += host in self.silent
            if not self.silent & {sender, host}:
                receive = self.daemons[host].shared_reads.receive
                asyncio.get_running_loop().call_later(NETWORK_SECONDS, receive, message)
            return True

        return send

    async def run(self, seconds, watch):
        tasks = [asyncio.ensure_future(d.poller.run()) for d in self.daemons.values()]
        await asyncio.sleep(3.0)
        before = next(self.source.read_count)
        for _ in range(round(seconds / 0.05)):
            await asyncio.sleep(0.05)
            watch(self)
        for task in tasks:
            task.cancel()
        self.readers = set(map(self.reader_of, self.daemons.values()))
        return next(self.source.read_count) - before

    def reader_of(self, daemon):
        reader = daemon.poller.read_groups.reader()
        return reader.instance if reader else daemon.holder.current.instance

    def check_age(self):
        for name, daemon in self.daemons.items():
            if name not in self.silent:
                age = daemon.in_force.age()
                assert age <= daemon.poller.read_interval() + 0.05, name


def run_fleet(*, daemons, watch=Fleet.check_age, seconds=10.0, grouped=True):
    loop = looptime.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        fleet = Fleet(daemons=daemons, grouped=grouped)
        return fleet, loop.run_until_complete(fleet.run(seconds, watch))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


# Guards against a store whose calls grow with the daemons of a failure domain.
@pytest.mark.parametrize(("daemons", "groups"), [(20, 2), (30, 3)])
def test_a_group_of_daemons_reads_about_as_often_as_one(daemons, groups):
    fleet, grouped = run_fleet(daemons=daemons, seconds=10.0)
    assert len(fleet.readers) == groups
    _, alone = run_fleet(daemons=daemons, grouped=False, seconds=10.0)
    assert grouped < 0.2 * alone


# Guards against a configuration that comes into force later than by own reads.
def test_a_change_is_in_force_in_all_groups_within_the_interval():
    changed = {}

    def change(fleet):
        now = asyncio.get_event_loop().time()
        version = fleet.source.table.version
        if now > 3.0 * version:
            changed[version + 1] = now
            fleet.source.table = table(version=version + 1)
        for daemon in fleet.daemons.values():
            installed = daemon.in_force.table.version
            assert not [
                v for v, at in changed.items() if v > installed and now - at > 1.3
            ]

    run_fleet(daemons=24, watch=change)
    assert len(changed) >= 4


# Guards against members whose content gets too old when their reader is gone.
def test_a_group_goes_on_when_its_reader_falls_silent():
    def silence(fleet):
        if asyncio.get_event_loop().time() > 6.0 and not fleet.silent:
            member = fleet.daemons["daemon-0"]
            fleet.silent.add(fleet.reader_of(member))
        fleet.check_age()

    fleet, _ = run_fleet(daemons=20, watch=silence)
    # Each of the other members asks it once in five seconds.
    assert 9 <= fleet.unanswered <= 27


# Guards against members that wait for a reader which the store turns away.
def test_a_group_goes_on_when_its_reader_can_not_read():
    class TurnedAway(MemorySource):
        def __init__(self):
            super().__init__()
            self.down = True

    away = set()

    def turn_away(fleet):
        if asyncio.get_event_loop().time() > 6.0 and not away:
            name = fleet.reader_of(fleet.daemons["daemon-0"])
            away.add(name)
            fleet.daemons[name].shared_reads.source = TurnedAway()
        for name, daemon in fleet.daemons.items():
            if name not in away:
                assert daemon.in_force.age() <= daemon.poller.read_interval() + 0.05

    run_fleet(daemons=20, watch=turn_away)


# Guards against content that is older than the request for it.
def test_a_request_is_not_answered_from_a_read_that_had_begun_before():
    async def scenario():
        fleet = Fleet(daemons=20)
        daemon = fleet.daemons["daemon-0"]
        await daemon.poller.read_once()
        answers = []
        daemon.shared_reads.send = lambda answer, *_: answers.append(answer) or True
        reading = asyncio.ensure_future(daemon.shared_reads.source.read())
        own = asyncio.ensure_future(daemon.shared_reads._read_store())
        await asyncio.sleep(READ_SECONDS / 2)
        request = ReadRequest(nonce=1, known=0, host="daemon-1", port=90)
        daemon.shared_reads.receive(request)
        fleet.source.endpoints["engine-9"] = report("engine-9")
        await asyncio.gather(reading, own)
        assert not answers
        await asyncio.sleep(0.2)
        (answer,) = answers
        assert answer.content

    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


def test_small_failure_domains_have_no_groups():
    fleet = Fleet(daemons=7, clock=ManualClock())
    for daemon in fleet.daemons.values():
        assert daemon.read()
        assert not daemon.poller.read_groups.active
        assert daemon.poller.read_groups.reader() is None


def test_groups_are_of_equal_size_at_any_number_of_daemons():
    for daemons in (8, 29, 65, 122):
        fleet = Fleet(daemons=daemons, clock=ManualClock())
        sizes = {}
        for daemon in fleet.daemons.values():
            assert daemon.read()
        for daemon in fleet.daemons.values():
            reader = fleet.reader_of(daemon)
            sizes[reader] = sizes.get(reader, 0) + 1
        assert max(sizes.values()) <= GROUP_SIZE
        assert max(sizes.values()) - min(sizes.values()) <= 1


class RowSource(MemorySource):
    """A store whose content consists of rows that a test sets."""

    def __init__(self, rows):
        super().__init__(table=table())
        self.rows = rows

    def last_content(self):
        return StoreContent(era=1, rows=dict(self.rows))

    def decode_content(self, content):
        assert content == self.last_content()
        return self.last_read


# Guards against links that are filled by the whole content after each change.
def test_a_member_gets_only_the_rows_that_changed():
    async def scenario():
        rows = {f"key-{n}": (f"value {n} " * 40, n, n) for n in range(300)}
        reader = Fleet(daemons=20).daemons["daemon-0"].shared_reads
        member = Fleet(daemons=20).daemons["daemon-1"].shared_reads
        reader.source = member.source = RowSource(rows)
        sizes = []

        def send(answer, *_):
            sizes.append(len(answer.content or b""))
            assert not answer.content or member._accept(answer)
            return True

        reader.send = send

        async def ask():
            known = member.held.digest if member.held else 0
            reader.receive(ReadRequest(nonce=1, known=known, host="x", port=1))
            await asyncio.sleep(1.0)

        await ask()
        await ask()
        rows["key-7"] = ("another", 7, 400)
        del rows["key-8"]
        await ask()
        assert member.held.content.rows == rows
        whole, same, changed = sizes
        assert same == 0 and changed < 0.1 * whole

    loop = looptime.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(scenario())
    finally:
        asyncio.set_event_loop(None)
        loop.close()


MESSAGES = [
    ReadRequest(nonce=5, known=7, host="10.1.0.1", port=90),
    ReadAnswer(nonce=5, digest=7),
    ReadAnswer(nonce=5, digest=7, content=b"a\nb\0"),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_are_signed(message):
    datagram = encode_read_message(message, secret=SECRET)
    assert decode_read_message(datagram, secrets=(b"old", SECRET)) == message
    assert decode_read_message(datagram, secrets=(b"other",)) is None
    assert decode_read_message(datagram[:-1] + b"?", secrets=(SECRET,)) is None


def test_content_that_fits_no_datagram_is_not_sent():
    answer = ReadAnswer(nonce=5, digest=7, content=bytes(70_000))
    assert encode_read_message(answer, secret=SECRET) is None
