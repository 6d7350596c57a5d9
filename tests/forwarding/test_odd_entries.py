"""Entries of other writers among those of the workers and the daemons."""

import asyncio
import json

import pytest

from linnetladder.coordination.platform import Record
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.forwarding.transport import PeerSocket
from linnetladder.platform import PlatformSource, PlatformStore
from linnetladder.telemetry import Metrics
from tests.forwarding.test_platform import WORKER
from tests.support.forwarding import ManualClock, head, ready_daemon

NESTED = "[" * 100_000 + "]" * 100_000
DAEMON = {
    "instance": "d1",
    "incarnation": "1",
    "failure_domain": "a",
    "host": "10.0.0.1",
    "port": 7340,
}


def entry(**changes):
    return json.dumps({**WORKER, **changes}).encode()


def read(*entries):
    """Return the snapshot of a store with some entries, and the unreadable ones."""

    async def scenario():
        metrics = Metrics()
        store = PlatformStore(
            address="127.0.0.1:1",
            era=StoreEra(metrics=metrics),
            clock=ManualClock(),
            metrics=metrics,
        )
        source = PlatformSource(store=store, metrics=metrics)
        records = [
            Record(key=key, value=value, create_revision=1, modify_revision=number)
            for number, (key, value) in enumerate(entries, 1)
        ]
        await store.close()
        return source._snapshot(records), metrics

    snapshot, metrics = asyncio.run(scenario())
    return snapshot, metrics.value("platform_faults", label="unreadable_entry")


# Guards against one entry that ends the process or the reading of all others.
@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("servers/odd", NESTED.encode()),
        ("servers/odd", entry()[:-1] + f', "Models": {NESTED}}}'.encode()),
        ("servers/odd", entry()[:-1] + f', "Other": {NESTED}}}'.encode()),
        ("servers/odd", entry(born=10**400)),
        ("servers/odd", entry(born=10**20)),
        ("servers/odd", entry(born=-1)),
        ("servers/odd", entry(Slots=10**30)),
        ("servers/odd", entry(Seq=0)[:-2] + b"1e999}"),
        ("servers/odd", entry(ColdMs=0).replace(b'"ColdMs": 0', b'"ColdMs": 1e999')),
        ("servers/odd", entry(ColdMs=1e300)),
        ("servers/odd", entry(Address="10.0.0.9:65536")),
        ("servers/odd", entry(Address="10.0.0.9:0")),
        ("servers/odd", entry(Address="10.0.0.9:" + "9" * 5000)),
        ("servers/odd", entry(Address="999.0.0.9:8080")),
        ("servers/odd", entry(Address="10.0.0.9:८०८०")),
        ("servers/odd", b'"\\ud800"'),
        ("servers/odd\r\nHost: x", entry()),
        ("servers/", entry()),
        ("servers/ä", entry()),
        ("router/daemons/odd", json.dumps({**DAEMON, "port": 70_000}).encode()),
        ("router/daemons/odd", json.dumps({**DAEMON, "host": ""}).encode()),
        ("router/daemons/odd", json.dumps({**DAEMON, "host": "there"}).encode()),
        ("router/daemons/odd", json.dumps({**DAEMON, "instance": ""}).encode()),
        ("router/daemons/odd", NESTED.encode()),
        ("op/rollout/odd", b'{"Service": "s1", "Target": "", "DurationS": 9}'),
        ("op/rollout/odd", b'{"Service": "", "Target": "v2", "DurationS": 9}'),
        ("op/rollout/odd", b'{"Service": "s1", "Target": "v2", "DurationS": NaN}'),
        ("op/rollout/odd", b'{"Service": "s1", "Target": "v2", "DurationS": 1e308}'),
        ("op/rollout/odd", b'{"Service": "s1", "Target": "v2", "DurationS": ""}'),
        ("router/rollouts/odd", NESTED.encode()),
    ],
)
def test_an_odd_entry_is_passed_over_and_the_others_hold(key, value):
    snapshot, unreadable = read(
        ("router/daemons/d1", json.dumps(DAEMON).encode()),
        ("servers/good", entry()),
        (key, value),
        ("servers/last", entry()),
    )
    assert [e.name for e in snapshot.endpoints] == ["good", "last"]
    assert [d.instance for d in snapshot.daemons] == ["d1"]
    assert snapshot.records == snapshot.orders == ()
    assert unreadable == 1


# Guards against a daemon that stops following the store, or does not start, where a
# value gets past the checks.
def test_content_that_cannot_be_applied_is_a_failed_read():
    daemon = ready_daemon()
    apply = daemon.directory.apply

    def fail(*arguments, **options):
        raise OverflowError("int too large to convert to float")

    daemon.directory.apply = fail
    assert not daemon.read()
    assert daemon.metrics.value("platform_faults", label="unusable_content") == 1
    assert daemon.answer(head("/draft/1")).complete
    daemon.directory.apply = apply
    assert daemon.read()


# Guards against reports to peers that end with one that can't be sent.
def test_a_report_that_fails_does_not_end_the_others():
    daemon = ready_daemon()
    rounds = []

    async def scenario():
        peer_socket = PeerSocket(gossip=daemon.peers, metrics=daemon.metrics)

        def fail(*, now, urgent=False):
            rounds.append(urgent)
            raise OverflowError("port must be 0-65535")

        peer_socket.send_round = fail
        task = asyncio.ensure_future(peer_socket.run())
        for _ in range(2):
            peer_socket.send_soon()
            await asyncio.sleep(0.15)
        task.cancel()

    asyncio.run(scenario())
    assert len(rounds) >= 2
